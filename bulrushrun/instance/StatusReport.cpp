#include "bulrushrun/instance/StatusReport.h"

#include <nlohmann/json.hpp>

namespace bulrushrun {

namespace {

using Json = nlohmann::json;

Json targetRow(const PooledTarget& aTarget, TimePoint aNow)
{
  return { { "id", aTarget.spec().mId.text() },
           { "zone", aTarget.spec().mZone.text() },
           { "slots", aTarget.spec().mSlots },
           { "limit", aTarget.limit() },
           { "in_use", aTarget.inUse() },
           { "answer_ms", toSeconds(aTarget.responseTime()) * 1000 },
           { "failures", aTarget.failures() },
           { "leaving", aTarget.isLeaving() },
           { "ejected", aTarget.isEjected(aNow) } };
}

Json poolRow(const ServicePool& aPool, TimePoint aNow)
{
  Json targets = Json::array();
  for (const auto& [id, target] : aPool.targets()) {
    targets.push_back(targetRow(target, aNow));
  }
  return { { "queue", aPool.queueLength() },
           { "in_use", aPool.inUse() },
           { "usable_slots", aPool.usableSlots(aNow) },
           { "targets", targets } };
}

Json memberRow(const Member& aMember)
{
  return { { "id", aMember.mId.text() },
           { "zone", aMember.mZone.text() },
           { "state", stateText(aMember.mState) },
           { "version", aMember.mVersion.value() },
           { "listen", aMember.mListen.text() } };
}

Json servicesOf(const StatusInput& aInput, TimePoint aNow)
{
  Json services = Json::object();
  if (aInput.mView == nullptr) {
    return services;
  }
  for (const Tenant& tenant : aInput.mView->mDocument->mTenants) {
    for (const Service& service : tenant.mServices) {
      const ServicePool* pool = aInput.mPool({ tenant.mName, service.mName });
      if (pool != nullptr) {
        services[tenant.mName.text() + "/" + service.mName.text()] = poolRow(*pool, aNow);
      }
    }
  }
  return services;
}

Json candidatesOf(const ExplainInput& aInput, const FleetView& aView)
{
  Json candidates = Json::array();
  for (const ZoneName& zone :
       aView.mDirectory.zonesByDelay(*aView.mDocument, aInput.mService, aInput.mZone)) {
    const Duration delay = aView.mDocument->delayBetween(aInput.mZone, zone);
    for (const ServiceOwner& owner : aView.mDirectory.owners(aInput.mService).at(zone)) {
      candidates.push_back({ { "instance", owner.mInstance.mId.text() },
                             { "zone", zone.text() },
                             { "slots", owner.mSlots },
                             { "delay_ms", toSeconds(delay) * 1000 } });
    }
  }
  return candidates;
}

} // namespace

std::string statusReport(const StatusInput& aInput, TimePoint aNow)
{
  Json members = Json::array();
  for (const Member& member : aInput.mMembers) {
    members.push_back(memberRow(member));
  }
  return Json{
    { "instance", aInput.mSelf.mId.text() },
    { "zone", aInput.mSelf.mZone.text() },
    { "ready", aInput.mReady },
    { "draining", aInput.mDraining },
    { "version", aInput.mSelf.mVersion.value() },
    { "hash", aInput.mHash },
    { "in_progress", aInput.mInProgress },
    { "claim_backlog", aInput.mClaimBacklog },
    { "control_bytes_sent", aInput.mControlBytesSent },
    { "members", members },
    { "services", servicesOf(aInput, aNow) }
  }.dump();
}

std::string explainReport(const ExplainInput& aInput,
                          const FleetView& aView,
                          const ServicePool* aPool,
                          TimePoint aNow)
{
  const Service* service = aView.mDocument->service(aInput.mService);
  const RequestClass* requestClass =
    service == nullptr ? nullptr : service->requestClass(aInput.mClass);
  if (requestClass == nullptr) {
    return Json{ { "error", "unknown tenant, service or class" } }.dump();
  }
  const bool local = aPool != nullptr && aPool->isUsable(aNow);
  Json report{ { "instance", aInput.mInstance.text() },
               { "zone", aInput.mZone.text() },
               { "decision", local ? "queue here" : "relay" },
               { "candidates", candidatesOf(aInput, aView) } };
  if (!local) {
    report["because"] = "this instance owns no usable target of the service";
    return report.dump();
  }
  const QueuedRequest entry{ RequestId{},
                             requestClass->mName,
                             requestClass->mPriority,
                             aNow + requestClass->mDeadline,
                             requestClass->mSlotShare,
                             {} };
  const Duration wait = aPool->expectedWait(entry, aNow);
  report["pool"] = poolRow(*aPool, aNow);
  report["expected_wait_ms"] = toSeconds(wait) * 1000;
  report["answer_ms"] = toSeconds(aPool->responseTime(requestClass->mName)) * 1000;
  report["deadline_ms"] = toMillis(requestClass->mDeadline);
  report["because"] = aPool->canServe(entry, aNow)
                        ? "the queue can serve the request before its deadline"
                        : "the queue is too long: the request would be refused as not run";
  return report.dump();
}

} // namespace bulrushrun
