#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "httptext.h"

namespace Review
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run, with the seconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {
    }
    void write(const std::string &line);
    [[nodiscard]] double now() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

/// The platform's store: items with revisions, ranges and watches that wait.
class Store
{
public:
    explicit Store(Record &record)
        : record_(record)
    {
    }
    [[nodiscard]] bool listen(const std::string &ip, int port);
    /// The time of the store's ack is the time at which this returns.
    void put(const std::string &key, const std::string &value);
    /// From now on the answers to watches that bring a change are lost: their connections return nothing further.
    void loseAnswers(bool shouldLose);
    /// Answers, and lost ones, since answers began to be lost.
    [[nodiscard]] std::string lostText();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool isRemoved = false;
    };

    void change(const std::string &key, Item item);
    void serve(Socket socket);
    [[nodiscard]] std::optional<std::string> answer(const std::string &target);
    [[nodiscard]] std::string range(const std::string &prefix);
    [[nodiscard]] std::optional<std::string> watch(const std::string &prefix, std::uint64_t after, Milliseconds wait);

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::uint64_t revision_ = 1;
    bool isLosing_ = false;
    unsigned answers_ = 0;
    unsigned lost_ = 0;
};

/// A request that an instance ran.
struct Run
{
    std::string request;
    std::string instance;
    std::string service;
    std::string caller;
    double at = 0.0;
    /// When the instance had finished its work.
    double end = 0.0;
};

/// An application instance beside a node. It is sound: it answers each request with its whole body and its mark.
class Instance
{
public:
    Instance(Record &record, std::string id, std::string service)
        : record_(record)
        , id_(std::move(id))
        , service_(std::move(service))
    {
    }
    [[nodiscard]] bool listen(const std::string &ip, int port);
    void setWork(Milliseconds work) { work_ = work; }
    [[nodiscard]] std::vector<Run> runs();

private:
    void serve(Socket socket);
    [[nodiscard]] std::string answerTo(const Message &message);

    Record &record_;
    std::string id_;
    std::string service_;
    std::atomic<int> running_ = 0;
    std::atomic<Milliseconds> work_ = Milliseconds{20};
    std::mutex mutex_;
    std::vector<Run> runs_;
};

struct Route
{
    std::string prefix;
    std::string kind;
    std::string service;
};

struct Machine
{
    std::string name;
    std::string ip;
    std::string zone;
    std::string service;
    std::string instanceId;
    std::shared_ptr<Instance> instance;
    std::atomic<pid_t> node = 0;
};

/// What a consumer saw.
struct Answer
{
    std::string status;
    std::string signature;
    bool isWhole = false;
};

/// A small deployment on loopback addresses: one region of two zones, a node and an instance on each machine.
class Deployment
{
public:
    Deployment(Record &record, std::string program, std::string folder);
    /// Ends all processes that were started. The threads of the stand-ins go on until the program ends.
    void stopNodes();

    /// Starts a machine for each of @p services. Returns false if the case can't run.
    [[nodiscard]] bool start(const std::vector<std::string> &services);
    [[nodiscard]] std::deque<Machine> &machines() { return machines_; }
    [[nodiscard]] Store &store() { return store_; }
    [[nodiscard]] Record &record() { return record_; }
    void putRoutes(unsigned version, const std::vector<Route> &routes);
    void registerInstance(const Machine &machine);
    [[nodiscard]] bool startInstance(Machine &machine);
    void writeSettings(const Machine &machine);
    static void signal(const Machine &machine, int number);
    /// Waits until the node has ended by itself, and starts it again, as the platform does.
    void restartAfterEnd(Machine &machine);
    [[nodiscard]] bool isReady(const Machine &machine) const;
    /// The private memory of a node in bytes; 0 if it is gone.
    [[nodiscard]] static std::uint64_t memoryOf(const Machine &machine);
    /// Sends one request at the machine's outbound address on a connection of its own.
    Answer request(const Machine &machine, const std::string &method, const std::string &path, const std::string &id,
                   const std::string &body = {});
    /// The same on an open connection.
    Answer requestOn(Socket &socket, const Machine &machine, const std::string &method, const std::string &path,
                     const std::string &id, const std::string &body = {});
    [[nodiscard]] Socket connectToNode(const Machine &machine) const;
    [[nodiscard]] std::vector<Run> allRuns();

private:
    [[nodiscard]] bool chooseNetwork();
    [[nodiscard]] bool startNode(Machine &machine);
    [[nodiscard]] bool waitUntilReady();
    [[nodiscard]] std::string settingsPath(const Machine &machine) const;

    Record &record_;
    std::string program_;
    std::string folder_;
    std::string network_;
    int basePort_ = 0;
    Store store_;
    std::deque<Machine> machines_;
    std::vector<std::shared_ptr<Instance>> instances_;
};

void sleepFor(Milliseconds duration);

}
