#include "scenario/FakePlatform.h"

namespace bulrushrun::scenario {

FakePlatform::CallOutcome FakePlatform::outcomeOf(NodeIndex aNode)
{
  if (mNetwork.isCutFromPlatform(mNetwork.zoneOf(aNode))) {
    return CallOutcome::TimedOut;
  }
  switch (mMode) {
    case PlatformMode::Normal:
      return CallOutcome::Served;
    case PlatformMode::Outage:
      return CallOutcome::Rejected;
    case PlatformMode::Unresponsive:
      return CallOutcome::TimedOut;
    case PlatformMode::LosesAnswers:
      return mNetwork.random().chance(0.5) ? CallOutcome::ResponseLost : CallOutcome::Served;
    case PlatformMode::AppliesLate:
      break;
  }
  return mNetwork.random().chance(0.5) ? CallOutcome::AppliedLate : CallOutcome::Served;
}

Duration FakePlatform::roundTrip(NodeIndex aNode)
{
  return 2 * mNetwork.delay(mNetwork.zoneOf(aNode), mZone) + mServiceTime;
}

void FakePlatform::runOnNodeAfter(NodeIndex aNode, Duration aDelay, std::function<void()> aCallback)
{
  mNetwork.atNode(aNode, aDelay, std::move(aCallback));
}

TransactionResult FakePlatform::apply(const Transaction& aTransaction)
{
  ++mTransactions;
  TransactionResult result{ TransactionStatus::Applied, {} };
  for (const TableWrite& write : aTransaction) {
    const TableRecord* current = record(write.mKey);
    const RecordVersion version = current == nullptr ? RecordVersion{} : current->mVersion;
    result.mConflicts.push_back(version != write.mExpectedVersion);
    if (result.mConflicts.back()) {
      result.mStatus = TransactionStatus::Conflict;
    }
  }
  if (result.mStatus == TransactionStatus::Applied) {
    for (const TableWrite& write : aTransaction) {
      mTable[write.mKey] = { write.mExpectedVersion.next(), write.mValue };
    }
  }
  return result;
}

void FakePlatform::transact(NodeIndex aNode,
                            const Transaction& aTx,
                            const std::function<void(TransactionResult)>& aDone)
{
  const Duration trip = roundTrip(aNode);
  const TransactionResult unknown{ TransactionStatus::Unknown, {} };
  switch (outcomeOf(aNode)) {
    case CallOutcome::Rejected:
      runOnNodeAfter(aNode, trip, [aDone] { aDone({ TransactionStatus::Unavailable, {} }); });
      return;
    case CallOutcome::TimedOut:
      runOnNodeAfter(aNode, kClientTimeout, [aDone, unknown] { aDone(unknown); });
      return;
    case CallOutcome::ResponseLost:
      mNetwork.after(trip / 2, [this, aTx] { apply(aTx); });
      runOnNodeAfter(aNode, kClientTimeout, [aDone, unknown] { aDone(unknown); });
      return;
    case CallOutcome::AppliedLate:
      mNetwork.after(kClientTimeout + fromSeconds(4 * mNetwork.random().unit()),
                     [this, aTx] { apply(aTx); });
      runOnNodeAfter(aNode, kClientTimeout, [aDone, unknown] { aDone(unknown); });
      return;
    case CallOutcome::Served:
      break;
  }
  mNetwork.after(trip / 2, [=, this] {
    const TransactionResult result = apply(aTx);
    runOnNodeAfter(aNode, trip / 2, [aDone, result] { aDone(result); });
  });
}

template<class Result>
void FakePlatform::respond(NodeIndex aNode,
                           const std::function<void(Result)>& aDone,
                           const std::function<Result()>& aServe)
{
  const Duration trip = roundTrip(aNode);
  const CallOutcome outcome = outcomeOf(aNode);
  if (outcome == CallOutcome::Served) {
    mNetwork.after(trip / 2, [=, this] {
      const Result result = aServe();
      runOnNodeAfter(aNode, trip / 2, [aDone, result] { aDone(result); });
    });
    return;
  }
  const Duration wait = outcome == CallOutcome::Rejected ? trip : kClientTimeout;
  runOnNodeAfter(aNode, wait, [aDone] { aDone(Result{}); });
}

void FakePlatform::read(NodeIndex aNode,
                        const std::string& aKey,
                        const std::function<void(ReadResult)>& aDone)
{
  respond<ReadResult>(aNode, aDone, [this, aKey] {
    ++mReads;
    const TableRecord* found = record(aKey);
    return ReadResult{ true, found == nullptr ? std::nullopt : std::optional{ *found } };
  });
}

void FakePlatform::putObject(NodeIndex aNode,
                             const std::string& aName,
                             const std::string& aBytes,
                             const std::function<void(bool)>& aDone)
{
  respond<bool>(aNode, aDone, [this, aName, aBytes] {
    mObjects[aName] = aBytes;
    return true;
  });
}

void FakePlatform::readObject(NodeIndex aNode,
                              const std::string& aName,
                              const std::function<void(ObjectResult)>& aDone)
{
  respond<ObjectResult>(aNode, aDone, [this, aName] {
    const auto found = mObjects.find(aName);
    return ObjectResult{ true,
                         found == mObjects.end() ? std::nullopt : std::optional{ found->second } };
  });
}

void FakePlatform::listInstances(NodeIndex aNode,
                                 const std::function<void(InstanceListResult)>& aDone)
{
  respond<InstanceListResult>(aNode, aDone, [this] {
    for (const std::function<void()>& onListRead : mOnListRead) {
      onListRead();
    }
    return InstanceListResult{ true, mListed };
  });
}

} // namespace bulrushrun::scenario
