#pragma once

#include "bulrushrun/store.h"
#include "scenario/VirtualNetwork.h"

#include <map>
#include <string>

namespace bulrushrun::scenario {

/// \brief How the platform misbehaves.
enum class PlatformMode
{
  Normal,
  /// Refuses everything.
  Outage,
  /// Takes no effect and gives no answer.
  Silent,
  /// Takes effect and gives no answer, half of the time.
  LosesAnswers,
  /// Gives no answer in time and takes effect seconds later, half of the time.
  AppliesLate,
};

/// \brief The platform under a virtual clock: table, objects, instance list.
class FakePlatform
{
public:
  FakePlatform(VirtualNetwork& aNetwork, ZoneName aZone, Duration aServiceTime)
    : mNetwork(aNetwork)
    , mZone(std::move(aZone))
    , mServiceTime(aServiceTime)
  {
  }

  void setMode(PlatformMode aMode) { mMode = aMode; }
  /// \brief Puts a target on the list of leaving instances; \a aOnShown runs whenever an answer
  /// that names it goes out.
  void listLeaving(const Endpoint& aTarget, std::function<void()> aOnShown)
  {
    mOnShown.push_back(std::move(aOnShown));
    mListed.push_back({ InstanceId{ aTarget.text() }, aTarget, true });
  }

  /// \brief \returns the record as it stands, for checks.
  const TableRecord* record(const std::string& aKey) const
  {
    const auto found = mTable.find(aKey);
    return found == mTable.end() ? nullptr : &found->second;
  }
  std::uint64_t transactionCount() const { return mTransactions; }
  std::uint64_t readCount() const { return mReads; }

  // Calls of a node; the callbacks run on that node.
  void transact(NodeIndex aNode,
                const Transaction& aTx,
                const std::function<void(TransactionResult)>& aDone);
  void read(NodeIndex aNode, const std::string& aKey, const std::function<void(ReadResult)>& aDone);
  void putObject(NodeIndex aNode,
                 const std::string& aName,
                 const std::string& aBytes,
                 const std::function<void(bool)>& aDone);
  void readObject(NodeIndex aNode,
                  const std::string& aName,
                  const std::function<void(ObjectResult)>& aDone);
  void listInstances(NodeIndex aNode, const std::function<void(InstanceListResult)>& aDone);

private:
  /// What becomes of one call.
  enum class Fate
  {
    Served,
    Refused,
    Ignored,
    AnswerLost,
    AppliedLate,
  };

  static constexpr Duration kClientLimit = std::chrono::seconds(2);

  Fate fateOf(NodeIndex aNode);
  Duration roundTrip(NodeIndex aNode);
  TransactionResult apply(const Transaction& aTransaction);
  void later(NodeIndex aNode, Duration aDelay, std::function<void()> aCallback);
  template<class Result>
  void answer(NodeIndex aNode,
              const std::function<void(Result)>& aDone,
              const std::function<Result()>& aServe);

  VirtualNetwork& mNetwork;
  ZoneName mZone;
  Duration mServiceTime;
  PlatformMode mMode = PlatformMode::Normal;
  std::map<std::string, TableRecord> mTable;
  std::map<std::string, std::string> mObjects;
  std::vector<ListedInstance> mListed;
  std::vector<std::function<void()>> mOnShown;
  std::uint64_t mTransactions = 0;
  std::uint64_t mReads = 0;
};

} // namespace bulrushrun::scenario
