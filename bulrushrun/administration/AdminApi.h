#pragma once

#include "bulrushrun/administration/AccessControl.h"
#include "bulrushrun/administration/AdminResponses.h"
#include "bulrushrun/administration/RateLimiter.h"
#include "bulrushrun/configuration.h"
#include "bulrushrun/host.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace bulrushrun {

/// \brief Callbacks from the administration API to the instance.
struct AdminCallbacks
{
  std::function<bool()> mIsReady;
  std::function<std::string()> mMetrics;
  std::function<std::string()> mStatus;
  /// Takes the query string; returns JSON.
  std::function<std::string(const std::string&)> mExplain;
  std::function<void()> mDrain;
  std::function<const ActiveConfiguration&()> mActive;
  /// Activates a published configuration at this instance.
  std::function<void(ConfigurationVersion, const std::string&)> mAdopt;
};

/// \brief Administration API over HTTP; docs/INTERFACES.md lists its calls.
template<class HostType>
class AdminApi
{
public:
  using ResponderPtr = std::shared_ptr<typename HostType::ResponderType>;

  AdminApi(HostType& aHost, AccessControl aAccess, AdminCallbacks aCallbacks)
    : mHost(aHost)
    , mAccess(std::move(aAccess))
    , mCallbacks(std::move(aCallbacks))
    , mPublisher(aHost)
  {
  }

  /// \brief Authorizes and handles one request.
  void handle(const HttpRequest& aRequest, const ResponderPtr& aResponder)
  {
    const std::string path = aRequest.mPath.substr(0, aRequest.mPath.find('?'));
    if (path == "/healthz") {
      respond(*aResponder, textResponse(200, "ok"));
      return;
    }
    if (path == "/readyz") {
      const bool ready = mCallbacks.mIsReady();
      respond(*aResponder, textResponse(ready ? 200 : 503, ready ? "ready" : "not ready"));
      return;
    }
    const bool isWrite = aRequest.mMethod != "GET";
    const Role role = mAccess.roleOf(aRequest.mHeaders);
    if (role == Role::None || (isWrite && role != Role::Operator)) {
      rejectUnauthorized(aRequest, *aResponder, role);
      return;
    }
    if (!mRateLimiter.allow(mHost.now())) {
      respond(*aResponder,
              errorResponse(
                429, "too many requests", "the rate limit of the administration API is exceeded"));
      return;
    }
    if (isWrite) {
      handleWrite(path, aRequest, aResponder);
    } else {
      handleRead(path, aRequest, aResponder);
    }
  }

private:
  void rejectUnauthorized(const HttpRequest& aRequest,
                          typename HostType::ResponderType& aResponder,
                          Role aRole)
  {
    mHost.log(events::kAdministrationDenied, aRequest.mMethod + " " + aRequest.mPath);
    if (aRole == Role::None) {
      respond(aResponder, errorResponse(401, "unauthorised", "a valid bearer token is required"));
    } else {
      respond(aResponder, errorResponse(403, "forbidden", "the operator token is required"));
    }
  }

  void handleRead(const std::string& aPath,
                  const HttpRequest& aRequest,
                  const ResponderPtr& aResponder)
  {
    if (aPath == "/metrics") {
      respond(*aResponder, textResponse(200, mCallbacks.mMetrics()));
    } else if (aPath == "/v1/status") {
      respond(*aResponder, jsonResponse(200, mCallbacks.mStatus()));
    } else if (aPath == "/v1/explain") {
      respond(*aResponder, jsonResponse(200, mCallbacks.mExplain(queryOf(aRequest.mPath))));
    } else if (aPath == "/v1/configuration") {
      showConfiguration(aRequest, aResponder);
    } else if (aPath == "/v1/configuration/record") {
      showRecord(aRequest, aResponder);
    } else {
      respond(*aResponder, errorResponse(404, "not found", aPath));
    }
  }

  void handleWrite(const std::string& aPath,
                   const HttpRequest& aRequest,
                   const ResponderPtr& aResponder)
  {
    mHost.log(events::kAdministrationChange, aRequest.mMethod + " " + aRequest.mPath);
    if (aPath == "/v1/configuration" && aRequest.mMethod == "PUT") {
      publish(aRequest, aResponder);
    } else if (aPath == "/v1/drain" && aRequest.mMethod == "POST") {
      respond(*aResponder, jsonResponse(202, R"({"draining":true})"));
      mCallbacks.mDrain();
    } else {
      respond(*aResponder, errorResponse(404, "not found", aPath));
    }
  }

  /// Responds with the active configuration, or with the requested version from the store.
  void showConfiguration(const HttpRequest& aRequest, const ResponderPtr& aResponder)
  {
    const std::optional<std::uint64_t> requestedVersion = queryNumber(aRequest.mPath, "version");
    const ActiveConfiguration& active = mCallbacks.mActive();
    if (!requestedVersion || *requestedVersion == active.mVersion.value()) {
      respond(*aResponder, configurationResponse(active.mVersion, active.mText));
      return;
    }
    const ConfigurationVersion version{ *requestedVersion };
    readRecord(version, aResponder, [=, this](const ConfigurationRecord& aRecord) {
      mHost.platform().readObject(
        configurationObjectName(aRecord.mHash), [=](const ObjectResult& aResult) {
          if (aResult.mBytes) {
            respond(*aResponder, configurationResponse(version, *aResult.mBytes));
          } else {
            respond(
              *aResponder,
              errorResponse(503, "store unavailable", "the configuration text can't be read"));
          }
        });
    });
  }

  void showRecord(const HttpRequest& aRequest, const ResponderPtr& aResponder)
  {
    const ConfigurationVersion version{ queryNumber(aRequest.mPath, "version").value_or(0) };
    readRecord(version, aResponder, [=](const ConfigurationRecord& aRecord) {
      respond(*aResponder, jsonResponse(200, encodeConfigurationRecord(aRecord)));
    });
  }

  void readRecord(ConfigurationVersion aVersion,
                  const ResponderPtr& aResponder,
                  const std::function<void(const ConfigurationRecord&)>& aDone)
  {
    mHost.platform().read(configurationVersionKey(aVersion), [=](const ReadResult& aResult) {
      if (!aResult.mAnswered) {
        respond(*aResponder,
                errorResponse(503, "store unavailable", "the configuration record can't be read"));
        return;
      }
      const std::optional<ConfigurationRecord> record =
        aResult.mRecord ? decodeConfigurationRecord(aResult.mRecord->mValue) : std::nullopt;
      if (!record) {
        respond(*aResponder,
                errorResponse(404, "not found", "the store has no record of this version"));
        return;
      }
      aDone(*record);
    });
  }

  void publish(const HttpRequest& aRequest, const ResponderPtr& aResponder)
  {
    const std::string* author = findHeader(aRequest.mHeaders, "Bulrush-Author");
    const std::string* reason = findHeader(aRequest.mHeaders, "Bulrush-Reason");
    const std::string* changeId = findHeader(aRequest.mHeaders, "Idempotency-Key");
    const std::optional<std::uint64_t> base = queryNumber(aRequest.mPath, "base");
    if (author == nullptr || reason == nullptr || changeId == nullptr || !base) {
      respond(*aResponder,
              errorResponse(400,
                            "incomplete",
                            "required: ?base=N, Bulrush-Author, Bulrush-Reason, Idempotency-Key"));
      return;
    }
    const Proposal proposal{
      aRequest.mBody.text(), ConfigurationVersion{ *base }, *changeId, *author, *reason
    };
    mPublisher.publish(proposal, [=, this](const PublishResult& aResult) {
      if (aResult.mStatus == PublishStatus::Accepted) {
        adoptIfCurrent(proposal, aResult.mVersion);
      }
      respond(*aResponder, publishResponse(aResult));
    });
  }

  void adoptIfCurrent(const Proposal& aProposal, ConfigurationVersion aVersion)
  {
    if (aVersion == aProposal.mBaseVersion.next()) {
      mCallbacks.mAdopt(aVersion, aProposal.mText);
    }
  }

  HostType& mHost;
  AccessControl mAccess;
  AdminCallbacks mCallbacks;
  ConfigurationPublisher<HostType> mPublisher;
  RateLimiter mRateLimiter;
};

} // namespace bulrushrun
