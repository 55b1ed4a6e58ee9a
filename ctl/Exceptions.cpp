#include "ctl/Exceptions.h"

#include <yaml-cpp/yaml.h>

namespace bulrushrun {

namespace {

constexpr const char* kSection = "exceptions";

/// \returns the position at which the section starts, or the end of the text.
std::size_t sectionStart(const std::string& aText)
{
  const std::string key = std::string(kSection) + ":";
  if (aText.starts_with(key)) {
    return 0;
  }
  const std::size_t position = aText.find("\n" + key);
  return position == std::string::npos ? aText.size() : position + 1;
}

/// \returns the position at which the next section starts, or the end of the text.
std::size_t sectionEnd(const std::string& aText, std::size_t aStart)
{
  std::size_t position = aText.find('\n', aStart);
  while (position != std::string::npos && position + 1 < aText.size()) {
    const char first = aText[position + 1];
    if (first != ' ' && first != '-' && first != '\n' && first != '#') {
      return position + 1;
    }
    position = aText.find('\n', position + 1);
  }
  return aText.size();
}

std::string replaceSection(const std::string& aText, const YAML::Node& aExceptions)
{
  YAML::Emitter section;
  section << YAML::BeginMap << YAML::Key << kSection << YAML::Value;
  if (aExceptions.size() == 0) {
    section << YAML::Flow << YAML::BeginSeq << YAML::EndSeq;
  } else {
    section << aExceptions;
  }
  section << YAML::EndMap;
  const std::size_t start = sectionStart(aText);
  const std::size_t end = start == aText.size() ? start : sectionEnd(aText, start);
  std::string before = aText.substr(0, start);
  if (!before.empty() && before.back() != '\n') {
    before.push_back('\n');
  }
  return before + section.c_str() + "\n" + aText.substr(end);
}

YAML::Node exceptionsOf(const std::string& aText)
{
  const YAML::Node list = YAML::Load(aText)[kSection];
  return list.IsDefined() && list.IsSequence() ? list : YAML::Node{ YAML::NodeType::Sequence };
}

std::string textOf(const YAML::Node& aException, const char* aKey)
{
  return aException[aKey].IsDefined() ? aException[aKey].Scalar() : "";
}

} // namespace

std::string describeExceptions(const std::string& aConfiguration)
{
  std::string text;
  for (const YAML::Node& exception : exceptionsOf(aConfiguration)) {
    const std::string target = textOf(exception, "target");
    text += (target.empty() ? "zone " + textOf(exception, "zone") : "target " + target) + "  " +
            textOf(exception, "state") + "  by " + textOf(exception, "author") + ": " +
            textOf(exception, "reason");
    const std::string expires = textOf(exception, "expires");
    text += (expires.empty() ? "" : "  until " + expires) + "\n";
  }
  return text.empty() ? "no exceptions\n" : text;
}

std::optional<std::string> withException(const std::string& aConfiguration,
                                         const std::string& aKind,
                                         const std::string& aName,
                                         const std::string& aAuthor,
                                         const std::string& aReason)
{
  if (aKind != "target" && aKind != "zone") {
    return std::nullopt;
  }
  YAML::Node exceptions{ YAML::NodeType::Sequence };
  for (const YAML::Node& exception : exceptionsOf(aConfiguration)) {
    exceptions.push_back(exception);
  }
  YAML::Node added;
  added[aKind] = aName;
  added["state"] = "leaving";
  added["reason"] = aReason;
  added["author"] = aAuthor;
  exceptions.push_back(added);
  exceptions.SetStyle(YAML::EmitterStyle::Block);
  return replaceSection(aConfiguration, exceptions);
}

std::optional<std::string> withoutException(const std::string& aConfiguration,
                                            const std::string& aKind,
                                            const std::string& aName)
{
  YAML::Node kept{ YAML::NodeType::Sequence };
  bool found = false;
  for (const YAML::Node& exception : exceptionsOf(aConfiguration)) {
    if (textOf(exception, aKind.c_str()) == aName) {
      found = true;
    } else {
      kept.push_back(exception);
    }
  }
  return found ? std::optional{ replaceSection(aConfiguration, kept) } : std::nullopt;
}

} // namespace bulrushrun
