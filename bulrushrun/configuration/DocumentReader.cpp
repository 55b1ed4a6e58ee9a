#include "bulrushrun/configuration/DocumentReader.h"

#include "bulrushrun/configuration/DocumentCheck.h"
#include "bulrushrun/configuration/Timestamp.h"
#include "bulrushrun/configuration/YamlMap.h"

namespace bulrushrun {

namespace {

constexpr double kBitsPerMegabit = 1e6;
constexpr double kMaxMegabits = 1e7;
constexpr double kMaxYearSeconds = 366.0 * 86400;
constexpr int kMaxSlots = 10000;

Defaults readDefaults(const YamlMap& aMap)
{
  aMap.allowOnly({ "lookup_ttl_ms",
                   "retry_budget",
                   "claim_retention_s",
                   "repeat_window_s",
                   "zone_delay_ms",
                   "shift_cap_per_second",
                   "shift_cap_total",
                   "ejection_cap" });
  Defaults defaults;
  defaults.mLookupTimeToLive = aMap.millis("lookup_ttl_ms", defaults.mLookupTimeToLive);
  defaults.mRetryBudget = aMap.number("retry_budget", defaults.mRetryBudget, 0, 1);
  defaults.mClaimRetention = UnixSeconds{ static_cast<std::int64_t>(
    aMap.number("claim_retention_s",
                static_cast<double>(defaults.mClaimRetention.count()),
                60,
                kMaxYearSeconds)) };
  defaults.mRepeatWindow = UnixSeconds{ static_cast<std::int64_t>(aMap.number(
    "repeat_window_s", static_cast<double>(defaults.mRepeatWindow.count()), 1, kMaxYearSeconds)) };
  defaults.mZoneDelay = aMap.millis("zone_delay_ms", defaults.mZoneDelay);
  defaults.mShiftCapPerSecond =
    aMap.number("shift_cap_per_second", defaults.mShiftCapPerSecond, 0, 1);
  defaults.mShiftCapTotal = aMap.number("shift_cap_total", defaults.mShiftCapTotal, 0, 1);
  defaults.mEjectionCap = aMap.number("ejection_cap", defaults.mEjectionCap, 0, 1);
  return defaults;
}

Region readRegion(const YamlMap& aMap)
{
  aMap.allowOnly({ "name", "zones" });
  Region region;
  region.mName = RegionName{ aMap.text("name") };
  for (const std::string& zone : aMap.texts("zones")) {
    region.mZones.emplace_back(zone);
  }
  if (region.mZones.empty()) {
    aMap.report("zones", "a region must have at least one zone");
  }
  return region;
}

double readCapacity(const YamlMap& aMap, double aDefault)
{
  return kBitsPerMegabit *
         aMap.number("capacity_mbit", aDefault / kBitsPerMegabit, 0.001, kMaxMegabits);
}

Link readLink(const YamlMap& aMap, const LinkDefaults& aDefaults)
{
  aMap.allowOnly({ "regions", "capacity_mbit", "delay_ms" });
  Link link;
  const std::vector<std::string> ends = aMap.texts("regions");
  if (ends.size() != 2) {
    aMap.report("regions", "a link must connect exactly two regions");
  } else {
    link.mFirst = RegionName{ ends[0] };
    link.mSecond = RegionName{ ends[1] };
  }
  link.mCapacity = readCapacity(aMap, aDefaults.mCapacity);
  link.mDelay = aMap.millis("delay_ms", aDefaults.mDelay);
  return link;
}

RequestClass readClass(const YamlMap& aMap)
{
  aMap.allowOnly({ "name", "repeatable", "priority", "deadline_ms", "slot_share", "answer_bytes" });
  RequestClass requestClass;
  requestClass.mName = ClassName{ aMap.text("name") };
  requestClass.mRepeatable = aMap.flag("repeatable", requestClass.mRepeatable);
  requestClass.mPriority = aMap.integer("priority", requestClass.mPriority, 0, 9);
  requestClass.mDeadline = aMap.millis("deadline_ms", requestClass.mDeadline);
  requestClass.mSlotShare = aMap.number("slot_share", requestClass.mSlotShare, 0.01, 1);
  requestClass.mAnswerBytes = aMap.number("answer_bytes", requestClass.mAnswerBytes, 0, 1e12);
  return requestClass;
}

TargetSpec readTarget(const std::string& aAddress, const ZoneName& aZone, int aSlots)
{
  const std::optional<Endpoint> endpoint = parseEndpoint(aAddress);
  return { TargetId{ aAddress }, endpoint.value_or(Endpoint{}), aZone, aSlots };
}

void readTargets(const YamlMap& aMap, int aSlots, Service& aService)
{
  for (const std::string& zone : aMap.keys()) {
    for (const std::string& address : aMap.texts(zone.c_str())) {
      if (!parseEndpoint(address)) {
        aMap.report(zone.c_str(), "'" + address + "' is not an address of the form a.b.c.d:port");
      }
      aService.mTargets.push_back(readTarget(address, ZoneName{ zone }, aSlots));
    }
  }
}

Service readService(const YamlMap& aMap)
{
  aMap.allowOnly({ "name", "slots", "classes", "targets" });
  Service service;
  service.mName = ServiceName{ aMap.text("name") };
  for (const YamlMap& item : aMap.maps("classes")) {
    service.mClasses.push_back(readClass(item));
  }
  if (service.mClasses.empty()) {
    aMap.report("classes", "a service must have at least one class");
  }
  const int slots = aMap.integer("slots", 1, 1, kMaxSlots);
  const std::optional<YamlMap> targets = aMap.map("targets");
  if (targets) {
    readTargets(*targets, slots, service);
  }
  if (service.mTargets.empty()) {
    aMap.report("targets", "a service must have at least one target");
  }
  return service;
}

Tenant readTenant(const YamlMap& aMap)
{
  aMap.allowOnly({ "name", "services" });
  Tenant tenant;
  tenant.mName = TenantName{ aMap.text("name") };
  for (const YamlMap& item : aMap.maps("services")) {
    tenant.mServices.push_back(readService(item));
  }
  return tenant;
}

ExceptionRule readException(const YamlMap& aMap)
{
  aMap.allowOnly({ "target", "zone", "state", "reason", "author", "expires" });
  ExceptionRule rule;
  rule.mLocation = aMap.location();
  rule.mTarget = TargetId{ aMap.textOr("target", "") };
  rule.mZone = ZoneName{ aMap.textOr("zone", "") };
  rule.mReason = aMap.text("reason");
  rule.mAuthor = aMap.text("author");
  const std::string state = aMap.text("state");
  rule.mLeaving = state == "leaving";
  if (!rule.mLeaving && !state.empty()) {
    aMap.report("state", "unknown state '" + state + "'; known: leaving");
  }
  if (rule.mTarget.empty() == rule.mZone.empty()) {
    aMap.report(nullptr, "an exception must have either a target or a zone");
  }
  if (aMap.has("expires")) {
    rule.mExpires = parseTimestamp(aMap.textOr("expires", ""));
    if (!rule.mExpires) {
      aMap.report("expires", "a timestamp must have the form YYYY-MM-DDTHH:MM:SSZ");
    }
  }
  return rule;
}

void readLinks(const YamlMap& aMap, Document& aDocument)
{
  aMap.allowOnly({ "default", "between" });
  const std::optional<YamlMap> defaults = aMap.map("default");
  if (defaults) {
    defaults->allowOnly({ "capacity_mbit", "delay_ms" });
    aDocument.mLinkDefaults.mCapacity = readCapacity(*defaults, aDocument.mLinkDefaults.mCapacity);
    aDocument.mLinkDefaults.mDelay = defaults->millis("delay_ms", aDocument.mLinkDefaults.mDelay);
  }
  for (const YamlMap& item : aMap.maps("between")) {
    aDocument.mLinks.push_back(readLink(item, aDocument.mLinkDefaults));
  }
}

Document readSections(const YamlMap& aMap)
{
  aMap.allowOnly({ "defaults", "regions", "links", "tenants", "exceptions" });
  Document document;
  const std::optional<YamlMap> defaults = aMap.map("defaults");
  if (defaults) {
    document.mDefaults = readDefaults(*defaults);
  }
  for (const YamlMap& item : aMap.maps("regions")) {
    document.mRegions.push_back(readRegion(item));
  }
  const std::optional<YamlMap> links = aMap.map("links");
  if (links) {
    readLinks(*links, document);
  }
  for (const YamlMap& item : aMap.maps("tenants")) {
    document.mTenants.push_back(readTenant(item));
  }
  for (const YamlMap& item : aMap.maps("exceptions")) {
    document.mExceptions.push_back(readException(item));
  }
  return document;
}

} // namespace

std::optional<Document> readDocument(const std::string& aText,
                                     const std::string& aFile,
                                     Findings& aFindings)
{
  const std::optional<YamlMap> map = parseYamlMap(aText, aFile, aFindings);
  if (!map) {
    return std::nullopt;
  }
  Document document = readSections(*map);
  checkDocument(document, aFile, aFindings);
  if (!aFindings.empty()) {
    return std::nullopt;
  }
  return document;
}

} // namespace bulrushrun
