#include "routing/serviceroom.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

#include "core/random.h"

using namespace Egretpath;

namespace
{

const ServiceName Service{"orders"};
/// The clock at the start of the loop, in milliseconds; later than all windows are long.
constexpr int StartTime = 1000;
/// Requests per millisecond that the 7 upstreams of 9 slots take, at 100 ms each.
constexpr double Capacity = 0.63;

TimePoint at(int milliseconds)
{
    return TimePoint(Milliseconds(StartTime + milliseconds));
}

struct Request
{
    std::uint32_t priority = 0;
    std::size_t ingress = 0;
    bool isReturn = false;
    std::vector<std::size_t> tried;
};

/// The requests that arrived in a period, by priority.
struct Totals
{
    std::array<double, 3> arrived{};
    std::array<double, 3> served{};
    double tries = 0.0;
    double returned = 0.0;
    double refusedAgain = 0.0;

    [[nodiscard]] double share(std::size_t priority) const { return served[priority] / arrived[priority]; }
    [[nodiscard]] double allArrived() const { return arrived[0] + arrived[1] + arrived[2]; }
    [[nodiscard]] double allServed() const { return (served[0] + served[1] + served[2]) / allArrived(); }
    [[nodiscard]] double triesPerRequest() const { return tries / (allArrived() + returned); }
};

struct LoopSettings
{
    bool limitsTries = true;
    bool spreadsReturns = true;
    std::size_t refusingUpstreams = 0;
};

/// A service of 7 upstreams with 9 slots and a short queue each, and four ingresses. The ninth slot is for
/// priority 0 only. The queue is ordered by priority, but every eighth start goes to the lowest one.
class Loop
{
public:
    explicit Loop(LoopSettings settings)
        : settings_(settings)
        , rooms_(4, ServiceRoom({.isEnabled = settings.limitsTries}))
    {
    }

    /// Runs for @p duration milliseconds, at @p load times the capacity.
    Totals run(int duration, double load)
    {
        totals_ = {};
        const int end = now_ + duration;
        std::discrete_distribution<> kinds({0.2, 0.5, 0.3});
        for (; now_ < end; ++now_) {
            arrivals_ += load * Capacity;
            for (; arrivals_ >= 1.0; arrivals_ -= 1.0) {
                const auto priority = static_cast<std::uint32_t>(kinds(random_));
                ++totals_.arrived[priority];
                handle({priority, random_() % rooms_.size(), false, {}});
            }
            while (!returns_.empty() && returns_.begin()->first <= now_) {
                ++totals_.returned;
                handle(returns_.extract(returns_.begin()).mapped());
            }
            std::for_each(upstreams_.begin(), upstreams_.end(), [this](Upstream &upstream) { step(upstream); });
        }
        return totals_;
    }

    [[nodiscard]] int timeSinceRefusal() const { return now_ - lastRefusal_; }
    /// Returns the smallest limit of all ingresses.
    [[nodiscard]] std::uint32_t maxTries(std::uint32_t priority)
    {
        const auto limit = [&](ServiceRoom &room) { return room.maxTries(Service, priority, at(now_)); };
        return std::min({limit(rooms_[0]), limit(rooms_[1]), limit(rooms_[2]), limit(rooms_[3])});
    }

private:
    struct Upstream
    {
        std::vector<int> runningUntil;
        unsigned starts = 0;
        std::multiset<std::uint32_t> queue;
    };

    void handle(Request request)
    {
        ServiceRoom &room = rooms_[request.ingress];
        bool mayTry = request.isReturn || !room.refuses(Service, request.priority, at(now_));
        while (mayTry) {
            std::size_t chosen = random_() % upstreams_.size();
            while (std::count(request.tried.begin(), request.tried.end(), chosen) != 0) {
                chosen = (chosen + 1) % upstreams_.size();
            }
            request.tried.push_back(chosen);
            ++totals_.tries;
            room.onSent(Service, request.priority, at(now_));
            if (chosen >= settings_.refusingUpstreams && take(upstreams_[chosen], request.priority)) {
                ++totals_.served[request.priority];
                return;
            }
            room.onEnded(Service, request.priority, at(now_), TryResult::Overloaded, at(now_));
            lastRefusal_ = now_;
            mayTry = room.mayTryAgain(Service, request.priority, request.tried.size(), at(now_));
        }
        refuse(request);
    }

    /// One request of each priority may always wait.
    static bool take(Upstream &upstream, std::uint32_t priority)
    {
        const auto ahead = std::distance(upstream.queue.begin(), upstream.queue.upper_bound(priority));
        const bool isTaken = ahead < 4 || upstream.queue.count(priority) == 0;
        if (isTaken) {
            upstream.queue.insert(priority);
        }
        return isTaken;
    }

    void step(Upstream &upstream)
    {
        std::erase_if(upstream.runningUntil, [this](int until) { return until <= now_; });
        while (!upstream.queue.empty()) {
            const auto next = upstream.starts % 8 == 7 ? std::prev(upstream.queue.end()) : upstream.queue.begin();
            if (upstream.runningUntil.size() >= (*next == 0 ? 9U : 8U)) {
                return;
            }
            upstream.runningUntil.push_back(now_ + 80 + static_cast<int>(random_() % 40));
            upstream.queue.erase(next);
            ++upstream.starts;
        }
    }

    /// Two of three callers honour the delay, the others come back at once. Callers come back once.
    void refuse(const Request &request)
    {
        if (request.isReturn) {
            ++totals_.refusedAgain;
            return;
        }
        Milliseconds delay(150 + static_cast<int>(random_() % 150));
        if (settings_.spreadsReturns) {
            delay = rooms_[request.ingress].returnDelay(Service, request.priority, delay, Milliseconds(500), at(now_));
        }
        const int wait = random_() % 3 != 0 ? static_cast<int>(delay.count()) : 20;
        returns_.emplace(now_ + wait, Request{request.priority, request.ingress, true, {}});
    }

    LoopSettings settings_;
    std::vector<ServiceRoom> rooms_;
    std::array<Upstream, 7> upstreams_;
    std::multimap<int, Request> returns_;
    Random random_{7};
    int now_ = 0;
    int lastRefusal_ = 0;
    double arrivals_ = 0.0;
    Totals totals_;
};

/// Adds requests of one try each.
void addTries(ServiceRoom &room, std::uint32_t priority, TryResult result, int count, int milliseconds)
{
    for (int index = 0; index < count; ++index) {
        room.onSent(Service, priority, at(milliseconds));
        room.onEnded(Service, priority, at(milliseconds), result, at(milliseconds));
        if (result == TryResult::Overloaded) {
            (void)room.mayTryAgain(Service, priority, 4, at(milliseconds));
        }
    }
}

}

// Guards against a wave in which each request is tried at four full upstreams.
TEST_CASE("in a wave above the capacity a request makes less than two tries")
{
    Loop loop({});
    Loop before({.limitsTries = false, .spreadsReturns = false});
    const Totals calm = loop.run(2000, 0.8);
    CHECK(calm.tries == before.run(2000, 0.8).tries);
    CHECK(calm.served == calm.arrived);
    const Totals wave = loop.run(5000, 1.55);
    const Totals waveBefore = before.run(5000, 1.55);
    CHECK(waveBefore.triesPerRequest() > 3.0);
    CHECK(wave.triesPerRequest() < 2.0);
    CHECK(wave.share(0) >= waveBefore.share(0));
    CHECK(wave.allServed() > 0.99 * waveBefore.allServed());
    CHECK(wave.share(2) >= waveBefore.share(2));
    CHECK(wave.share(2) > 0.25 * wave.allServed());
    CHECK(loop.maxTries(0) == 4);
    CHECK(loop.maxTries(2) == 1);
    // Callers that were refused in the wave keep the service full for some time.
    int limitedFor = 0;
    for (; loop.maxTries(2) < 4 && limitedFor < 1000; ++limitedFor) {
        (void)loop.run(1, 0.5);
    }
    CHECK(limitedFor < 1000);
    CHECK(loop.timeSinceRefusal() <= 500);
}

// Guards against a service that is taken for full because some of its upstreams hang or have just been restarted.
TEST_CASE("a service of which only some upstreams are full makes all its tries")
{
    Loop loop({.refusingUpstreams = 3});
    Loop before({.limitsTries = false, .spreadsReturns = false, .refusingUpstreams = 3});
    const Totals totals = loop.run(5000, 0.4);
    const Totals totalsBefore = before.run(5000, 0.4);
    CHECK(totals.tries == totalsBefore.tries);
    CHECK(totals.served == totalsBefore.served);
}

// Guards against callers that all come back while the burst in which they were refused lasts.
TEST_CASE("callers that honour Retry-After are refused again less often")
{
    const auto refusedAgain = [](LoopSettings settings) {
        Loop loop(settings);
        Totals all;
        for (int index = 0; index < 60; ++index) {
            const Totals totals = index % 2 == 0 ? loop.run(400, 2.0) : loop.run(800, 0.6);
            all.returned += totals.returned;
            all.refusedAgain += totals.refusedAgain;
        }
        return all.refusedAgain / all.returned;
    };
    const double spread = refusedAgain({});
    CHECK(spread < 0.9 * refusedAgain({.spreadsReturns = false}));
    CHECK(spread < 0.9 * refusedAgain({.limitsTries = false, .spreadsReturns = false}));
}

TEST_CASE("requests are refused at once only after eight tries without capacity, and some are tried as probes")
{
    ServiceRoom room;
    addTries(room, 2, TryResult::Overloaded, 3, 0);
    CHECK(room.maxTries(Service, 2, at(0)) == 4);
    addTries(room, 2, TryResult::Overloaded, 1, 0);
    CHECK(room.maxTries(Service, 2, at(0)) == 2);
    addTries(room, 2, TryResult::Overloaded, 8, 60);
    CHECK(room.maxTries(Service, 2, at(60)) == 1);
    CHECK_FALSE(room.refuses(Service, 2, at(60)));
    addTries(room, 2, TryResult::Overloaded, 7, 120);
    CHECK_FALSE(room.refuses(Service, 2, at(120)));
    addTries(room, 2, TryResult::Overloaded, 1, 120);
    for (int request = 1; request <= 50; ++request) {
        const bool isProbe = request % 5 == 0;
        CHECK(room.refuses(Service, 2, at(120)) == !isProbe);
        addTries(room, 2, TryResult::Overloaded, isProbe ? 1 : 0, 120);
    }
    CHECK(room.refuses(Service, 2, at(219)));
    CHECK_FALSE(room.refuses(Service, 2, at(220)));
    CHECK(room.maxTries(Service, 2, at(720)) == 4);
    CHECK_FALSE(room.refuses(Service, 2, at(720)));
}

// Guards against urgent requests that lose tries because of less urgent ones.
TEST_CASE("a shortage limits its priority and lower ones, not higher ones")
{
    ServiceRoom room;
    addTries(room, 1, TryResult::Overloaded, 8, 0);
    CHECK(room.maxTries(Service, 0, at(0)) == 4);
    CHECK(room.maxTries(Service, 1, at(0)) == 2);
    CHECK(room.maxTries(Service, 2, at(0)) == 2);
    CHECK(room.maxTries(ServiceName{"other"}, 1, at(0)) == 4);
}

// Guards against a shortage that is concluded from nodes that were not reached or that expect others to be better, and
// against long work: its tries found capacity although no answer has come yet.
TEST_CASE("declined and running tries are no sign of a shortage")
{
    ServiceRoom room;
    addTries(room, 0, TryResult::Unknown, 50, 0);
    CHECK(room.maxTries(Service, 0, at(0)) == 4);
    for (int index = 0; index < 10; ++index) {
        room.onSent(Service, 1, at(0));
    }
    addTries(room, 1, TryResult::Overloaded, 10, 0);
    CHECK(room.maxTries(Service, 1, at(0)) == 4);
}

TEST_CASE("the return delays of a short service fill one tenth of a second after the other")
{
    ServiceRoom room;
    CHECK(room.returnDelay(Service, 1, Milliseconds(150), Milliseconds(600), at(0)) == Milliseconds(150));
    addTries(room, 1, TryResult::Overloaded, 8, 0);
    for (const int expected : {150, 250, 350, 450, 550, 550, 450}) {
        CHECK(room.returnDelay(Service, 1, Milliseconds(150), Milliseconds(600), at(0)) == Milliseconds(expected));
    }
    CHECK(room.returnDelay(Service, 1, Milliseconds(40), Milliseconds(40), at(0)) == Milliseconds(40));
}
