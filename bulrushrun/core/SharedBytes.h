#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace bulrushrun {

/// \brief Immutable bytes that all copies of this value share.
class SharedBytes
{
public:
  SharedBytes() = default;
  /// \brief Takes over a text. Implicit, since it is the same value.
  SharedBytes(std::string aText)
    : mContent(aText.empty() ? nullptr : std::make_shared<Content>(std::move(aText)))
  {
  }
  SharedBytes(const char* aText)
    : SharedBytes(std::string{ aText })
  {
  }

  std::string_view view() const { return mContent ? mContent->mView : std::string_view{}; }
  std::size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }
  /// \brief \returns a copy.
  std::string text() const { return std::string{ view() }; }

private:
  friend class BytesLoan;

  struct Content
  {
    Content() = default;
    explicit Content(std::string aText)
      : mText(std::move(aText))
      , mView(mText)
    {
    }

    std::string mText;
    std::string_view mView;
  };

  std::shared_ptr<Content> mContent;
};

/// \brief Lends bytes that belong to a buffer of somebody else, without a copy.
///
/// When the loan ends, values that still share the bytes get a copy of them. Addresses into the
/// buffer that were taken from such a value, for a write in progress, are invalid from then on.
class BytesLoan
{
public:
  BytesLoan() = default;
  explicit BytesLoan(std::string_view aBytes)
  {
    mBytes.mContent = std::make_shared<SharedBytes::Content>();
    mBytes.mContent->mView = aBytes;
  }
  BytesLoan(const BytesLoan&) = delete;
  BytesLoan& operator=(const BytesLoan&) = delete;
  BytesLoan(BytesLoan&&) = default;
  BytesLoan& operator=(BytesLoan&&) = default;
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
