#pragma once

#include "bulrushrun/store.h"
#include "scenario/VirtualNetwork.h"

#include <map>
#include <string>

namespace bulrushrun::scenario {

/// \brief Fault mode of the simulated platform.
enum class PlatformMode
{
  Normal,
  /// Every call fails without effect.
  Outage,
  /// Calls have no effect and get no response; the client times out.
  Unresponsive,
  /// Half of the calls take effect, but their response is lost.
  LosesAnswers,
  /// Half of the calls time out and take effect seconds after the timeout.
  AppliesLate,
};

/// \brief In-memory platform under a virtual clock: table, object store and instance list.
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
  /// \brief Adds a target to the instance list, marked as leaving; \a aOnListRead runs each time a
  /// call is served with a list that contains it.
  void addLeavingInstance(const Endpoint& aTarget, std::function<void()> aOnListRead)
  {
    mOnListRead.push_back(std::move(aOnListRead));
    mListed.push_back({ InstanceId{ aTarget.text() }, aTarget, true });
  }

  /// \brief \returns the current record, for checks; nullptr if there is none.
  const TableRecord* record(const std::string& aKey) const
  {
    const auto found = mTable.find(aKey);
    return found == mTable.end() ? nullptr : &found->second;
  }
  std::uint64_t transactionCount() const { return mTransactions; }
  std::uint64_t readCount() const { return mReads; }

  // Calls made by a node; their callbacks run on that node.
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
  /// How one call is handled.
  enum class CallOutcome
  {
    Served,
    Rejected,
    TimedOut,
    ResponseLost,
    AppliedLate,
  };

  static constexpr Duration kClientTimeout = std::chrono::seconds(2);

  CallOutcome outcomeOf(NodeIndex aNode);
  Duration roundTrip(NodeIndex aNode);
  TransactionResult apply(const Transaction& aTransaction);
  void runOnNodeAfter(NodeIndex aNode, Duration aDelay, std::function<void()> aCallback);
  template<class Result>
  void respond(NodeIndex aNode,
               const std::function<void(Result)>& aDone,
               const std::function<Result()>& aServe);

  VirtualNetwork& mNetwork;
  ZoneName mZone;
  Duration mServiceTime;
  PlatformMode mMode = PlatformMode::Normal;
  std::map<std::string, TableRecord> mTable;
  std::map<std::string, std::string> mObjects;
  std::vector<ListedInstance> mListed;
  std::vector<std::function<void()>> mOnListRead;
  std::uint64_t mTransactions = 0;
  std::uint64_t mReads = 0;
};

} // namespace bulrushrun::scenario
