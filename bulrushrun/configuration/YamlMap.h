#pragma once

#include "bulrushrun/core.h"

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Validating view of one YAML mapping; errors are added to the findings.
///
/// \code
/// YamlMap map{node, "settings.yaml", findings};
/// map.allowOnly({"zone", "listen"});
/// std::string zone = map.text("zone");
/// \endcode
class YamlMap
{
public:
  YamlMap(const YAML::Node& aNode, std::string aFile, Findings& aFindings);

  /// \brief Reports every key that is not listed, and duplicate keys.
  void allowOnly(std::initializer_list<const char*> aKeys) const;

  bool has(const char* aKey) const;
  /// \brief \returns true when the key is there without a value.
  bool isNull(const char* aKey) const;
  /// \brief \returns the string at a required key; reports a missing or empty one.
  std::string text(const char* aKey) const;
  /// \brief \returns the string at an optional key.
  std::string textOr(const char* aKey, const std::string& aDefault) const;
  /// \brief \returns the string at an optional key; reports one that is not among the choices.
  std::string oneOf(const char* aKey,
                    const std::string& aDefault,
                    std::initializer_list<const char*> aChoices) const;
  /// \brief \returns a number within [\a aLow, \a aHigh]; reports anything else.
  double number(const char* aKey, double aDefault, double aLow, double aHigh) const;
  /// \brief \returns an integer within [\a aLow, \a aHigh]; reports anything else.
  int integer(const char* aKey, int aDefault, int aLow, int aHigh) const;
  /// \brief \returns a boolean; reports anything else.
  bool flag(const char* aKey, bool aDefault) const;
  /// \brief \returns a duration given in milliseconds.
  Duration millis(const char* aKey, Duration aDefault) const;
  /// \brief \returns the address at a required key.
  Endpoint endpoint(const char* aKey) const;
  /// \brief \returns a list of addresses; a missing key yields an empty list.
  std::vector<Endpoint> endpoints(const char* aKey) const;
  /// \brief \returns a list of strings; a missing key yields an empty list.
  std::vector<std::string> texts(const char* aKey) const;
  /// \brief \returns the mappings of a list; a missing key yields an empty list.
  std::vector<YamlMap> maps(const char* aKey) const;
  /// \brief \returns the mapping at an optional key.
  std::optional<YamlMap> map(const char* aKey) const;
  /// \brief \returns all keys, in the order of the file.
  std::vector<std::string> keys() const;

  /// \brief \returns the source location of the value at a key, or of the mapping itself.
  SourceLocation location(const char* aKey = nullptr) const;
  /// \brief Adds a finding with the location of a key, or of the mapping when it has no such key.
  void report(const char* aKey, const std::string& aText) const;

private:
  YAML::Node child(const char* aKey) const;
  YAML::Node list(const char* aKey) const;

  YAML::Node mNode;
  std::string mFile;
  Findings* mFindings;
};

/// \brief Parses text as one YAML mapping. \returns nothing when the text is anything else; the
/// reason is added to the findings.
std::optional<YamlMap> parseYamlMap(const std::string& aText,
                                    const std::string& aFile,
                                    Findings& aFindings);

} // namespace bulrushrun
