#pragma once

#include "bulrushrun/net.h"
#include "standins/RowStoreServer.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief Small deployment on loopback addresses for the cases of the third review: instances of
/// the deploy build as separate processes, a store, servers and clients.

namespace review {

using bulrushrun::Endpoint;
using Clock = std::chrono::steady_clock;

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

inline void sleepMillis(int aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

/// \brief Writes one line for each event, with the time since the start in milliseconds.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
    , mStart(Clock::now())
  {
  }
  void line(const std::string& aText)
  {
    const std::lock_guard<std::mutex> guard{ mMutex };
    mFile << elapsedMillis() << " " << aText << std::endl;
  }
  long elapsedMillis() const
  {
    return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - mStart).count());
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  Clock::time_point mStart;
};

/// \brief Blocking TCP connection.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
    const int yes = 1;
    ::setsockopt(mDescriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { close(); }

  static std::unique_ptr<Connection> open(const Endpoint& aEndpoint)
  {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aEndpoint.mPort);
    address.sin_addr.s_addr = htonl(aEndpoint.mAddress);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      ::close(descriptor);
      return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
  }

  bool send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t size =
        ::send(mDescriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }
  /// \brief Appends what arrives. \returns false at the end of the connection or of the wait
  bool receive(std::string& aBytes, int aWaitMillis)
  {
    pollfd state{ mDescriptor, POLLIN, 0 };
    if (::poll(&state, 1, aWaitMillis) <= 0) {
      return false;
    }
    char part[65536];
    const ssize_t size = ::recv(mDescriptor, part, sizeof(part), 0);
    if (size <= 0) {
      mEnded = true;
      return false;
    }
    aBytes.append(part, static_cast<std::size_t>(size));
    return true;
  }
  /// \brief \returns true when the other side closed or reset the connection.
  bool isClosedByPeer() const
  {
    pollfd state{ mDescriptor, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  bool hasEnded() const { return mEnded; }
  /// \brief Ends the connection with a reset.
  void reset()
  {
    const linger option{ 1, 0 };
    ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
  }
  void close()
  {
    if (mDescriptor >= 0) {
      ::close(mDescriptor);
      mDescriptor = -1;
    }
  }

private:
  int mDescriptor;
  bool mEnded = false;
};

/// \brief Head of a request or response, and the body as far as Content-Length states it.
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  bool mIsComplete = false;

  std::string header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? "" : found->second;
  }
  int status() const { return mFirstLine.size() > 12 ? std::atoi(mFirstLine.c_str() + 9) : 0; }
};

inline std::string lowerCase(std::string aText)
{
  for (char& byte : aText) {
    byte = static_cast<char>(std::tolower(static_cast<unsigned char>(byte)));
  }
  return aText;
}

/// \brief Reads one message from a connection; bytes behind it stay in aBuffer.
/// \returns nothing when the connection ended, or nothing came in time, before the end of the head
inline std::optional<Message> readMessage(Connection& aConnection,
                                          std::string& aBuffer,
                                          int aWaitMillis)
{
  const Clock::time_point end = Clock::now() + std::chrono::milliseconds(aWaitMillis);
  const auto left = [&] {
    return static_cast<int>(std::max<long>(
      0,
      static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count())));
  };
  std::size_t headEnd = std::string::npos;
  while ((headEnd = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!aConnection.receive(aBuffer, left())) {
      return std::nullopt;
    }
  }
  Message message;
  std::size_t at = aBuffer.find("\r\n");
  message.mFirstLine = aBuffer.substr(0, at);
  while (at < headEnd) {
    const std::size_t next = aBuffer.find("\r\n", at + 2);
    const std::string line = aBuffer.substr(at + 2, next - at - 2);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.mHeaders[lowerCase(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
    at = next;
  }
  aBuffer.erase(0, headEnd + 4);
  const std::size_t length =
    static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
  while (aBuffer.size() < length) {
    if (!aConnection.receive(aBuffer, left())) {
      message.mBody = std::exchange(aBuffer, "");
      return message;
    }
  }
  message.mBody = aBuffer.substr(0, length);
  aBuffer.erase(0, length);
  message.mIsComplete = true;
  return message;
}

/// \brief Server that answers on one thread for each connection.
class Server
{
public:
  /// Answers one request. \returns false when the connection ends
  using Handler = std::function<bool(Connection&, const Message&)>;

  Server(const Endpoint& aEndpoint, Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aEndpoint.mPort);
    address.sin_addr.s_addr = htonl(aEndpoint.mAddress);
    if (::bind(mListener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(mListener, 256) != 0) {
      std::perror("server");
      std::_Exit(kNotRun);
    }
    std::thread([this] { accept(); }).detach();
  }

private:
  void accept()
  {
    while (true) {
      const int descriptor = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      std::thread([this, descriptor] {
        Connection connection{ descriptor };
        std::string buffer;
        constexpr int kIdleMillis = 60000;
        while (true) {
          const std::optional<Message> request = readMessage(connection, buffer, kIdleMillis);
          if (!request || !request->mIsComplete || !mHandler(connection, *request)) {
            return;
          }
        }
      }).detach();
    }
  }

  Handler mHandler;
  int mListener = -1;
};

/// \brief Store and instances. Everything lives on addresses of its own in 127.0.0.0/8.
class Rig
{
public:
  explicit Rig(const std::string& aFolder)
    : mRecord(aFolder + "/record.txt")
  {
    char name[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(name) == nullptr) {
      std::_Exit(kNotRun);
    }
    mTemporary = name;
    std::promise<void> ready;
    mLoopThread = std::thread([this, &ready] { runStore(ready); });
    ready.get_future().wait();
  }
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  Record& record() { return mRecord; }
  /// \brief \returns an address of this run.
  static Endpoint endpoint(unsigned aHost, std::uint16_t aPort)
  {
    const unsigned run = static_cast<unsigned>(::getpid()) & 0x3fffU;
    return { 0x7f400000U + (run << 8U) + aHost, aPort };
  }
  static Endpoint store() { return endpoint(250, 9000); }
  static Endpoint listenOf(unsigned aInstance) { return endpoint(aInstance, 8001); }

  /// \brief Writes a row on behalf of the operator or a server. \returns after it is in force
  void put(const std::string& aTable, const std::string& aKey, const std::string& aValue)
  {
    run([this, aTable, aKey, aValue] { mStore->put(aTable, aKey, aValue); });
  }
  void remove(const std::string& aTable, const std::string& aKey)
  {
    run([this, aTable, aKey] { mStore->remove(aTable, aKey); });
  }
  void putConfiguration(const nlohmann::json& aConfiguration)
  {
    put("op", "config", aConfiguration.dump());
  }
  void putServer(const std::string& aId,
                 const std::string& aService,
                 const std::string& aZone,
                 const Endpoint& aAddress,
                 int aSlots,
                 const std::string& aState = "ready")
  {
    put("servers",
        aId,
        nlohmann::json{
          { "address", aAddress.text() },
          { "born", 1764000000000ULL },
          { "info",
            { { "service", aService },
              { "version", "v1" },
              { "zone", aZone },
              { "slots", aSlots } } },
          { "status", { { "state", aState }, { "sequence", 1 }, { "coldRemainingMs", 0 } } } }
          .dump());
  }

  /// \brief Starts an instance with the command of the deploy file.
  /// \param aBounds  lines that replace those of the template's bounds
  void startInstance(unsigned aNumber, const std::string& aZone, const std::string& aRegions)
  {
    const std::string stem = mTemporary + "/n" + std::to_string(aNumber);
    std::ofstream{ stem + ".yaml" }
      << "instance: n" << aNumber << "\nzone: " << aZone << "\nregions: " << aRegions
      << "\nlisten: " << listenOf(aNumber).text() << "\nlookup: " << endpoint(aNumber, 8002).text()
      << "\nreadiness: " << endpoint(aNumber, 8003).text()
      << "\nmetrics: " << endpoint(aNumber, 8004).text()
      << "\npeer: " << endpoint(aNumber, 8005).text()
      << "\nnews: " << endpoint(aNumber, 8006).text() << "\nstore: " << store().text()
      << "\nseeds: [ \"" << endpoint(1, 8006).text() << "\", \"" << endpoint(2, 8006).text()
      << "\" ]\npeer_keys: [ \"key of a review\" ]\nmemory_mb: 260\n"
      << "processor_share: 0.2\nbounds: { drain_ms: 2500, configuration_apply_ms: 2500, grace_s: "
         "6, "
         "retry_ratio: 0.2, retry_window_s: 10, retry_slack: 60, cold_factor: 1.5, cold_slack: 5, "
         "max_shift: 0.15 }\n";
    const pid_t process = ::fork();
    if (process == 0) {
      // Ends with this program, also when that is ended by its time limit.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open((stem + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      const std::string settings = "--settings=" + stem + ".yaml";
      ::execl("target/bulrushrund-platform",
              "target/bulrushrund-platform",
              settings.c_str(),
              static_cast<char*>(nullptr));
      std::_Exit(kNotRun);
    }
    mProcesses[aNumber] = process;
    mRecord.line("instance n" + std::to_string(aNumber) + " starts");
  }
  void signal(unsigned aNumber, int aSignal)
  {
    mRecord.line("instance n" + std::to_string(aNumber) + " gets signal " +
                 std::to_string(aSignal));
    ::kill(mProcesses.at(aNumber), aSignal);
  }
  /// \brief Waits until an instance says that it is ready. \returns false when it does not in time
  bool waitReady(unsigned aNumber, int aWaitMillis = 10000)
  {
    const Clock::time_point end = Clock::now() + std::chrono::milliseconds(aWaitMillis);
    while (Clock::now() < end) {
      const std::unique_ptr<Connection> connection = Connection::open(endpoint(aNumber, 8003));
      std::string buffer;
      if (connection && connection->send("GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n")) {
        const std::optional<Message> answer = readMessage(*connection, buffer, 500);
        if (answer && answer->status() == 200) {
          mRecord.line("instance n" + std::to_string(aNumber) + " is ready");
          return true;
        }
      }
      sleepMillis(50);
    }
    return false;
  }
  std::string logOf(unsigned aNumber) const
  {
    std::ifstream file{ mTemporary + "/n" + std::to_string(aNumber) + ".log" };
    return { std::istreambuf_iterator<char>{ file }, {} };
  }

  /// \brief Ends all processes and the program.
  [[noreturn]] void finish(int aCode, const std::string& aText)
  {
    mRecord.line("result " + std::to_string(aCode) + ": " + aText);
    std::printf("%d: %s\n", aCode, aText.c_str());
    std::fflush(stdout);
    for (const auto& [number, process] : mProcesses) {
      ::kill(process, SIGKILL);
      ::waitpid(process, nullptr, 0);
    }
    if (std::getenv("KEEP") == nullptr) {
      for (const auto& [number, process] : mProcesses) {
        const std::string stem = mTemporary + "/n" + std::to_string(number);
        ::unlink((stem + ".yaml").c_str());
        ::unlink((stem + ".log").c_str());
      }
      ::rmdir(mTemporary.c_str());
    }
    std::_Exit(aCode);
  }

private:
  void runStore(std::promise<void>& aReady)
  {
    bulrushrun::EventLoop loop;
    mStore = std::make_unique<bulrushrun::standins::RowStoreServer>(loop, 1);
    mStore->open(store());
    poll(loop);
    aReady.set_value();
    loop.run();
  }
  void poll(bulrushrun::EventLoop& aLoop)
  {
    std::vector<std::function<void()>> commands;
    {
      const std::lock_guard<std::mutex> guard{ mMutex };
      commands.swap(mCommands);
    }
    for (const std::function<void()>& command : commands) {
      command();
    }
    aLoop.after(std::chrono::milliseconds(2), [this, &aLoop] { poll(aLoop); });
  }
  void run(const std::function<void()>& aCommand)
  {
    std::promise<void> done;
    {
      const std::lock_guard<std::mutex> guard{ mMutex };
      mCommands.push_back([&] {
        aCommand();
        done.set_value();
      });
    }
    done.get_future().wait();
  }

  Record mRecord;
  std::string mTemporary;
  std::thread mLoopThread;
  std::unique_ptr<bulrushrun::standins::RowStoreServer> mStore;
  std::mutex mMutex;
  std::vector<std::function<void()>> mCommands;
  std::map<unsigned, pid_t> mProcesses;
};

/// \brief \returns true unless the case runs with TROUBLE=0.
inline bool hasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string{ trouble } != "0";
}

/// \brief \returns a route as the operator writes it.
inline nlohmann::json route(const std::string& aName,
                            const std::string& aKind,
                            const std::string& aService,
                            int aTimeoutMillis,
                            int aMaxAttempts = 2)
{
  return { { "name", aName },
           { "host", "shop.example" },
           { "pathPrefix", "/" + aName + "/" },
           { "kind", aKind },
           { "service", aService },
           { "timeoutMs", aTimeoutMillis },
           { "targetLatencyMs", 400 },
           { "maxAttempts", aMaxAttempts },
           { "priority", 1 },
           { "sticky", false } };
}

/// \brief \returns the head of a client's request.
inline std::string requestHead(const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aId,
                               int aTimeoutMillis,
                               const std::string& aMore = "")
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + aId +
         "\r\nX-Request-Timeout-Ms: " + std::to_string(aTimeoutMillis) + "\r\n" + aMore + "\r\n";
}

/// \brief \returns the head of a server's own answer.
inline std::string answerHead(const Message& aRequest, std::size_t aLength, int aStatus = 200)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " OK\r\nX-Request-Id: " + aRequest.header("x-request-id") +
         "\r\nX-Response-Signature: s." + aRequest.header("x-request-id") +
         "\r\nKeep-Alive: timeout=30\r\nContent-Length: " + std::to_string(aLength) + "\r\n\r\n";
}

} // namespace review
