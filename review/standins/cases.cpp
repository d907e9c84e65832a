#include "cases.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <thread>

namespace Review
{

namespace
{

using std::chrono::seconds;

/// Sends one request after the other at a machine, each @p interval, until it is stopped.
class Consumer
{
public:
    struct Sent
    {
        std::string id;
        double at = 0.0;
        Answer answer;
    };

    Consumer(Deployment &deployment, std::size_t machine, std::string path, Milliseconds interval)
        : thread_([this, &deployment, machine, path = std::move(path), interval] {
            run(deployment, machine, path, interval);
        })
    {
    }
    ~Consumer() { stop(); }
    Consumer(const Consumer &) = delete;
    Consumer &operator=(const Consumer &) = delete;

    void stop()
    {
        isStopped_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    /// Precondition: stopped.
    [[nodiscard]] const std::vector<Sent> &sent() const { return sent_; }

private:
    void run(Deployment &deployment, std::size_t machine, const std::string &path, Milliseconds interval)
    {
        for (unsigned number = 0; !isStopped_; ++number) {
            const std::string id =
                "m" + std::to_string(machine + 1) + path.substr(1, path.find('/', 1) - 1) + std::to_string(number);
            const double at = deployment.record().now();
            const Answer answer = deployment.request(deployment.machines()[machine], "GET", path, id);
            sent_.push_back({id, at, answer});
            sleepFor(interval);
        }
    }

    std::atomic<bool> isStopped_ = false;
    std::vector<Sent> sent_;
    std::thread thread_;
};

}

int lostWatchAnswer(Deployment &deployment, bool hasTrouble)
{
    Record &record = deployment.record();
    // In seconds, from the bounds of the small deployments.
    constexpr double ConfigBound = 2.0;
    constexpr double SettleWindow = 3.0;
    deployment.putRoutes(1, {{"/one/", "safe", "alpha"}, {"/two/", "safe", "alpha"}});
    if (!deployment.start({"alpha", "beta", "alpha", "beta", "alpha", "beta"})) {
        return CannotRun;
    }
    std::vector<std::unique_ptr<Consumer>> consumers;
    for (std::size_t machine = 0; machine < deployment.machines().size(); ++machine) {
        consumers.push_back(std::make_unique<Consumer>(deployment, machine, "/one/x", Milliseconds{100}));
        consumers.push_back(std::make_unique<Consumer>(deployment, machine, "/two/x", Milliseconds{100}));
    }
    sleepFor(seconds{3});
    // A change before the disturbance, which all nodes take.
    deployment.putRoutes(3, {{"/one/", "safe", "alpha"}, {"/two/", "safe", "alpha"}, {"/new/", "safe", "beta"}});
    sleepFor(seconds{3});
    if (hasTrouble) {
        deployment.store().loseAnswers(true);
    }
    sleepFor(seconds{2});
    deployment.putRoutes(7, {{"/one/", "safe", "beta"}, {"/two/", "safe", "alpha"}, {"/new/", "safe", "beta"}});
    const double firstAck = record.now();
    sleepFor(Milliseconds{2500});
    if (hasTrouble) {
        deployment.store().loseAnswers(false);
        record.write("store: lost " + deployment.store().lostText() + " answers in 4.5 s");
    }
    const double troubleEnd = record.now();
    // The second change comes when the store has been calm for longer than settle_window.
    sleepFor(seconds{4});
    deployment.putRoutes(8, {{"/one/", "safe", "beta"}, {"/two/", "safe", "beta"}, {"/new/", "safe", "beta"}});
    const double secondAck = record.now();
    sleepFor(seconds{8});
    std::map<std::string, double> lateOnOne;
    std::map<std::string, double> lateOnTwo;
    for (const auto &consumer : consumers) {
        consumer->stop();
        for (const Consumer::Sent &sent : consumer->sent()) {
            const bool isOne = sent.id.find("one") != std::string::npos;
            const double bound =
                isOne ? std::max(firstAck + ConfigBound, troubleEnd + SettleWindow) : secondAck + ConfigBound;
            if (sent.at > bound) {
                (isOne ? lateOnOne : lateOnTwo).emplace(sent.id, sent.at);
            }
        }
    }
    unsigned staleOnOne = 0;
    unsigned staleOnTwo = 0;
    for (const Run &run : deployment.allRuns()) {
        if (run.service == "alpha") {
            staleOnOne += lateOnOne.contains(run.request) ? 1 : 0;
            staleOnTwo += lateOnTwo.contains(run.request) ? 1 : 0;
        }
    }
    record.write("requests sent after the bound for version 00000007, by machines in touch: "
                 + std::to_string(lateOnOne.size())
                 + ", run by the service that only older versions allow: " + std::to_string(staleOnOne));
    record.write("requests sent later than 2 s after the ack of version 00000008: " + std::to_string(lateOnTwo.size())
                 + ", run by the service that only older versions allow: " + std::to_string(staleOnTwo));
    if (lateOnOne.empty() || lateOnTwo.empty()) {
        return CannotRun;
    }
    return staleOnOne + staleOnTwo > 0 ? RuleBroken : RuleHeld;
}

namespace
{

/// Memory that a node may hold, as the settings of the small deployments say.
constexpr std::uint64_t MemoryLimit = std::uint64_t{260} * 1024 * 1024;
/// The clients that the site has for each machine.
constexpr unsigned ClientsPerMachine = 16;

/// The platform: a process that exceeds its memory is killed.
void watchMemory(Deployment &deployment, const Machine &machine, const std::atomic<bool> &isStopped)
{
    std::uint64_t peak = 0;
    while (!isStopped && peak <= MemoryLimit) {
        peak = std::max(peak, Deployment::memoryOf(machine));
        sleepFor(Milliseconds{2});
    }
    deployment.record().write("platform: the node on " + machine.name + " held up to " + std::to_string(peak)
                              + " bytes of private memory");
    if (peak > MemoryLimit) {
        Deployment::signal(machine, SIGKILL);
        deployment.record().write("platform: it exceeds its 260 MB and is killed");
    }
}

/// A consumer that sends one order after the other on a kept connection. Returns whether its last one was passed on to
/// an instance and got no answer.
bool sendOrders(Deployment &deployment, const Machine &machine, const std::string &name,
                const std::atomic<bool> &isStopped)
{
    Socket socket = deployment.connectToNode(machine);
    for (unsigned number = 0; !isStopped; ++number) {
        const std::string id = name + "-" + std::to_string(number);
        const Answer answer = deployment.requestOn(socket, machine, "POST", "/two/x", id, "order");
        if (!answer.isWhole) {
            const std::vector<Run> runs = deployment.allRuns();
            return number > 0
                && std::any_of(runs.begin(), runs.end(), [&](const Run &run) { return run.request == id; });
        }
        sleepFor(Milliseconds{20});
    }
    return false;
}

}

int largeUploads(Deployment &deployment, bool hasTrouble)
{
    Record &record = deployment.record();
    constexpr unsigned MostLost = 3;
    constexpr std::size_t LargeBody = std::size_t{10} * 1024 * 1024;
    constexpr std::size_t UsualBody = 60'000;
    deployment.putRoutes(1, {{"/one/", "upload", "alpha"}, {"/two/", "unsafe", "beta"}});
    if (!deployment.start({"alpha", "beta", "alpha", "beta", "alpha", "beta"})) {
        return CannotRun;
    }
    for (Machine &machine : deployment.machines()) {
        machine.instance->setWork(Milliseconds{120});
    }
    const Machine &machine = deployment.machines().front();
    std::atomic<bool> isStopped = false;
    std::atomic<unsigned> lost = 0;
    std::vector<std::thread> threads;
    threads.emplace_back([&] { watchMemory(deployment, machine, isStopped); });
    for (unsigned number = 0; number < ClientsPerMachine; ++number) {
        threads.emplace_back([&, number] {
            lost += sendOrders(deployment, machine, "order" + std::to_string(number), isStopped) ? 1 : 0;
        });
    }
    sleepFor(seconds{5});
    const std::string body(hasTrouble ? LargeBody : UsualBody, 'x');
    std::vector<std::thread> uploads;
    for (unsigned number = 0; number < ClientsPerMachine; ++number) {
        uploads.emplace_back([&, number] {
            (void)deployment.request(machine, "POST", "/one/x", "upload" + std::to_string(number), body);
        });
    }
    for (std::thread &upload : uploads) {
        upload.join();
    }
    sleepFor(seconds{2});
    isStopped = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.write("requests from kept connections that were passed on to a sound instance and whose connection ended "
                 "without an answer: "
                 + std::to_string(lost));
    return lost > MostLost ? RuleBroken : RuleHeld;
}

namespace
{

/// Which machines get work from their consumers, by the platform's questions each second: "After two misses, the
/// consumers on that machine receive no new work until the node responds with 200 again. This does not apply if fewer
/// than half of the zone's nodes are in."
class Readiness
{
public:
    explicit Readiness(Deployment &deployment)
        : deployment_(deployment)
        , misses_(deployment.machines().size())
        , thread_([this] { ask(); })
    {
    }
    ~Readiness()
    {
        isStopped_ = true;
        thread_.join();
    }
    Readiness(const Readiness &) = delete;
    Readiness &operator=(const Readiness &) = delete;

    [[nodiscard]] bool getsWork(std::size_t machine) const
    {
        std::size_t inZone = 0;
        std::size_t in = 0;
        for (std::size_t other = 0; other < misses_.size(); ++other) {
            if (deployment_.machines()[other].zone == deployment_.machines()[machine].zone) {
                ++inZone;
                in += isIn(other) ? 1 : 0;
            }
        }
        return isIn(machine) || 2 * in < inZone;
    }

private:
    [[nodiscard]] bool isIn(std::size_t machine) const { return misses_[machine] < 2; }

    void ask()
    {
        while (!isStopped_) {
            for (std::size_t machine = 0; machine < misses_.size(); ++machine) {
                const bool wasIn = isIn(machine);
                misses_[machine] = deployment_.isReady(deployment_.machines()[machine]) ? 0 : misses_[machine] + 1;
                if (wasIn != isIn(machine)) {
                    deployment_.record().write("platform: " + deployment_.machines()[machine].name + " is "
                                               + (isIn(machine) ? "in" : "out"));
                }
            }
            sleepFor(seconds{1});
        }
    }

    Deployment &deployment_;
    std::vector<std::atomic<int>> misses_;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

struct SentOrder
{
    std::string id;
    double at = 0.0;
    double answeredAt = 0.0;
    Answer answer;
};

/// A client that sends one order after the other, each on a connection of its own, while its machine gets work.
std::vector<SentOrder> sendOrdersWhileReady(Deployment &deployment, const Readiness &readiness, std::size_t machine,
                                            const std::string &name, const std::atomic<bool> &isStopped)
{
    std::vector<SentOrder> all;
    for (unsigned number = 0; !isStopped; ++number) {
        if (readiness.getsWork(machine)) {
            SentOrder order{name + "-" + std::to_string(number), deployment.record().now(), 0.0, {}};
            order.answer =
                deployment.request(deployment.machines()[machine], "POST", "/pay/x", order.id, "transfer note");
            order.answeredAt = deployment.record().now();
            all.push_back(std::move(order));
        }
        const bool hasFailed = !all.empty() && !all.back().answer.isWhole;
        sleepFor(Milliseconds{hasFailed ? 250 : 20});
    }
    return all;
}

struct Stop
{
    std::size_t machine = 0;
    double at = 0.0;
};

/// The orders taken by a machine after its SIGTERM that were broken off while their instance was at work.
unsigned countBrokenOff(Deployment &deployment, const std::vector<SentOrder> &orders, const Stop &stop)
{
    // In seconds, from the bounds and the rule: grace, the second after it, the last sixth of grace, the time after
    // SIGTERM until which a request may have been sent to be excused there.
    constexpr double Grace = 6.0;
    constexpr double LastSixth = 5.0;
    constexpr double ExcusedUntil = 3.0;
    constexpr double DeadlineSeconds = 2.5;
    std::map<std::string, Run> runs;
    for (const Run &run : deployment.allRuns()) {
        runs.emplace(run.request, run);
    }
    unsigned broken = 0;
    for (const SentOrder &order : orders) {
        const auto run = runs.find(order.id);
        const bool isPlanned = order.at >= stop.at && order.answeredAt <= stop.at + Grace + 1.0;
        const bool isOwnAnswer = !order.answer.isWhole || order.answer.signature.empty();
        const bool wasAtWork =
            run != runs.end() && run->second.at < order.answeredAt && run->second.end > order.answeredAt;
        const bool isExcused = order.at <= stop.at + ExcusedUntil && wasAtWork && run->second.end > stop.at + LastSixth;
        const bool hasTimedOut = order.answeredAt - order.at >= DeadlineSeconds;
        if (isPlanned && isOwnAnswer && wasAtWork && !isExcused && !hasTimedOut) {
            ++broken;
            deployment.record().write("broken off: " + order.id + ", sent " + std::to_string(order.at - stop.at)
                                      + " s after the SIGTERM of the machine that took it, given up while "
                                      + run->second.instance + " was at work");
        }
    }
    return broken;
}

}

int plannedStop(Deployment &deployment, bool hasTrouble)
{
    Record &record = deployment.record();
    constexpr std::size_t First = 0;
    constexpr std::size_t Second = 2;
    constexpr unsigned ClientsOfAMachine = 4;
    // roll_term of the site: gap_s = 2.0. The config comes 2.46 s after the first SIGTERM.
    constexpr Milliseconds RollGap{2000};
    constexpr Milliseconds ConfigDelay{460};
    deployment.putRoutes(1, {{"/pay/", "unsafe", "alpha"}});
    if (!deployment.start({"beta", "alpha", "alpha", "beta", "alpha", "beta"})) {
        return CannotRun;
    }
    for (const Machine &machine : deployment.machines()) {
        machine.instance->setWork(Milliseconds{160});
    }
    const Readiness readiness(deployment);
    std::atomic<bool> isStopped = false;
    std::mutex mutex;
    std::map<std::size_t, std::vector<SentOrder>> sent;
    std::vector<std::thread> threads;
    for (std::size_t machine = 0; machine < deployment.machines().size(); ++machine) {
        for (unsigned client = 0; client < ClientsOfAMachine; ++client) {
            threads.emplace_back([&, machine, client] {
                const std::string name = "m" + std::to_string(machine + 1) + "c" + std::to_string(client);
                const auto orders = sendOrdersWhileReady(deployment, readiness, machine, name, isStopped);
                const std::lock_guard lock(mutex);
                sent[machine].insert(sent[machine].end(), orders.begin(), orders.end());
            });
        }
    }
    sleepFor(seconds{4});
    // Consumers keep connections open for many requests; these are idle from now on.
    constexpr unsigned KeptConnections = 8;
    std::vector<Socket> kept;
    for (unsigned number = 0; number < KeptConnections; ++number) {
        const Machine &machine = deployment.machines()[First];
        kept.push_back(deployment.connectToNode(machine));
        (void)deployment.requestOn(kept.back(), machine, "POST", "/pay/x", "kept-" + std::to_string(number),
                                   "transfer note");
    }
    std::vector<Stop> stops;
    const auto stop = [&](std::size_t number) {
        Machine &machine = deployment.machines()[number];
        stops.push_back({number, record.now()});
        record.write("platform: SIGTERM to the node on " + machine.name);
        Deployment::signal(machine, SIGTERM);
        threads.emplace_back([&] { deployment.restartAfterEnd(machine); });
    };
    if (hasTrouble) {
        stop(First);
    }
    sleepFor(RollGap);
    if (hasTrouble) {
        stop(Second);
    }
    sleepFor(ConfigDelay);
    deployment.putRoutes(5, {{"/pay/", "unsafe", "beta"}});
    sleepFor(seconds{10});
    isStopped = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    unsigned broken = 0;
    for (const Stop &each : stops) {
        broken += countBrokenOff(deployment, sent[each.machine], each);
    }
    record.write("orders that were broken off while their instance was at work, after the SIGTERM of the machine that "
                 "took them: "
                 + std::to_string(broken));
    return broken > 0 ? RuleBroken : RuleHeld;
}

}
