#pragma once

#include "bulrushrun/core.h"

#include <yaml-cpp/yaml.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

namespace bulrushrun {

/// \brief Checked view of one YAML mapping; everything wrong with it goes into the findings.
///
/// \code
/// YamlMap map{node, "settings.yaml", findings};
/// map.allow({"zone", "listen"});
/// std::string zone = map.text("zone");
/// \endcode
class YamlMap
{
public:
  YamlMap(const YAML::Node& aNode, std::string aFile, Findings& aFindings);

  /// \brief Reports every key that is not listed, and keys that stand twice.
  void allowOnly(std::initializer_list<const char*> aKeys) const;

  /// \brief \returns true when the key is present.
  bool has(const char* aKey) const;
  /// \brief \returns the text of a key that must be there; reports its absence.
  std::string text(const char* aKey) const;
  /// \brief \returns the text of a key that may be absent.
  std::string textOr(const char* aKey, const std::string& aDefault) const;
  /// \brief \returns the text of a key that may be absent; reports one that is not among the
  /// choices.
  std::string oneOf(const char* aKey,
                    const std::string& aDefault,
                    std::initializer_list<const char*> aChoices) const;
  /// \brief \returns a number within [\a aLow, \a aHigh]; reports anything else.
  double number(const char* aKey, double aDefault, double aLow, double aHigh) const;
  /// \brief \returns a whole number within [\a aLow, \a aHigh]; reports anything else.
  int integer(const char* aKey, int aDefault, int aLow, int aHigh) const;
  /// \brief \returns true or false; reports anything else.
  bool flag(const char* aKey, bool aDefault) const;
  /// \brief \returns a span given in milliseconds.
  Duration millis(const char* aKey, Duration aDefault) const;
  /// \brief \returns the address at a key that must be there.
  Endpoint endpoint(const char* aKey) const;
  /// \brief \returns a list of addresses; an absent key is an empty list.
  std::vector<Endpoint> endpoints(const char* aKey) const;
  /// \brief \returns a list of texts; an absent key is an empty list.
  std::vector<std::string> texts(const char* aKey) const;
  /// \brief \returns the mappings of a list; an absent key is an empty list.
  std::vector<YamlMap> maps(const char* aKey) const;
  /// \brief \returns the mapping at a key, if present.
  std::optional<YamlMap> map(const char* aKey) const;
  /// \brief \returns the names of all keys, in order.
  std::vector<std::string> keys() const;

  /// \brief \returns where the mapping, or the value at a key, stands.
  SourceLocation location(const char* aKey = nullptr) const;
  /// \brief Adds a finding at a key.
  void report(const char* aKey, const std::string& aText) const;

private:
  YAML::Node child(const char* aKey) const;
  YAML::Node list(const char* aKey) const;

  YAML::Node mNode;
  std::string mFile;
  Findings* mFindings;
};

/// \brief Parses text as one YAML mapping. \returns nothing after reporting a syntax error.
std::optional<YamlMap> parseYamlMap(const std::string& aText,
                                    const std::string& aFile,
                                    Findings& aFindings);

} // namespace bulrushrun
