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

} // namespace bulrushrun
