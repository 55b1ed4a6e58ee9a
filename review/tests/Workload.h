#pragma once

#include "review/tests/Harness.h"

#include <set>

/// \file
/// \brief What the cases about memory share: clients that send orders on kept connections, sound
/// servers that run them, and the platform, which ends a process that exceeds its memory.

namespace review {

struct Observations
{
  std::mutex mMutex;
  /// Ids of the orders at which a sound server began to work.
  std::set<std::string> mRun;
  int mAnswered = 0;
  int mRefused = 0;
  int mOther = 0;
  /// Sent on a kept connection, run by a sound server, connection closed without an answer.
  int mLost = 0;
  /// By machine: how often its process ended.
  std::vector<int> mEnds;
};

/// \brief A deployment of three machines with sound order servers. A case adds its own servers and
/// clients.
class Workload
{
public:
  using AddServer = std::function<void(const std::string&, int, Server::Handler)>;

  explicit Workload(Record& aRecord)
    : mRecord(aRecord)
    , mDeployment({ { "edge-a-1", "127.45.1.1", "almaty-a" },
                    { "edge-b-1", "127.45.1.2", "almaty-b" },
                    { "edge-c-1", "127.45.1.3", "karaganda-a" } })
  {
    mSeen.mEnds.resize(mDeployment.machines().size());
  }
  virtual ~Workload() = default;
  Workload(const Workload&) = delete;
  Workload& operator=(const Workload&) = delete;

  /// \brief Plays the case. \returns the exit code of the script
  int play(double aLengthS)
  {
    if (mDeployment.storePort() < 0) {
      return 2;
    }
    Store store{ Deployment::storeIp(), mDeployment.storePort() };
    std::vector<std::unique_ptr<Server>> servers;
    const std::vector<std::string> zones{ "almaty-a", "almaty-b", "karaganda-a" };
    const auto add = [&](const std::string& aService, int aNumber, Server::Handler aHandler) {
      const std::string ip = "127.45.2." + std::to_string(servers.size() + 1);
      const int port = findFreePorts({ ip }, 1);
      servers.push_back(std::make_unique<Server>(ip, port, std::move(aHandler)));
      store.put("servers",
                aService + "-" + std::to_string(aNumber),
                serverEntry(ip + ":" + std::to_string(port), aService, zones[aNumber % 3], 8));
    };
    for (int i = 0; i < 3; ++i) {
      add("orders", i, [this, i](const Message& aRequest, int aDescriptor) {
        return runOrder("orders-" + std::to_string(i), aRequest, aDescriptor);
      });
    }
    addServers(add);
    store.put(
      "op",
      "config",
      configEntry(1,
                  routeEntry("order", "non_idempotent", "orders", kOrderTimeoutMs) + "," + route(),
                  serviceEntry("orders") + "," + service()));
    const std::size_t machines = mDeployment.machines().size();
    for (std::size_t i = 0; i < machines; ++i) {
      mDeployment.start(i);
    }
    for (std::size_t i = 0; i < machines; ++i) {
      if (!mDeployment.waitReady(i, 15)) {
        mRecord.line("machine %zu isn't ready", i);
        return 2;
      }
    }
    // The instances know each other now.
    sleepFor(3);
    mRecord.line("traffic starts, trouble %s", isTroubleOn() ? "on" : "off");
    mStartedAt = mRecord.elapsed();
    mEndAt = mStartedAt + aLengthS;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < machines; ++i) {
      for (int c = 0; c < kOrderClientsPerMachine; ++c) {
        threads.emplace_back([this, i, c] { sendOrders(i, c); });
      }
    }
    addClients(threads);
    watchProcesses();
    for (std::thread& thread : threads) {
      thread.join();
    }
    return judge();
  }

protected:
  virtual void addServers(const AddServer& aAdd) = 0;
  virtual void addClients(std::vector<std::thread>& aThreads) = 0;
  virtual std::string route() const = 0;
  virtual std::string service() const = 0;

  bool isOver() const { return mRecord.elapsed() >= mEndAt; }
  /// \returns the seconds since traffic started.
  double elapsed() const { return mRecord.elapsed() - mStartedAt; }
  Record& record() { return mRecord; }
  Deployment& deployment() { return mDeployment; }

private:
  static constexpr int kOrderClientsPerMachine = 4;
  static constexpr double kOrderWorkS = 0.4;
  static constexpr int kOrderTimeoutMs = 4000;
  static constexpr long kMemoryKb = Deployment::kMemoryMb * 1024L;
  /// LOST: "more than three times".
  static constexpr int kMaxLost = 3;
  /// Fault: "three times in the day" on two machines.
  static constexpr int kFaultEnds = 3;
  static constexpr int kFaultMachines = 2;
  static constexpr double kRestartDelayS = 0.5;

  bool runOrder(const std::string& aServer, const Message& aRequest, int aDescriptor)
  {
    const std::string id = aRequest.header("x-request-id");
    {
      const std::lock_guard<std::mutex> lock{ mSeen.mMutex };
      mSeen.mRun.insert(id);
    }
    mRecord.line("%s runs %s", aServer.c_str(), id.c_str());
    sleepFor(kOrderWorkS);
    return sendAll(aDescriptor, answerText(aRequest, aServer, "order " + id));
  }

  /// One client: it keeps its connection and sends one order after the other.
  void sendOrders(std::size_t aMachine, int aClient)
  {
    const std::string& ip = mDeployment.machines()[aMachine].mIp;
    std::unique_ptr<Connection> connection;
    int onConnection = 0;
    for (int number = 0; !isOver(); ++number) {
      if (!connection || !connection->isOpen()) {
        connection = std::make_unique<Connection>(ip, mDeployment.frontendPort());
        onConnection = 0;
        if (!connection->isOpen()) {
          sleepFor(0.1);
          continue;
        }
      }
      const std::string id = "o" + std::to_string(aMachine) + "-" + std::to_string(aClient) + "-" +
                             std::to_string(number);
      const bool kept = onConnection++ > 0;
      mRecord.line("client sends %s to %s%s",
                   id.c_str(),
                   mDeployment.machines()[aMachine].mName.c_str(),
                   kept ? " on a kept connection" : "");
      Message answer;
      const bool sent = connection->send(
        requestText("POST", "/order/new", id, aClient * 7 + 1, kOrderTimeoutMs, "two cards"));
      const ReadEnd end = sent ? connection->receive(answer, 5) : ReadEnd::ClosedBefore;
      noteOrder(id, kept, end, answer);
      if (end != ReadEnd::Complete || answer.header("connection") == "close") {
        connection.reset();
      }
    }
  }

  void noteOrder(const std::string& aId, bool aKept, ReadEnd aEnd, const Message& aAnswer)
  {
    const std::lock_guard<std::mutex> lock{ mSeen.mMutex };
    const bool run = mSeen.mRun.count(aId) > 0;
    if (aEnd == ReadEnd::Complete) {
      mRecord.line("client got %d for %s", aAnswer.status(), aId.c_str());
      ++(aAnswer.status() == 200 ? mSeen.mAnswered
                                 : (aAnswer.status() == 503 ? mSeen.mRefused : mSeen.mOther));
      return;
    }
    const bool closed = aEnd == ReadEnd::ClosedBefore || aEnd == ReadEnd::ClosedWithin;
    mRecord.line("client: connection %s without an answer to %s, which %s",
                 closed ? "closed" : "silent",
                 aId.c_str(),
                 run ? "a sound server had begun to run" : "hadn't run");
    mSeen.mLost += closed && run && aKept ? 1 : 0;
  }

  /// Ends a process that exceeds the machine's memory, as the platform does, and starts processes
  /// that have ended after a short delay.
  void watchProcesses()
  {
    const std::size_t machines = mDeployment.machines().size();
    std::vector<double> startAt(machines, -1);
    while (!isOver()) {
      for (std::size_t i = 0; i < machines; ++i) {
        const char* name = mDeployment.machines()[i].mName.c_str();
        const long peak = mDeployment.pidOf(i) > 0 ? mDeployment.peakKb(i) : 0;
        if (peak > kMemoryKb) {
          mDeployment.stop(i, SIGKILL);
          ++mSeen.mEnds[i];
          startAt[i] = mRecord.elapsed() + kRestartDelayS;
          mRecord.line("%s held %ld kB, more than its %ld kB: killed", name, peak, kMemoryKb);
        } else if (const std::optional<int> status = mDeployment.reap(i)) {
          ++mSeen.mEnds[i];
          startAt[i] = mRecord.elapsed() + kRestartDelayS;
          mRecord.line("%s ended by itself, status %d", name, *status);
        }
        if (startAt[i] >= 0 && mRecord.elapsed() >= startAt[i]) {
          startAt[i] = -1;
          mDeployment.start(i);
          mRecord.line("%s starts again", name);
        }
      }
      sleepFor(0.01);
    }
  }

  int judge()
  {
    int machinesWithEnds = 0;
    for (std::size_t i = 0; i < mSeen.mEnds.size(); ++i) {
      const char* name = mDeployment.machines()[i].mName.c_str();
      mRecord.line("%s: %d ends of its process, last peak %ld kB",
                   name,
                   mSeen.mEnds[i],
                   mDeployment.peakKb(i));
      machinesWithEnds += mSeen.mEnds[i] >= kFaultEnds ? 1 : 0;
    }
    mRecord.line("orders: %d answered, %d refused, %d failed, %d run and lost (allowed %d)",
                 mSeen.mAnswered,
                 mSeen.mRefused,
                 mSeen.mOther,
                 mSeen.mLost,
                 kMaxLost);
    const bool lost = mSeen.mLost > kMaxLost;
    const bool fault = machinesWithEnds >= kFaultMachines;
    mRecord.line("LOST %s, Fault %s", lost ? "broken" : "held", fault ? "broken" : "held");
    if (mSeen.mAnswered == 0) {
      return 2;
    }
    return lost || fault ? 1 : 0;
  }

  Record& mRecord;
  Deployment mDeployment;
  Observations mSeen;
  double mStartedAt = 0;
  double mEndAt = 0;
};

} // namespace review
