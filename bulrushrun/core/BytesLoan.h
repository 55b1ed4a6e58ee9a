#pragma once

#include "bulrushrun/core/SharedBytes.h"

#include <memory>
#include <string_view>
#include <utility>

namespace bulrushrun {

/// \brief Lends bytes that belong to a buffer of somebody else, without a copy.
///
/// When the loan ends, values that still share the bytes get a copy of them. Addresses into the
/// buffer that were taken from such a value, for a write in progress, are invalid from then on.
class BytesLoan
{
public:
  explicit BytesLoan(std::string_view aBytes)
  {
    mBytes.mContent = std::make_shared<SharedBytes::Content>();
    mBytes.mContent->mView = aBytes;
  }
  BytesLoan(const BytesLoan&) = delete;
  BytesLoan& operator=(const BytesLoan&) = delete;
  BytesLoan(BytesLoan&&) = delete;
  BytesLoan& operator=(BytesLoan&&) = delete;
  ~BytesLoan() { end(); }

  /// \brief \returns the lent bytes.
  const SharedBytes& bytes() const { return mBytes; }

  /// \brief Ends the loan; the buffer may be reused afterwards.
  void end()
  {
    const std::shared_ptr<SharedBytes::Content> content = std::exchange(mBytes.mContent, nullptr);
    if (content && content.use_count() > 1) {
      content->mText = content->mView;
      content->mView = content->mText;
    }
  }

private:
  SharedBytes mBytes;
};

} // namespace bulrushrun
