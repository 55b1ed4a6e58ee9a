#pragma once

#include "bulrushrun/configuration/ConfigurationRecord.h"
#include "bulrushrun/configuration/DocumentReader.h"
#include "bulrushrun/host/EventCatalogue.h"
#include "bulrushrun/host/Host.h"
#include "bulrushrun/store/BufferedExchange.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Configuration that is in force at this instance.
struct ActiveConfiguration
{
  ConfigurationVersion mVersion;
  std::string mText;
  std::string mHash;
  std::shared_ptr<const Document> mDocument;
};

/// \brief Path at which peers hand out their configuration.
inline constexpr const char* kPeerConfigurationPath = "/peer/v1/configuration";
/// \brief Header that proves knowledge of a peer key.
inline constexpr const char* kPeerCodeHeader = "Bulrush-Peer-Code";
/// \brief Header that names the version of a handed-out configuration.
inline constexpr const char* kVersionHeader = "Bulrush-Version";

/// \brief Brings this instance to the newest configuration that it hears of; never to an older one.
///
/// A version that a peer reports is fetched from that peer, else from the store. A few instances a
/// zone poll the store. The text is checked against a code under the peers' key, or against its
/// content hash.
template<class HostType>
class ConfigurationSync
{
public:
  ConfigurationSync(HostType& aHost,
                    std::vector<std::string> aPeerKeys,
                    std::function<void()> aOnAdopted)
    : mHost(aHost)
    , mPeerKeys(std::move(aPeerKeys))
    , mOnAdopted(std::move(aOnAdopted))
  {
  }

  /// \brief Begins to poll; \a aIsPoller tells at each turn whether this instance is one of the
  /// zone's pollers. One without a configuration polls anyway.
  void start(std::function<bool()> aIsPoller)
  {
    mIsPoller = std::move(aIsPoller);
    poll();
  }

  /// \brief Takes note of a version that a peer reports.
  void onPeerVersion(ConfigurationVersion aVersion, const Endpoint& aPeer)
  {
    if (aVersion > mActive.mVersion && !mFetching) {
      fetchFromPeer(aPeer);
    }
  }

  /// \brief Takes over a configuration if it is newer than the one in force.
  /// \returns false when it is older, or does not pass the checks
  bool adopt(ConfigurationVersion aVersion, const std::string& aText);

  const ActiveConfiguration& active() const { return mActive; }

  /// \brief \returns the code that a peer must send to be given the configuration.
  std::string peerRequestCode() const { return codeFor(kPeerConfigurationPath, mPeerKeys.front()); }
  /// \brief \returns true when a code was made with one of the keys.
  bool isPeerCode(const std::string& aCode) const
  {
    return verifies(kPeerConfigurationPath, aCode);
  }
  /// \brief \returns the answer to a peer that asks for the configuration.
  HttpResponse peerResponse() const
  {
    const std::string version = std::to_string(mActive.mVersion.value());
    return { { 200,
               { { kVersionHeader, version },
                 { kPeerCodeHeader, codeFor(version + "\n" + mActive.mText, mPeerKeys.front()) } },
               std::nullopt },
             mActive.mText };
  }

private:
  static constexpr Duration kPollPeriod = std::chrono::seconds(2);
  static constexpr Duration kFetchLimit = std::chrono::milliseconds(1500);
  static constexpr std::size_t kMaxTextBytes = std::size_t{ 16 } * 1024 * 1024;

  static std::string codeFor(const std::string& aBytes, const std::string& aKey)
  {
    return sha256Hex(hmacSha256(aKey, aBytes));
  }
  bool verifies(const std::string& aBytes, const std::string& aCode) const
  {
    return std::any_of(mPeerKeys.begin(), mPeerKeys.end(), [&](const std::string& aKey) {
      return constantTimeEquals(codeFor(aBytes, aKey), aCode);
    });
  }

  void poll();
  void fetchFromPeer(const Endpoint& aPeer);
  void fetchFromStore();
  void fetchText(const ConfigurationRecord& aRecord);
  void fail(const std::string& aFrom);

  HostType& mHost;
  std::vector<std::string> mPeerKeys;
  std::function<void()> mOnAdopted;
  std::function<bool()> mIsPoller;
  ActiveConfiguration mActive;
  bool mFetching = false;
};

template<class HostType>
void ConfigurationSync<HostType>::poll()
{
  const bool wanted = mActive.mDocument == nullptr || mIsPoller();
  if (wanted && !mFetching) {
    fetchFromStore();
  }
  const Duration jitter{ static_cast<std::int64_t>(mHost.random().below(100000)) };
  mHost.after(kPollPeriod + jitter, [this] { poll(); });
}

template<class HostType>
void ConfigurationSync<HostType>::fail(const std::string& aFrom)
{
  mFetching = false;
  mHost.log(events::kConfigurationFetchFailed, "from=" + aFrom);
}

template<class HostType>
void ConfigurationSync<HostType>::fetchFromPeer(const Endpoint& aPeer)
{
  mFetching = true;
  const HttpRequest request{
    "GET", kPeerConfigurationPath, { { kPeerCodeHeader, peerRequestCode() } }, std::string{}
  };
  startBufferedExchange(
    mHost,
    aPeer,
    request,
    kFetchLimit,
    kMaxTextBytes,
    [this, aPeer](ExchangeResult aEnd, const HttpResponse& aResponse) {
      mFetching = false;
      const std::string* version = findHeader(aResponse.mHead.mHeaders, kVersionHeader);
      const std::string* code = findHeader(aResponse.mHead.mHeaders, kPeerCodeHeader);
      const bool whole = aEnd == ExchangeResult::Complete && version != nullptr &&
                         code != nullptr && verifies(*version + "\n" + aResponse.mBody, *code);
      if (!whole) {
        fail(aPeer.text());
        fetchFromStore();
        return;
      }
      adopt(ConfigurationVersion{ std::strtoull(version->c_str(), nullptr, 10) }, aResponse.mBody);
    });
}

template<class HostType>
void ConfigurationSync<HostType>::fetchFromStore()
{
  mFetching = true;
  mHost.platform().read(kCurrentVersionKey, [this](const ReadResult& aResult) {
    mFetching = false;
    if (!aResult.mAnswered) {
      fail("store");
      return;
    }
    const bool newer = aResult.mRecord &&
                       ConfigurationVersion{ aResult.mRecord->mVersion.value() } > mActive.mVersion;
    if (!newer) {
      return;
    }
    const std::optional<ConfigurationRecord> record =
      decodeConfigurationRecord(aResult.mRecord->mValue);
    if (!record) {
      fail("store");
      return;
    }
    fetchText(*record);
  });
}

template<class HostType>
void ConfigurationSync<HostType>::fetchText(const ConfigurationRecord& aRecord)
{
  mFetching = true;
  mHost.platform().readObject(
    configurationObjectName(aRecord.mHash), [this, aRecord](const ObjectResult& aResult) {
      mFetching = false;
      if (!aResult.mBytes || sha256Hex(*aResult.mBytes) != aRecord.mHash) {
        fail("store");
        return;
      }
      adopt(aRecord.mVersion, *aResult.mBytes);
    });
}

template<class HostType>
bool ConfigurationSync<HostType>::adopt(ConfigurationVersion aVersion, const std::string& aText)
{
  if (aVersion <= mActive.mVersion) {
    return false;
  }
  Findings findings;
  const std::optional<Document> document = readDocument(aText, "configuration", findings);
  if (!document) {
    mHost.log(events::kConfigurationRefused,
              "version=" + std::to_string(aVersion.value()) + " " + findings.report());
    return false;
  }
  mActive = { aVersion, aText, sha256Hex(aText), std::make_shared<const Document>(*document) };
  mHost.log(events::kConfigurationAdopted, "version=" + std::to_string(aVersion.value()));
  mOnAdopted();
  return true;
}

} // namespace bulrushrun
