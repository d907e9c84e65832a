// Stand-ins for the platform's store, upstream instances and consumers, and the start of nodes as processes.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace Review
{

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Milliseconds since the start of the program.
double now();
void sleepMs(double milliseconds);
/// Writes one line to the record, with the time in front.
void record(const std::string &line);
void openRecord(const std::string &file);
bool hasTrouble();

struct Message
{
    std::string startLine;
    Headers headers;
    std::string body;
    std::uint64_t bodySize = 0;
    [[nodiscard]] std::string header(const std::string &name) const;
};

/// A blocking socket with a buffer for what was read.
class Wire
{
public:
    explicit Wire(int socket)
        : socket_(socket)
    {
    }
    ~Wire() { close(); }
    Wire(const Wire &) = delete;
    Wire &operator=(const Wire &) = delete;

    static std::unique_ptr<Wire> connect(const std::string &ip, int port);
    bool send(const std::string &bytes);
    /// Reads a message: the head, and the body by its length, in chunks, or until the end of the connection.
    bool read(Message &message, bool isResponse, bool keepsBody = true);
    bool hasMore() const { return !buffer_.empty(); }
    void setTimeout(double milliseconds);
    void close();
    void reset();
    [[nodiscard]] int socket() const { return socket_; }
    bool wasReset = false;

    bool readHead(Message &message);
    bool readExactly(std::uint64_t size, std::string *into);
    bool fill();

private:
    int socket_;
    std::string buffer_;
};

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Wire &)>;
    Server(const std::string &ip, int port, Handler handler);
    ~Server();
    void stop();

private:
    int listener_ = -1;
    std::thread thread_;
    std::atomic<bool> isStopped_{false};
    std::mutex mutex_;
    std::set<int> sockets_;
    Handler handler_;
};

/// The platform's store, as PROTOCOL.md describes it.
class Store
{
public:
    Store(const std::string &ip, int port);
    ~Store();
    std::uint64_t put(const std::string &key, const std::string &value);
    std::uint64_t remove(const std::string &key);
    std::atomic<int> calls{0};

private:
    struct Item
    {
        std::string key, value;
        std::uint64_t revision = 0, created = 0;
        bool isDeleted = false;
    };
    void serve(Wire &wire);
    std::string answer(const std::string &target, int &status);
    std::string toJson(const Item &item) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Item> events_;
    std::uint64_t revision_ = 100;
    bool isStopped_ = false;
    std::unique_ptr<Server> server_;
};

struct Run
{
    double at = 0;
    std::string instance, request, method, target, caller;
    std::uint64_t bodySize = 0;
    std::uint64_t bodyHash = 0;
    double endedAt = -1;
};

/// All runs of all instances.
class Runs
{
public:
    std::size_t begin(Run run);
    void end(std::size_t index);
    std::vector<Run> all();
    std::vector<Run> of(const std::string &request);

private:
    std::mutex mutex_;
    std::vector<Run> runs_;
};

struct InstanceOptions
{
    std::string id, service, zone, ip;
    int port = 0;
    int slots = 9;
    double workMs = 100;
    /// The body of an answer, by the request.
    std::function<std::string(const Run &)> answerOf;
    /// Serves a request in another way; returns whether it did.
    std::function<bool(Wire &, const Message &, const Run &)> special;
};

/// An upstream instance, with its entry in the store.
class Instance
{
public:
    Instance(InstanceOptions options, Store &store, Runs &runs);
    ~Instance();
    void setState(const std::string &state);
    /// Ends the process of the instance: its entry stays.
    void crash();
    const InstanceOptions options;

private:
    void serve(Wire &wire);
    void writeEntry();
    Store &store_;
    Runs &runs_;
    std::string state_ = "ready";
    std::atomic<int> running_{0}, waiting_{0};
    std::atomic<bool> isStopped_{false};
    std::mutex mutex_;
    std::condition_variable freed_;
    int sequence_ = 0;
    std::unique_ptr<Server> server_;
};

struct NodeOptions
{
    std::string name, service, zone, region, ip, store, zones;
    int callers = 0, ready = 0, peers = 0, starters = 0, metrics = 0, instance = 0;
    int memoryMb = 260;
    std::string seeds;
    int retrySlack = 56;
};

/// A node: target/bin/egretpath-sidecar as a process.
class Node
{
public:
    explicit Node(NodeOptions options);
    ~Node();
    void start();
    void signal(int number);
    bool waitReady(double milliseconds);
    bool isReady();
    /// Whether the process ended by itself since the last call; starts it again.
    bool hasEnded(std::string &how);
    std::uint64_t residentKb() const;
    void kill();
    void term();
    const NodeOptions options;
    std::atomic<pid_t> pid{0};
    std::string settingsFile, logFile;

private:
};

struct Answer
{
    /// 0: the connection ended or timed out without an answer.
    int status = 0;
    bool isWhole = false;
    std::string error;
    Message message;
    double sentAt = 0, endedAt = 0;
};

std::string requestText(const std::string &method, const std::string &host, const std::string &target,
                        const std::string &id, int deadlineMs, const Headers &more, const std::string &body);
/// Sends one request on @p wire and reads its answer.
Answer exchange(Wire &wire, const std::string &text, double timeoutMs);
Answer readAnswer(Wire &wire, double timeoutMs);
std::string newId();
std::uint64_t hashOf(const std::string &bytes);
int freePort(const std::vector<std::string> &ips);
std::string tempFolder();

}
