#include "scenario/FakePlatform.h"

namespace bulrushrun::scenario {

FakePlatform::Fate FakePlatform::fateOf(NodeIndex aNode)
{
  if (mNetwork.isCutFromPlatform(mNetwork.zoneOf(aNode))) {
    return Fate::Ignored;
  }
  switch (mMode) {
    case PlatformMode::Normal:
      return Fate::Served;
    case PlatformMode::Outage:
      return Fate::Refused;
    case PlatformMode::Silent:
      return Fate::Ignored;
    case PlatformMode::LosesAnswers:
      return mNetwork.random().chance(0.5) ? Fate::AnswerLost : Fate::Served;
    case PlatformMode::AppliesLate:
      break;
  }
  return mNetwork.random().chance(0.5) ? Fate::AppliedLate : Fate::Served;
}

Duration FakePlatform::roundTrip(NodeIndex aNode)
{
  return 2 * mNetwork.delay(mNetwork.zoneOf(aNode), mZone) + mServiceTime;
}

void FakePlatform::later(NodeIndex aNode, Duration aDelay, std::function<void()> aCallback)
{
  mNetwork.atNode(aNode, aDelay, std::move(aCallback));
}

TransactionResult FakePlatform::apply(const Transaction& aTransaction)
{
  ++mTransactions;
  TransactionResult result{ TransactionStatus::Applied, {} };
  for (const TableWrite& write : aTransaction) {
    const TableRecord* stands = record(write.mKey);
    const RecordVersion version = stands == nullptr ? RecordVersion{} : stands->mVersion;
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
  switch (fateOf(aNode)) {
    case Fate::Refused:
      later(aNode, trip, [aDone] { aDone({ TransactionStatus::Unavailable, {} }); });
      return;
    case Fate::Ignored:
      later(aNode, kClientLimit, [aDone, unknown] { aDone(unknown); });
      return;
    case Fate::AnswerLost:
      mNetwork.after(trip / 2, [this, aTx] { apply(aTx); });
      later(aNode, kClientLimit, [aDone, unknown] { aDone(unknown); });
      return;
    case Fate::AppliedLate:
      mNetwork.after(kClientLimit + fromSeconds(4 * mNetwork.random().unit()),
                     [this, aTx] { apply(aTx); });
      later(aNode, kClientLimit, [aDone, unknown] { aDone(unknown); });
      return;
    case Fate::Served:
      break;
  }
  mNetwork.after(trip / 2, [=, this] {
    const TransactionResult result = apply(aTx);
    later(aNode, trip / 2, [aDone, result] { aDone(result); });
  });
}

template<class Result>
void FakePlatform::answer(NodeIndex aNode,
                          const std::function<void(Result)>& aDone,
                          const std::function<Result()>& aServe)
{
  const Duration trip = roundTrip(aNode);
  const Fate fate = fateOf(aNode);
  if (fate == Fate::Served) {
    mNetwork.after(trip / 2, [=, this] {
      const Result result = aServe();
      later(aNode, trip / 2, [aDone, result] { aDone(result); });
    });
    return;
  }
  const Duration wait = fate == Fate::Refused ? trip : kClientLimit;
  later(aNode, wait, [aDone] { aDone(Result{}); });
}

void FakePlatform::read(NodeIndex aNode,
                        const std::string& aKey,
                        const std::function<void(ReadResult)>& aDone)
{
  answer<ReadResult>(aNode, aDone, [this, aKey] {
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
  answer<bool>(aNode, aDone, [this, aName, aBytes] {
    mObjects[aName] = aBytes;
    return true;
  });
}

void FakePlatform::readObject(NodeIndex aNode,
                              const std::string& aName,
                              const std::function<void(ObjectResult)>& aDone)
{
  answer<ObjectResult>(aNode, aDone, [this, aName] {
    const auto found = mObjects.find(aName);
    return ObjectResult{ true,
                         found == mObjects.end() ? std::nullopt : std::optional{ found->second } };
  });
}

void FakePlatform::listInstances(NodeIndex aNode,
                                 const std::function<void(InstanceListResult)>& aDone)
{
  answer<InstanceListResult>(aNode, aDone, [this] {
    for (const std::function<void()>& onShown : mOnShown) {
      onShown();
    }
    return InstanceListResult{ true, mListed };
  });
}

} // namespace bulrushrun::scenario
