#pragma once

#include "bulrushrun/instance/Instance.h"

/// \file
/// \brief Instance: connections between the modules, and dispatch of requests by path.

namespace bulrushrun {

template<class HostType>
Member Instance<HostType>::selfMember(const Settings& aSettings, UnixSeconds aNow)
{
  // A restarted instance needs a higher incarnation than before; wall time provides it.
  const Incarnation incarnation{ static_cast<std::uint64_t>(aNow.count()) };
  return { aSettings.mInstance, aSettings.mZone,    aSettings.mListen,     aSettings.mPeer,
           incarnation,         MemberState::Alive, ConfigurationVersion{} };
}

template<class HostType>
Instance<HostType>::Instance(HostType& aHost,
                             const Settings& aSettings,
                             std::function<void(std::size_t)> aOnExit)
  : mHost(aHost)
  , mSettings(aSettings)
  , mConfiguration(aHost,
                   aSettings.mPeerKeys,
                   [this] {
                     rebuildFleetView();
                     mGossip.setConfigurationVersion(mConfiguration.active().mVersion);
                   })
  , mGossip(aHost,
            selfMember(aSettings, aHost.wallTime()),
            aSettings.mSeeds,
            aSettings.mPeerKeys,
            gossipListener())
  , mForwarder(aHost, aSettings.mInstance, aSettings.mZone, mMetrics)
  , mHealth(
      aHost,
      [this] { return ownedTargets(false); },
      [this](const TargetId& aTarget, bool aLeaving) { onHealthCheck(aTarget, aLeaving); })
  , mDrain(aHost, drainCallbacks(std::move(aOnExit)))
  , mAdmin(aHost, { aSettings.mViewerToken, aSettings.mOperatorToken }, adminCallbacks())
{
}

template<class HostType>
GossipListener Instance<HostType>::gossipListener()
{
  return { [this] { rebuildFleetView(); },
           [this](ConfigurationVersion aVersion, const Member& aMember) {
             mConfiguration.onPeerVersion(aVersion, aMember.mListen);
           },
           [this](const LeavingNotice& aNotice) { mLeaving.onNotice(aNotice); },
           [this] { return mLeaving.notices(mHost.wallTime()); } };
}

template<class HostType>
DrainCallbacks Instance<HostType>::drainCallbacks(std::function<void(std::size_t)> aOnExit)
{
  return { [this] { return mSettings.mDrainLimit; },
           [this] { mGossip.leave(); },
           [this] {
             const std::shared_ptr<const Document>& document = mConfiguration.active().mDocument;
             return document ? document->mDefaults.mLookupTimeToLive : Duration{ 0 };
           },
           [this] { return mForwarder.requestsInProgress(); },
           std::move(aOnExit) };
}

template<class HostType>
AdminCallbacks Instance<HostType>::adminCallbacks()
{
  AdminCallbacks sources;
  sources.mIsReady = [this] { return isReady() && !mDrain.isDraining(); };
  sources.mMetrics = [this] { return mMetrics.render(); };
  sources.mStatus = [this] { return status(); };
  sources.mExplain = [this](const std::string& aQuery) { return explain(aQuery); };
  sources.mDrain = [this] { stop(); };
  sources.mActive = [this]() -> const ActiveConfiguration& { return mConfiguration.active(); };
  sources.mAdopt = [this](ConfigurationVersion aVersion, const std::string& aText) {
    mConfiguration.adopt(aVersion, aText);
  };
  return sources;
}

template<class HostType>
void Instance<HostType>::handleCaller(HttpRequest aRequest, ResponderPtr aResponder)
{
  if (aRequest.mPath == kPeerConfigurationPath) {
    const std::string* code = findHeader(aRequest.mHeaders, kPeerCodeHeader);
    const bool isPeer = code != nullptr && mConfiguration.isPeerCode(*code) && isReady();
    respond(*aResponder,
            isPeer ? mConfiguration.peerResponse()
                   : errorResponse(404, "not found", aRequest.mPath));
    return;
  }
  if (aRequest.mPath.starts_with(kLookupPrefix)) {
    const std::string detail =
      isReady() ? lookupErrorMessage(*mConfiguration.active().mDocument, aRequest.mPath)
                : "no configuration is active yet";
    respond(*aResponder, errorResponse(isReady() ? 404 : 503, "no answer", detail));
    return;
  }
  mForwarder.accept(std::move(aRequest), std::move(aResponder));
}

template<class HostType>
std::string Instance<HostType>::status()
{
  StatusInput input;
  input.mSelf = mGossip.self();
  input.mReady = isReady();
  input.mDraining = mDrain.isDraining();
  input.mHash = mConfiguration.active().mHash;
  input.mMembers = mGossip.table().all();
  input.mInProgress = mForwarder.requestsInProgress();
  input.mClaimBacklog = mForwarder.claims().batcher().backlog();
  input.mControlBytesSent = mGossip.bytesSent();
  input.mView = mView.get();
  input.mPool = [this](const ServiceKey& aService) { return mForwarder.pool(aService); };
  return statusReport(input, mHost.now());
}

template<class HostType>
std::string Instance<HostType>::explain(const std::string& aQuery)
{
  if (mView == nullptr) {
    return R"({"error":"no configuration is active yet"})";
  }
  const std::string path = "?" + aQuery;
  const ExplainInput input{ { TenantName{ queryText(path, "tenant") },
                              ServiceName{ queryText(path, "service") } },
                            ClassName{ queryText(path, "class") },
                            mSettings.mZone,
                            mSettings.mInstance };
  return explainReport(input, *mView, mForwarder.pool(input.mService), mHost.now());
}

} // namespace bulrushrun
