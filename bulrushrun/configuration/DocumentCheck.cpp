#include "bulrushrun/configuration/DocumentCheck.h"

#include <set>

namespace bulrushrun {

namespace {

/// Consistency checks of one document.
class DocumentChecker
{
public:
  DocumentChecker(const Document& aDocument, const std::string& aFile, Findings& aFindings)
    : mDocument(aDocument)
    , mFile(aFile)
    , mFindings(aFindings)
  {
  }

  void run()
  {
    checkRegions();
    checkLinks();
    checkTenants();
    checkDefaults();
    checkExceptions();
  }

private:
  void report(const std::string& aText) { mFindings.add({ mFile, 0, 0 }, aText); }

  template<class Name>
  void requireUnique(std::set<Name>& aSeen, const Name& aName, const std::string& aKind)
  {
    if (!aSeen.insert(aName).second) {
      report(aKind + " '" + aName.text() + "' is defined twice");
    }
  }

  void checkRegions()
  {
    if (mDocument.mRegions.empty()) {
      report("at least one region is required");
    }
    for (const Region& region : mDocument.mRegions) {
      requireUnique(mRegions, region.mName, "region");
      for (const ZoneName& zone : region.mZones) {
        requireUnique(mZones, zone, "zone");
      }
    }
  }

  void checkLinks()
  {
    for (const Link& link : mDocument.mLinks) {
      for (const RegionName& end : { link.mFirst, link.mSecond }) {
        if (!end.empty() && !mRegions.contains(end)) {
          report("a link refers to the unknown region '" + end.text() + "'");
        }
      }
    }
  }

  void checkTenants()
  {
    std::set<TenantName> tenants;
    for (const Tenant& tenant : mDocument.mTenants) {
      requireUnique(tenants, tenant.mName, "tenant");
      std::set<ServiceName> services;
      for (const Service& service : tenant.mServices) {
        requireUnique(services, service.mName, "service");
        checkService(service);
      }
    }
  }

  void checkService(const Service& aService)
  {
    std::set<ClassName> classes;
    for (const RequestClass& requestClass : aService.mClasses) {
      requireUnique(classes, requestClass.mName, "class");
    }
    for (const TargetSpec& target : aService.mTargets) {
      requireUnique(mTargets, target.mId, "target");
      if (!mZones.contains(target.mZone)) {
        report("service '" + aService.mName.text() + "' has targets in the unknown zone '" +
               target.mZone.text() + "'");
      }
    }
  }

  void checkDefaults()
  {
    const Defaults& defaults = mDocument.mDefaults;
    if (defaults.mClaimRetention < 2 * defaults.mRepeatWindow) {
      report(
        "claim_retention_s must be at least twice repeat_window_s, so that no claim is dropped "
        "while a caller may still send a duplicate of its request");
    }
  }

  void checkExceptions()
  {
    for (const ExceptionRule& exception : mDocument.mExceptions) {
      if (!exception.mTarget.empty() && !mTargets.contains(exception.mTarget)) {
        mFindings.add(exception.mLocation,
                      "the exception matches no target: '" + exception.mTarget.text() + "'");
      }
      if (!exception.mZone.empty() && !mZones.contains(exception.mZone)) {
        mFindings.add(exception.mLocation,
                      "the exception matches no zone: '" + exception.mZone.text() + "'");
      }
    }
  }

  const Document& mDocument;
  const std::string& mFile;
  Findings& mFindings;
  std::set<RegionName> mRegions;
  std::set<ZoneName> mZones;
  std::set<TargetId> mTargets;
};

} // namespace

void checkDocument(const Document& aDocument, const std::string& aFile, Findings& aFindings)
{
  DocumentChecker{ aDocument, aFile, aFindings }.run();
}

} // namespace bulrushrun
