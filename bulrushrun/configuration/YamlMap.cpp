#include "bulrushrun/configuration/YamlMap.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bulrushrun {

namespace {

constexpr double kMaxMillis = 86400000;

SourceLocation locationOf(const std::string& aFile, const YAML::Mark& aMark)
{
  return { aFile, aMark.line + 1, aMark.column + 1 };
}

std::string rangeText(double aLow, double aHigh)
{
  std::string low = std::to_string(aLow);
  std::string high = std::to_string(aHigh);
  for (std::string* text : { &low, &high }) {
    text->erase(text->find_last_not_of('0') + 1);
    if (text->back() == '.') {
      text->pop_back();
    }
  }
  return low + " to " + high;
}

} // namespace

YamlMap::YamlMap(const YAML::Node& aNode, std::string aFile, Findings& aFindings)
  : mNode(aNode)
  , mFile(std::move(aFile))
  , mFindings(&aFindings)
{
  if (!mNode.IsMap()) {
    mFindings->add(location(), "expected a mapping");
    mNode.reset(YAML::Node(YAML::NodeType::Map));
  }
}

void YamlMap::allowOnly(std::initializer_list<const char*> aKeys) const
{
  std::set<std::string> seen;
  for (auto entry = mNode.begin(); entry != mNode.end(); ++entry) {
    const std::string key = entry->first.IsScalar() ? entry->first.Scalar() : "";
    const SourceLocation keyLocation = locationOf(mFile, entry->first.Mark());
    if (std::find(aKeys.begin(), aKeys.end(), key) == aKeys.end()) {
      mFindings->add(keyLocation, "unknown key '" + key + "'");
    }
    if (!seen.insert(key).second) {
      mFindings->add(keyLocation, "duplicate key '" + key + "'");
    }
  }
}

YAML::Node YamlMap::child(const char* aKey) const
{
  const YAML::Node& node = mNode;
  return node[aKey];
}

bool YamlMap::has(const char* aKey) const
{
  return child(aKey).IsDefined();
}

bool YamlMap::isNull(const char* aKey) const
{
  return has(aKey) && child(aKey).IsNull();
}

SourceLocation YamlMap::location(const char* aKey) const
{
  if (aKey != nullptr && has(aKey)) {
    return locationOf(mFile, child(aKey).Mark());
  }
  return locationOf(mFile, mNode.Mark());
}

void YamlMap::report(const char* aKey, const std::string& aText) const
{
  mFindings->add(location(aKey), aText);
}

std::string YamlMap::text(const char* aKey) const
{
  if (!has(aKey)) {
    report(nullptr, std::string("key '") + aKey + "' is missing");
    return {};
  }
  std::string value = textOr(aKey, "");
  if (value.empty()) {
    report(aKey, std::string("'") + aKey + "' must not be empty");
  }
  return value;
}

std::string YamlMap::textOr(const char* aKey, const std::string& aDefault) const
{
  if (!has(aKey)) {
    return aDefault;
  }
  if (!child(aKey).IsScalar()) {
    report(aKey, std::string("'") + aKey + "' must be a string");
    return aDefault;
  }
  return child(aKey).Scalar();
}

std::string YamlMap::oneOf(const char* aKey,
                           const std::string& aDefault,
                           std::initializer_list<const char*> aChoices) const
{
  std::string value = textOr(aKey, aDefault);
  std::string choices;
  for (const char* choice : aChoices) {
    if (value == choice) {
      return value;
    }
    choices += choices.empty() ? choice : std::string(", ") + choice;
  }
  report(aKey, std::string(aKey) + " is one of " + choices);
  return aDefault;
}

double YamlMap::number(const char* aKey, double aDefault, double aLow, double aHigh) const
{
  if (!has(aKey)) {
    return aDefault;
  }
  double value = 0;
  if (!child(aKey).IsScalar() || !YAML::convert<double>::decode(child(aKey), value) ||
      !(value >= aLow && value <= aHigh)) {
    report(aKey, std::string("'") + aKey + "' must be a number from " + rangeText(aLow, aHigh));
    return aDefault;
  }
  return value;
}

int YamlMap::integer(const char* aKey, int aDefault, int aLow, int aHigh) const
{
  const double value = number(aKey, aDefault, aLow, aHigh);
  if (value != std::floor(value)) {
    report(aKey, std::string("'") + aKey + "' must be an integer");
    return aDefault;
  }
  return static_cast<int>(value);
}

bool YamlMap::flag(const char* aKey, bool aDefault) const
{
  if (!has(aKey)) {
    return aDefault;
  }
  bool value = aDefault;
  if (!child(aKey).IsScalar() || !YAML::convert<bool>::decode(child(aKey), value)) {
    report(aKey, std::string("'") + aKey + "' must be true or false");
  }
  return value;
}

Duration YamlMap::millis(const char* aKey, Duration aDefault) const
{
  const double value = number(aKey, toSeconds(aDefault) * 1000, 0, kMaxMillis);
  return fromSeconds(value / 1000);
}

Endpoint YamlMap::endpoint(const char* aKey) const
{
  const std::string value = text(aKey);
  const std::optional<Endpoint> parsed = parseEndpoint(value);
  if (!parsed && !value.empty()) {
    report(aKey, "'" + value + "' is not an address of the form a.b.c.d:port");
  }
  return parsed.value_or(Endpoint{});
}

YAML::Node YamlMap::list(const char* aKey) const
{
  const YAML::Node empty{ YAML::NodeType::Sequence };
  if (!has(aKey)) {
    return empty;
  }
  if (!child(aKey).IsSequence()) {
    report(aKey, std::string("'") + aKey + "' must be a list");
    return empty;
  }
  return child(aKey);
}

std::vector<Endpoint> YamlMap::endpoints(const char* aKey) const
{
  std::vector<Endpoint> endpoints;
  for (const std::string& text : texts(aKey)) {
    if (const std::optional<Endpoint> endpoint = parseEndpoint(text)) {
      endpoints.push_back(*endpoint);
    } else {
      report(aKey, "'" + text + "' is not an address of the form a.b.c.d:port");
    }
  }
  return endpoints;
}

std::vector<std::string> YamlMap::texts(const char* aKey) const
{
  std::vector<std::string> values;
  for (const YAML::Node& item : list(aKey)) {
    if (item.IsScalar() && !item.Scalar().empty()) {
      values.push_back(item.Scalar());
    } else {
      mFindings->add(locationOf(mFile, item.Mark()), "expected a non-empty string");
    }
  }
  return values;
}

std::vector<YamlMap> YamlMap::maps(const char* aKey) const
{
  std::vector<YamlMap> values;
  for (const YAML::Node& item : list(aKey)) {
    values.emplace_back(item, mFile, *mFindings);
  }
  return values;
}

std::optional<YamlMap> YamlMap::map(const char* aKey) const
{
  if (!has(aKey)) {
    return std::nullopt;
  }
  return YamlMap{ child(aKey), mFile, *mFindings };
}

std::vector<std::string> YamlMap::keys() const
{
  std::vector<std::string> names;
  for (auto entry = mNode.begin(); entry != mNode.end(); ++entry) {
    names.push_back(entry->first.IsScalar() ? entry->first.Scalar() : "");
  }
  return names;
}

std::optional<YamlMap> parseYamlMap(const std::string& aText,
                                    const std::string& aFile,
                                    Findings& aFindings)
{
  try {
    const YAML::Node node = YAML::Load(aText);
    if (!node.IsMap()) {
      aFindings.add({ aFile, 1, 1 }, "the file must contain a single mapping");
      return std::nullopt;
    }
    return YamlMap{ node, aFile, aFindings };
  } catch (const YAML::Exception& error) {
    aFindings.add(locationOf(aFile, error.mark), error.msg);
    return std::nullopt;
  }
}

} // namespace bulrushrun
