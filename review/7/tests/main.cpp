/// \file
/// \brief Case 7: after SIGTERM, an instance breaks off safe requests at which their server is at
/// work, and answers 502 in its place, since the server was silent for a while.

#include "review/common-2/tests/StandIns.h"

#include <algorithm>

namespace {

using namespace review;

/// A kind of request as the deployments have them: aim 400 ms, deadline 3 s; a few take long.
constexpr int kTimeoutMs = 3000;
constexpr int kUsualWorkMs = 150;
constexpr int kLongWorkMs = 1700;
constexpr int kSlots = 3;
constexpr int kUsualRequests = 40;
constexpr int kLongRequests = kSlots;
/// The long requests are sent this long before SIGTERM.
constexpr std::int64_t kLeadMs = 300;
/// Bounds of the deployment.
constexpr std::int64_t kStabilityMs = 3000;
constexpr std::int64_t kGraceMs = 6000;

/// \brief What the servers did with each request, in milliseconds since the start.
class Runs
{
public:
  void begin(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    mTimes[aId].first = nowMs();
  }
  void end(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    mTimes[aId].second = nowMs();
  }
  /// \returns true when a server was at work on the request at a time.
  bool isAtWork(const std::string& aId, std::int64_t aAtMs)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    const auto found = mTimes.find(aId);
    return found != mTimes.end() && found->second.first <= aAtMs &&
           (found->second.second == 0 || found->second.second > aAtMs);
  }

private:
  std::mutex mMutex;
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> mTimes;
};

struct Outcome
{
  std::string mId;
  std::int64_t mSentMs = 0;
  std::int64_t mAnsweredMs = 0;
  Message mAnswer;
};

Outcome send(const Instance& aInstance, const std::string& aPath, Record& aRecord)
{
  Outcome outcome;
  outcome.mId = newId();
  const std::unique_ptr<Connection> connection = aInstance.connect();
  if (!connection) {
    return outcome;
  }
  outcome.mSentMs = nowMs();
  connection->send(request("GET", aPath, outcome.mId, kTimeoutMs));
  outcome.mAnswer = connection->read(false, nowMs() + kTimeoutMs + 1000);
  outcome.mAnsweredMs = nowMs();
  const Message& answer = outcome.mAnswer;
  aRecord.add("client " + outcome.mId + ", sent at " + std::to_string(outcome.mSentMs) + " ms: " +
              (answer.mComplete ? "status " + std::to_string(answer.status()) : "no answer") +
              " after " + std::to_string(outcome.mAnsweredMs - outcome.mSentMs) + " ms, " +
              (answer.header("x-response-signature").empty() ? "not signed: " + answer.mBody
                                                             : "signed by a server"));
  return outcome;
}

void run(const CaseSetup& aSetup)
{
  Record& record = *new Record{ aSetup.mFolder + "/record.txt" };
  const std::string ip = "127.0.66.1";
  const std::string otherIp = "127.0.66.9";
  Store& store = *new Store{ otherIp };
  Json plan = configuration(
    1, Json::array({ route("r-1", "/stock/", "safe", "stock", kTimeoutMs) }), { "stock" });
  plan["routes"][0]["targetLatencyMs"] = 400;
  store.put("op", "config", plan.dump());
  Runs& runs = *new Runs;
  for (const std::string zone : { "za", "zb" }) {
    const std::string id = "i-" + zone;
    new Server(store,
               id,
               "stock",
               zone,
               otherIp,
               kSlots,
               [&runs, &record, id](Connection& aConnection, const Message& aRequest) {
                 const std::string request = aRequest.header("x-request-id");
                 runs.begin(request);
                 record.add("server " + id + " runs " + request);
                 const std::int64_t until =
                   nowMs() + (aRequest.path() == "/stock/long" ? kLongWorkMs : kUsualWorkMs);
                 // The server drops a request when its connection closes.
                 pollfd state{ aConnection.descriptor(), POLLRDHUP, 0 };
                 const bool isDropped =
                   ::poll(&state, 1, static_cast<int>(std::max<std::int64_t>(until - nowMs(), 0))) >
                   0;
                 runs.end(request);
                 record.add("server " + id + (isDropped ? " drops " : " has done ") + request +
                            (isDropped ? ", its connection was closed" : ""));
                 return !isDropped &&
                        aConnection.send(
                          response(200,
                                   { { "X-Request-Id", request },
                                     { "X-Response-Signature", "3e1b.07.5a2.600.0." + request },
                                     { "X-Server-Load", "1,0," + std::to_string(kSlots) },
                                     { "Keep-Alive", "timeout=10" } },
                                   "ok"));
               });
  }
  sleepMs(200);
  Instance& instance = *new Instance{ { aSetup.mProgram,
                                        aSetup.mFolder,
                                        "n1",
                                        ip,
                                        "zb",
                                        { { "za", "r" }, { "zb", "r" } },
                                        freePorts({ ip }, 6),
                                        otherIp + ":" + std::to_string(store.port()),
                                        { ip } } };
  if (!instance.waitUntilReady(nowMs() + 8000)) {
    std::cout << "the instance did not become ready\n";
    return;
  }
  sleepMs(4000);
  for (int i = 0; i < kUsualRequests; ++i) {
    if (send(instance, "/stock/usual", record).mAnswer.status() != 200) {
      std::cout << "a usual request was not answered\n";
      return;
    }
  }
  if (aSetup.mTrouble) {
    store.put("op", "evacuate/za", "{}");
    record.add("the operator evacuates za");
  }
  sleepMs(kStabilityMs);
  std::vector<Outcome> outcomes(kLongRequests);
  std::vector<std::thread> clients;
  for (Outcome& outcome : outcomes) {
    clients.emplace_back([&] { outcome = send(instance, "/stock/long", record); });
  }
  sleepMs(kLeadMs);
  const std::int64_t termMs = nowMs();
  if (aSetup.mTrouble) {
    record.add("SIGTERM");
    instance.signal(SIGTERM);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (aSetup.mTrouble) {
    record.add(instance.waitForEnd(termMs + kGraceMs) ? "the process has ended"
                                                      : "the process still runs");
  }
  int answered = 0;
  int broken = 0;
  for (const Outcome& outcome : outcomes) {
    const Message& answer = outcome.mAnswer;
    const bool isOwn = answer.mMissing || answer.header("x-response-signature").empty();
    const bool isInTime = outcome.mAnsweredMs < outcome.mSentMs + kTimeoutMs;
    // The moment before the answer: the server may notice the end of its connection first.
    const bool isAtWork = runs.isAtWork(outcome.mId, outcome.mAnsweredMs - 20);
    answered += answer.mComplete && answer.status() == 200 ? 1 : 0;
    broken += isOwn && isInTime && isAtWork ? 1 : 0;
  }
  const std::string result =
    "long requests " + std::to_string(kLongRequests) + ", answered by the server " +
    std::to_string(answered) +
    ", broken off while their server was at work, before deadline and timeout " +
    std::to_string(broken);
  record.add(result);
  std::cout << result << "\n" << std::flush;
  instance.kill(SIGKILL);
  const bool isBroken = broken > 0;
  // Threads of the stand-ins still run, so that nothing may be destroyed.
  ::_exit(!isBroken && answered == 0 ? kCouldNotRun : isBroken ? kBroken : kHeld);
}

} // namespace

int main(int aCount, char** aArguments)
{
  const CaseSetup setup = CaseSetup::read(aCount, aArguments);
  try {
    run(setup);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  std::cout << std::flush;
  ::_exit(kCouldNotRun);
}
