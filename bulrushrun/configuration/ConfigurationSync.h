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

/// \brief Configuration that is active at this instance.
struct ActiveConfiguration
{
  ConfigurationVersion mVersion;
  std::string mText;
  std::string mHash;
  std::shared_ptr<const Document> mDocument;
};

/// \brief Path from which peers fetch the configuration of an instance.
inline constexpr const char* kPeerConfigurationPath = "/peer/v1/configuration";
/// \brief Header with a message authentication code under a peer key.
inline constexpr const char* kPeerCodeHeader = "Bulrush-Peer-Code";
/// \brief Header with the version of a returned configuration.
inline constexpr const char* kVersionHeader = "Bulrush-Version";

/// \brief Keeps this instance at the newest known configuration; never goes back to an older one.
///
/// A newer version that a peer reports is fetched from that peer, or from the store if that fails.
/// A few instances of each zone poll the store. A text from a peer is verified by its
/// authentication code, a text from the store by its content hash.
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

  /// \brief Starts polling the store. \a aIsPoller is asked before each poll whether this instance
  /// polls for its zone; an instance without a configuration always polls.
  void start(std::function<bool()> aIsPoller)
  {
    mIsPoller = std::move(aIsPoller);
    poll();
  }

  /// \brief Handles a version reported by a peer: fetches it from there if it is newer.
  void onPeerVersion(ConfigurationVersion aVersion, const Endpoint& aPeer)
  {
    if (aVersion > mActive.mVersion && !mFetching) {
      fetchFromPeer(aPeer);
    }
  }

  /// \brief Activates a configuration if it is newer than the active one.
  /// \returns false when it is not newer, or is invalid
  bool adopt(ConfigurationVersion aVersion, const std::string& aText);

  const ActiveConfiguration& active() const { return mActive; }

  /// \brief \returns the authentication code that a request for the configuration must carry.
  std::string peerRequestCode() const
  {
    return authenticationCode(kPeerConfigurationPath, mPeerKeys.front());
  }
  /// \brief \returns true when the code of a request was made with one of the peer keys.
  bool isPeerCode(const std::string& aCode) const
  {
    return isAuthentic(kPeerConfigurationPath, aCode);
  }
  /// \brief \returns the response to a peer that requests the configuration.
  HttpResponse peerResponse() const
  {
    const std::string version = std::to_string(mActive.mVersion.value());
    return { { 200,
               { { kVersionHeader, version },
                 { kPeerCodeHeader,
                   authenticationCode(version + "\n" + mActive.mText, mPeerKeys.front()) } },
               std::nullopt },
             mActive.mText };
  }

private:
  static constexpr Duration kPollPeriod = std::chrono::seconds(2);
  static constexpr Duration kFetchTimeout = std::chrono::milliseconds(1500);
  static constexpr std::size_t kMaxTextBytes = std::size_t{ 16 } * 1024 * 1024;

  static std::string authenticationCode(const std::string& aBytes, const std::string& aKey)
  {
    return sha256Hex(hmacSha256(aKey, aBytes));
  }
  bool isAuthentic(const std::string& aBytes, const std::string& aCode) const
  {
    return std::any_of(mPeerKeys.begin(), mPeerKeys.end(), [&](const std::string& aKey) {
      return constantTimeEquals(authenticationCode(aBytes, aKey), aCode);
    });
  }

  void poll();
  void fetchFromPeer(const Endpoint& aPeer);
  void fetchFromStore();
  void fetchText(const ConfigurationRecord& aRecord);
  void onFetchFailed(const std::string& aFrom);

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
void ConfigurationSync<HostType>::onFetchFailed(const std::string& aFrom)
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
    kFetchTimeout,
    kMaxTextBytes,
    [this, aPeer](ExchangeResult aEnd, const HttpResponse& aResponse) {
      mFetching = false;
      const std::string* version = findHeader(aResponse.mHead.mHeaders, kVersionHeader);
      const std::string* code = findHeader(aResponse.mHead.mHeaders, kPeerCodeHeader);
      const bool isValid = aEnd == ExchangeResult::Complete && version != nullptr &&
                           code != nullptr && isAuthentic(*version + "\n" + aResponse.mBody, *code);
      if (!isValid) {
        onFetchFailed(aPeer.text());
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
      onFetchFailed("store");
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
      onFetchFailed("store");
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
        onFetchFailed("store");
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
