#include "bulrushrun/store/InstanceListCodec.h"

#include <nlohmann/json.hpp>

namespace bulrushrun {

namespace {

using Json = nlohmann::json;

} // namespace

std::string encodeInstanceList(const std::vector<ListedInstance>& aInstances)
{
  Json list = Json::array();
  for (const ListedInstance& instance : aInstances) {
    list.push_back({ { "id", instance.mInstance.text() },
                     { "peer", instance.mPeer.text() },
                     { "state", instance.mLeaving ? "leaving" : "live" } });
  }
  return list.dump();
}

std::optional<std::vector<ListedInstance>> decodeInstanceList(const std::string& aText)
{
  try {
    std::vector<ListedInstance> instances;
    for (const Json& entry : Json::parse(aText)) {
      const std::optional<Endpoint> peer = parseEndpoint(entry.at("peer").get<std::string>());
      if (!peer) {
        return std::nullopt;
      }
      instances.push_back({ InstanceId{ entry.at("id").get<std::string>() },
                            *peer,
                            entry.at("state").get<std::string>() == "leaving" });
    }
    return instances;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace bulrushrun
