#pragma once

/// \file
/// \brief Small stand-ins for the cases of the second review: the platform's store, servers,
/// clients and the processes under test. Threads and blocking sockets, loopback addresses only.

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

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline std::int64_t nowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
    .count();
}

inline void sleepMs(std::int64_t aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMillis));
}

/// \brief Lines of record.txt, with the time since the start in seconds.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  void add(const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(nowMs()) / 1000);
    mFile << time << aText << "\n" << std::flush;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline std::string lower(std::string aText)
{
  for (char& letter : aText) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return aText;
}

/// \brief Start line, headers with names in lower case, and body of an HTTP/1.1 message.
struct Message
{
  std::string mStart;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
  /// The body is complete by the message's own framing.
  bool mComplete = false;
  /// No message began before the connection ended or the time was up.
  bool mMissing = true;
  /// The connection was reset.
  bool mReset = false;
  /// The body has no length and ended with the connection.
  bool mEndedAtClose = false;

  std::string header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? "" : found->second;
  }
  int status() const
  {
    return mStart.size() > 12 && mStart.starts_with("HTTP/") ? std::atoi(mStart.c_str() + 9) : 0;
  }
  std::string path() const
  {
    const std::size_t first = mStart.find(' ');
    const std::size_t last = mStart.rfind(' ');
    return first == last ? "" : mStart.substr(first + 1, last - first - 1);
  }
};

/// \brief A connected socket with the bytes that were read and not used.
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

  /// \brief Connects to an address. \param aReceiveBuffer  SO_RCVBUF in bytes, 0 for the default
  static std::unique_ptr<Connection> open(const std::string& aIp, int aPort, int aReceiveBuffer = 0)
  {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (aReceiveBuffer > 0) {
      ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
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

  /// \brief Reads more bytes. \returns false at the end, after a reset or when the time is up
  bool fill(std::int64_t aUntilMs, std::size_t aMaxBytes = 65536)
  {
    pollfd state{ mDescriptor, POLLIN, 0 };
    const std::int64_t left = std::max<std::int64_t>(aUntilMs - nowMs(), 0);
    if (::poll(&state, 1, static_cast<int>(left)) <= 0) {
      mTimedOut = true;
      return false;
    }
    std::string part(aMaxBytes, '\0');
    const ssize_t size = ::recv(mDescriptor, part.data(), part.size(), 0);
    if (size <= 0) {
      mEnded = true;
      mReset = size < 0;
      return false;
    }
    mBytes.append(part, 0, static_cast<std::size_t>(size));
    return true;
  }

  /// \brief Reads one message. \param aIsRequest  a message without a length has no body
  /// \param aOnHead  runs when the head has been read
  Message read(bool aIsRequest,
               std::int64_t aUntilMs,
               const std::function<void(const Message&)>& aOnHead = {})
  {
    Message message;
    std::size_t end = 0;
    while ((end = mBytes.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(aUntilMs)) {
        message.mReset = mReset;
        return message;
      }
    }
    message.mMissing = false;
    parseHead(mBytes.substr(0, end), message);
    mBytes.erase(0, end + 4);
    if (aOnHead) {
      aOnHead(message);
    }
    const std::string length = message.header("content-length");
    if (lower(message.header("transfer-encoding")) == "chunked") {
      message.mComplete = readChunks(message.mBody, aUntilMs);
    } else if (!length.empty()) {
      const std::size_t size = std::stoul(length);
      while (mBytes.size() < size && fill(aUntilMs)) {
      }
      message.mBody = mBytes.substr(0, size);
      message.mComplete = mBytes.size() >= size;
      mBytes.erase(0, message.mBody.size());
    } else if (aIsRequest) {
      message.mComplete = true;
    } else {
      while (fill(aUntilMs)) {
      }
      message.mBody = std::exchange(mBytes, "");
      message.mEndedAtClose = mEnded && !mReset;
      message.mComplete = message.mEndedAtClose;
    }
    message.mReset = mReset;
    return message;
  }

  void close()
  {
    if (mDescriptor >= 0) {
      ::close(std::exchange(mDescriptor, -1));
    }
  }
  /// \brief Closes with a reset.
  void reset()
  {
    const linger option{ 1, 0 };
    ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
  }
  int descriptor() const { return mDescriptor; }
  bool hasEnded() const { return mEnded; }
  bool wasReset() const { return mReset; }

private:
  static void parseHead(const std::string& aHead, Message& aMessage)
  {
    std::size_t at = aHead.find("\r\n");
    aMessage.mStart = aHead.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t next = aHead.find("\r\n", at + 2);
      const std::string line =
        aHead.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        aMessage.mHeaders[lower(line.substr(0, colon))] = line.substr(value);
      }
      at = next;
    }
  }

  bool readLine(std::string& aLine, std::int64_t aUntilMs)
  {
    std::size_t end = 0;
    while ((end = mBytes.find("\r\n")) == std::string::npos) {
      if (!fill(aUntilMs)) {
        return false;
      }
    }
    aLine = mBytes.substr(0, end);
    mBytes.erase(0, end + 2);
    return true;
  }

  bool readChunks(std::string& aBody, std::int64_t aUntilMs)
  {
    std::string line;
    while (readLine(line, aUntilMs)) {
      const std::size_t size = std::stoul(line, nullptr, 16);
      while (mBytes.size() < size + 2) {
        if (!fill(aUntilMs)) {
          aBody += mBytes.substr(0, size);
          return false;
        }
      }
      aBody += mBytes.substr(0, size);
      mBytes.erase(0, size + 2);
      if (size == 0) {
        return true;
      }
    }
    return false;
  }

  int mDescriptor;
  std::string mBytes;
  bool mEnded = false;
  bool mReset = false;
  bool mTimedOut = false;
};

/// \brief Accepts connections and runs one thread for each.
class Listener
{
public:
  using Handler = std::function<void(Connection&)>;

  Listener(const std::string& aIp, int aPort, Handler aHandler)
    : mHandler(std::move(aHandler))
  {
    mDescriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(mDescriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    if (::bind(mDescriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(mDescriptor, 1024) != 0) {
      throw std::runtime_error("cannot listen on " + aIp + ":" + std::to_string(aPort));
    }
    socklen_t size = sizeof(address);
    ::getsockname(mDescriptor, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    std::thread{ [this] { run(); } }.detach();
  }
  int port() const { return mPort; }

private:
  void run()
  {
    while (true) {
      const int descriptor = ::accept4(mDescriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        continue;
      }
      std::thread{
        [this, descriptor] {
          Connection connection{ descriptor };
          mHandler(connection);
        }
      }.detach();
    }
  }

  Handler mHandler;
  int mDescriptor = -1;
  int mPort = 0;
};

inline std::string response(int aStatus,
                            const Headers& aHeaders,
                            const std::string& aBody,
                            bool aWithLength = true)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (aWithLength) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

inline std::string base64(const std::string& aText)
{
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    unsigned bits = static_cast<unsigned char>(aText[i]) << 16U;
    bits |= i + 1 < aText.size() ? static_cast<unsigned char>(aText[i + 1]) << 8U : 0U;
    bits |= i + 2 < aText.size() ? static_cast<unsigned char>(aText[i + 2]) : 0U;
    result += kDigits[bits >> 18U];
    result += kDigits[bits >> 12U & 63U];
    result += i + 1 < aText.size() ? kDigits[bits >> 6U & 63U] : '=';
    result += i + 2 < aText.size() ? kDigits[bits & 63U] : '=';
  }
  return result;
}

/// \brief The platform's store: rows, transactions and the change feed, as PROTOCOL tells them.
class Store
{
public:
  /// \brief An address of the store of its own, through which it can turn one machine away.
  struct Door
  {
    int mPort = 0;
    /// Status of all answers; 0 while the store serves.
    std::atomic<int> mRejects = 0;
    std::unique_ptr<Listener> mListener;
  };

  explicit Store(const std::string& aIp)
    : mIp(aIp)
    , mDefaultDoor(open())
  {
  }
  int port() const { return mDefaultDoor.mPort; }
  /// \brief Opens a further door, which stays for good.
  Door& open()
  {
    Door* door = new Door;
    door->mListener = std::make_unique<Listener>(
      mIp, 0, [this, door](Connection& aConnection) { serve(aConnection, *door); });
    door->mPort = door->mListener->port();
    return *door;
  }
  /// \brief \returns the newest version.
  std::uint64_t version()
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    return mVersion;
  }

  std::uint64_t put(const std::string& aTable, const std::string& aKey, const std::string& aText)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    ++mVersion;
    write(aTable, aKey, base64(aText), false);
    mChanged.notify_all();
    return mVersion;
  }
  void remove(const std::string& aTable, const std::string& aKey)
  {
    const std::lock_guard<std::mutex> lock{ mMutex };
    ++mVersion;
    write(aTable, aKey, "", true);
    mChanged.notify_all();
  }

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mRemoved = false;
  };

  void write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aValue,
             bool aRemoved)
  {
    mTables[aTable][aKey] = { aValue, mVersion, aRemoved };
  }

  static std::map<std::string, std::string> query(const std::string& aPath)
  {
    std::map<std::string, std::string> result;
    std::size_t at = aPath.find('?');
    while (at != std::string::npos) {
      const std::size_t next = aPath.find('&', at + 1);
      const std::string pair =
        aPath.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const std::size_t equals = pair.find('=');
      std::string value;
      for (std::size_t i = equals + 1; equals != std::string::npos && i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += pair[i];
        }
      }
      result[pair.substr(0, equals)] = value;
      at = next;
    }
    return result;
  }

  Json row(const std::string& aTable, const std::string& aKey, const Row& aRow) const
  {
    Json json{ { "table", aTable }, { "part", "" }, { "key", aKey }, { "ver", aRow.mVersion } };
    if (aRow.mRemoved) {
      json["tombstone"] = true;
    } else {
      json["value"] = aRow.mValue;
    }
    return json;
  }

  Json handle(const Message& aRequest, int& aStatus)
  {
    std::unique_lock<std::mutex> lock{ mMutex };
    const std::string path = aRequest.path();
    std::map<std::string, std::string> fields = query(path);
    Json rows = Json::array();
    bool hasMore = false;
    if (path.starts_with("/-/rows-get")) {
      for (const auto& [key, known] : mTables[fields["table"]]) {
        if (!known.mRemoved && key >= fields["from"]) {
          if (rows.size() >= 500) {
            hasMore = true;
            break;
          }
          rows.push_back(row(fields["table"], key, known));
        }
      }
      return {
        { "rows", rows }, { "hasMore", hasMore }, { "ver", mVersion }, { "nowMs", nowMs() }
      };
    }
    if (path.starts_with("/-/rows-feed")) {
      const std::uint64_t after = std::stoull(fields["after"]);
      const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoll(fields["waitMs"]));
      while (true) {
        std::map<std::uint64_t, Json> changes;
        for (const auto& [key, known] : mTables[fields["table"]]) {
          if (known.mVersion > after) {
            changes[known.mVersion] = row(fields["table"], key, known);
          }
        }
        if (!changes.empty() || std::chrono::steady_clock::now() >= until) {
          for (const auto& [version, change] : changes) {
            rows.push_back(change);
          }
          return { { "rows", rows }, { "ver", mVersion }, { "nowMs", nowMs() } };
        }
        mChanged.wait_until(lock, until);
      }
    }
    if (path.starts_with("/-/rows-tx")) {
      const Json body = Json::parse(aRequest.mBody, nullptr, false);
      for (const Json& expected : body.value("expect", Json::array())) {
        const Row& known = mTables[expected["table"]][expected["key"]];
        if ((known.mRemoved ? 0 : known.mVersion) != expected.value("ver", std::uint64_t{ 0 })) {
          aStatus = 412;
          return { { "rows", rows }, { "ver", mVersion }, { "nowMs", nowMs() } };
        }
      }
      ++mVersion;
      for (const Json& put : body.value("put", Json::array())) {
        write(put["table"], put["key"], put["value"], false);
      }
      for (const Json& removed : body.value("remove", Json::array())) {
        write(removed["table"], removed["key"], "", true);
      }
      mChanged.notify_all();
      return { { "ver", mVersion }, { "nowMs", nowMs() } };
    }
    aStatus = 404;
    return Json::object();
  }

  void serve(Connection& aConnection, const Door& aDoor)
  {
    while (true) {
      const Message request = aConnection.read(true, nowMs() + 600000);
      if (!request.mComplete) {
        return;
      }
      if (aDoor.mRejects != 0) {
        // Nothing was done.
        aConnection.send(response(aDoor.mRejects, { { "Retry-After", "0.5" } }, "{}"));
        continue;
      }
      int status = 200;
      const std::string body = handle(request, status).dump();
      if (!aConnection.send(response(status, { { "Content-Type", "application/json" } }, body))) {
        return;
      }
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, std::map<std::string, Row>> mTables;
  std::uint64_t mVersion = 0;
  std::string mIp;
  Door& mDefaultDoor;
};

/// \brief A server: registered in the store; a function answers each request. Its heartbeats change
/// nothing but `sequence`, so that its entry does not change.
class Server
{
public:
  /// Answers one request. \returns false when the connection is to be closed
  using Handler = std::function<bool(Connection&, const Message&)>;

  Server(Store& aStore,
         std::string aId,
         std::string aService,
         std::string aZone,
         const std::string& aIp,
         int aSlots,
         Handler aHandler)
    : mStore(aStore)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mZone(std::move(aZone))
    , mSlots(aSlots)
    , mListener(aIp,
                0,
                [this, handler = std::move(aHandler)](Connection& aConnection) {
                  while (true) {
                    const Message request = aConnection.read(true, nowMs() + 10000);
                    if (!request.mComplete || !handler(aConnection, request)) {
                      return;
                    }
                  }
                })
    , mAddress(aIp + ":" + std::to_string(mListener.port()))
  {
    write(1);
  }
  const std::string& id() const { return mId; }

private:
  void write(std::uint64_t aBeat)
  {
    const Json entry{
      { "address", mAddress },
      { "born", mBorn },
      { "info",
        { { "service", mService }, { "version", "v1" }, { "zone", mZone }, { "slots", mSlots } } },
      { "status", { { "state", "ready" }, { "sequence", aBeat }, { "coldRemainingMs", 0 } } }
    };
    mStore.put("servers", mId, entry.dump());
  }

  Store& mStore;
  std::string mId;
  std::string mService;
  std::string mZone;
  int mSlots;
  std::uint64_t mBorn =
    static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count());
  Listener mListener;
  std::string mAddress;
};

/// \brief Ports that are free on all the given addresses.
inline std::vector<int> freePorts(const std::vector<std::string>& aIps, std::size_t aCount)
{
  std::vector<int> ports;
  for (int port = 20000 + static_cast<int>(::getpid() % 20000); ports.size() < aCount; ++port) {
    bool isFree = true;
    for (const std::string& ip : aIps) {
      for (const int type : { SOCK_STREAM, SOCK_DGRAM }) {
        const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        isFree =
          isFree && ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
      }
    }
    if (isFree) {
      ports.push_back(port);
    }
  }
  return ports;
}

/// \brief One process under test, with its own loopback address.
class Instance
{
public:
  struct Setup
  {
    std::string mProgram;
    std::string mFolder;
    std::string mName;
    std::string mIp;
    std::string mZone;
    /// Zone to region.
    std::map<std::string, std::string> mRegions;
    std::vector<int> mPorts;
    std::string mStore;
    std::vector<std::string> mSeedIps;
    int mMemoryMb = 260;
    int mGraceS = 6;
    /// Bounds of quotas; without them, the deployment has none.
    std::string mQuotaBounds = "  quota_window_s:\n  quota_overage:\n  quota_slack:\n";
  };

  explicit Instance(Setup aSetup)
    : mSetup(std::move(aSetup))
  {
    writeSettings();
    start();
  }
  ~Instance() { kill(SIGKILL); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  void start()
  {
    const std::string settings = "--settings=" + settingsPath();
    const std::string log = mSetup.mFolder + "/" + mSetup.mName + ".log";
    mPid = ::fork();
    if (mPid == 0) {
      // Nothing outlives the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(descriptor, 1);
      ::dup2(descriptor, 2);
      ::execl(mSetup.mProgram.c_str(), mSetup.mProgram.c_str(), settings.c_str(), nullptr);
      ::_exit(127);
    }
  }
  void signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }
  /// \brief Waits for the end of the process. \returns false when it still runs at that time
  bool waitForEnd(std::int64_t aUntilMs)
  {
    while (mPid > 0) {
      int status = 0;
      if (::waitpid(mPid, &status, WNOHANG) == mPid) {
        mPid = -1;
        mStatus = status;
        break;
      }
      if (nowMs() >= aUntilMs) {
        return false;
      }
      sleepMs(5);
    }
    return true;
  }
  void kill(int aSignal)
  {
    signal(aSignal);
    waitForEnd(nowMs() + 5000);
  }
  bool isReady() const
  {
    const std::unique_ptr<Connection> connection = Connection::open(mSetup.mIp, mSetup.mPorts[2]);
    if (!connection || !connection->send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    return connection->read(false, nowMs() + 1000).status() == 200;
  }
  bool waitUntilReady(std::int64_t aUntilMs) const
  {
    while (!isReady()) {
      if (nowMs() >= aUntilMs) {
        return false;
      }
      sleepMs(50);
    }
    return true;
  }
  std::unique_ptr<Connection> connect(int aReceiveBuffer = 0) const
  {
    return Connection::open(mSetup.mIp, mSetup.mPorts[0], aReceiveBuffer);
  }
  const std::string& ip() const { return mSetup.mIp; }
  int port() const { return mSetup.mPorts[0]; }
  int pid() const { return mPid; }
  int status() const { return mStatus; }

private:
  std::string settingsPath() const { return mSetup.mFolder + "/" + mSetup.mName + ".yaml"; }

  /// The fields of deploy/settings.template.yaml, with the bounds of a small deployment.
  void writeSettings() const
  {
    std::ofstream file{ settingsPath() };
    const auto at = [this](int aPort) {
      return mSetup.mIp + ":" + std::to_string(mSetup.mPorts[static_cast<std::size_t>(aPort)]);
    };
    file << "instance: " << mSetup.mName << "\nzone: " << mSetup.mZone << "\nregions:\n";
    for (const auto& [zone, region] : mSetup.mRegions) {
      file << "  " << zone << ": " << region << "\n";
    }
    file << "listen: " << at(0) << "\nlookup: " << at(1) << "\nreadiness: " << at(2)
         << "\npeer: " << at(3) << "\nnews: " << at(4) << "\nmetrics: " << at(5)
         << "\nstore: " << mSetup.mStore << "\nseeds: [";
    for (std::size_t i = 0; i < mSetup.mSeedIps.size(); ++i) {
      file << (i == 0 ? "" : ", ") << "\"" << mSetup.mSeedIps[i] << ":" << mSetup.mPorts[4] << "\"";
    }
    file << "]\npeer_keys: [ \"one-deployment-one-key\" ]\nmemory_mb: " << mSetup.mMemoryMb
         << "\nprocessor_share: 0.2\nbounds:\n  drain_ms: 2500\n  configuration_apply_ms: 2500\n"
         << "  grace_s: " << mSetup.mGraceS
         << "\n  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 60\n  cold_factor: 1.5\n"
            "  cold_slack: 5\n  max_shift: 0.15\n"
         << mSetup.mQuotaBounds;
  }

  Setup mSetup;
  int mPid = -1;
  int mStatus = 0;
};

/// \brief A route of the configuration, as `op/config` holds it.
inline Json route(const std::string& aName,
                  const std::string& aPrefix,
                  const std::string& aKind,
                  const std::string& aService,
                  int aTimeoutMs)
{
  return { { "name", aName },   { "host", "shop.example" },      { "pathPrefix", aPrefix },
           { "kind", aKind },   { "timeoutMs", aTimeoutMs },     { "targetLatencyMs", 600 },
           { "priority", 1 },   { "service", aService },         { "maxAttempts", 2 },
           { "sticky", false }, { "homeRegions", Json::array() } };
}

inline Json configuration(int aVersion, const Json& aRoutes, const std::set<std::string>& aServices)
{
  Json services = Json::array();
  for (const std::string& name : aServices) {
    services.push_back({ { "name", name },
                         { "healthPath", "/healthz" },
                         { "maxConnections", 360 },
                         { "protocol", "h1" },
                         { "tls", false },
                         { "coldStartS", 3.0 },
                         { "coldPerS", 3.6 } });
  }
  return { { "version", "r" + std::to_string(aVersion) },
           { "routes", aRoutes },
           { "services", services },
           { "limits",
             { { "maxHeaderBytes", 16384 },
               { "maxBodyBytes", 67108864 },
               { "headerTimeoutMs", 3000 },
               { "idleTimeoutMs", 15000 } } } };
}

/// \brief \returns an id that no other request of this process has.
inline std::string newId()
{
  static std::atomic<std::uint64_t> last = 0;
  char text[32];
  std::snprintf(text,
                sizeof(text),
                "%08x%08llx",
                static_cast<unsigned>(::getpid()),
                static_cast<unsigned long long>(++last));
  return text;
}

inline std::string request(const std::string& aMethod,
                           const std::string& aPath,
                           const std::string& aId,
                           int aTimeoutMs,
                           const std::string& aBody = "",
                           const Headers& aHeaders = {})
{
  std::string text = aMethod + " " + aPath +
                     " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + aId +
                     "\r\nX-Request-Timeout-Ms: " + std::to_string(aTimeoutMs) + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// \brief Folder, program and switch of a case, from the command line and the environment.
struct CaseSetup
{
  std::string mProgram;
  std::string mFolder;
  bool mTrouble = true;

  static CaseSetup read(int aCount, char** aArguments)
  {
    if (aCount < 3) {
      std::cerr << "usage: " << aArguments[0] << " PROGRAM FOLDER\n";
      ::_exit(kCouldNotRun);
    }
    ::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    return { aArguments[1], aArguments[2], trouble == nullptr || std::string{ trouble } != "0" };
  }
};

} // namespace review
