#pragma once

#include "bulrushrun/configuration/Document.h"
#include "bulrushrun/routing/OwnerDirectory.h"
#include "bulrushrun/routing/Ownership.h"

#include <memory>
#include <utility>
#include <vector>

namespace bulrushrun {

/// \brief Snapshot of the fleet as one instance sees it: the configuration in force, the live
/// instances, and the owner of each target.
///
/// Replaced as a whole whenever the configuration or the membership changes.
struct FleetView
{
  FleetView() = default;
  FleetView(std::shared_ptr<const Document> aDocument,
            ConfigurationVersion aVersion,
            std::vector<LiveInstance> aLive)
    : mDocument(std::move(aDocument))
    , mVersion(aVersion)
    , mLive(std::move(aLive))
    , mOwnership(*mDocument, mLive)
    , mDirectory(*mDocument, mLive, mOwnership)
  {
  }

  /// \brief \returns true when a configuration is in force.
  bool isReady() const { return mDocument != nullptr; }

  std::shared_ptr<const Document> mDocument;
  ConfigurationVersion mVersion;
  std::vector<LiveInstance> mLive;
  Ownership mOwnership;
  OwnerDirectory mDirectory;
};

} // namespace bulrushrun
