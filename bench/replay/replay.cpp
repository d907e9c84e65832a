#include "replay/replay.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "core/durations.h"
#include "core/random.h"
#include "routing/placementview.h"
#include "standins/virtualtime.h"

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 5> RuleNames{"random", "round-robin", "least-in-flight", "two-choices",
                                                    "egretpath"};
const TimePoint Start{std::chrono::seconds(1000)};
constexpr std::size_t Zones = 6;
constexpr std::size_t Regions = 3;
constexpr std::array<Microseconds, LinkKindCount> OneWay{Microseconds(200), Microseconds(1400), Microseconds(8000)};
constexpr unsigned MaxQueries = 3;
constexpr unsigned MostSendings = 8;
constexpr unsigned CallerReturns = 2;
constexpr Milliseconds SlowdownWatchInterval{20};
constexpr double LateWorth = 0.1;
/// Of a plain rule's upstream: requests that wait in its own queue, for each slot.
constexpr std::uint32_t QueueOfSlot = 2;
constexpr Milliseconds PlainReturn{200};
/// Callers return within a third of the time that they have left.
constexpr int ReturnShare = 3;
const RouteName Route("replayed");

Location zoneOf(std::size_t number)
{
    const std::size_t zone = number % Zones;
    return {RegionName("region-" + std::to_string(zone % Regions)), ZoneName("zone-" + std::to_string(zone))};
}

UpstreamName nameOf(std::size_t upstream)
{
    return UpstreamName("u" + std::to_string(upstream));
}

/// One request of a caller, from its first attempt to its end.
struct Request
{
    std::size_t node = 0;
    TimePoint first;
    TimePoint target;
    TimePoint deadline;
    Duration work{0};
    unsigned sendings = 0;
    unsigned returns = 0;
    std::vector<UpstreamName> excluded;
    bool ended = false;
};
using RequestPointer = std::shared_ptr<Request>;

class Replay
{
public:
    Replay(const ReplayLoad &load, const ReplaySettings &settings)
        : load_(load)
        , settings_(settings)
        , arrivals_(settings.seed)
        , slowPeriods_(settings.seed + 1'000'003)
        , choices_(settings.seed + 2'000'003)
    {
        for (std::size_t number = 0; number < load_.upstreams; ++number) {
            upstreams_.push_back(std::make_unique<Upstream>(settings_.decisions.queue, load_.slots));
            candidates_.push_back({nameOf(number), zoneOf(number), false});
            changeSlowdown(number, Start);
        }
        for (std::size_t number = 0; number < load_.nodes; ++number) {
            nodes_.push_back(
                std::make_unique<Node>(zoneOf(number), settings.decisions.ingress, settings.seed + number));
        }
    }

    ReplayResult run()
    {
        scheduleArrival(Start);
        time_.runAll();
        const auto all = static_cast<double>(std::max<std::uint64_t>(requests_, 1));
        result_.inTarget /= all;
        result_.late /= all;
        result_.refused /= all;
        result_.failed /= all;
        result_.sendings /= all;
        return result_;
    }

private:
    struct Work
    {
        RequestPointer request;
        std::uint64_t run = 0;
    };

    struct Upstream
    {
        Upstream(const WorkQueueSettings &settings, std::uint32_t slots)
            : queue(settings)
        {
            (void)queue.setSlots(slots, Start);
        }

        WorkQueue queue;
        double slowdown = 1.0;
        /// At work, by the id under which they were offered.
        std::map<CallId, Work> running;
        /// Offered and not begun.
        std::map<CallId, RequestPointer> waiting;
        /// The upstream's own queue, under the plain rules.
        std::deque<RequestPointer> plain;
    };

    struct Node
    {
        Node(Location place, const IngressDecisionSettings &decisions, std::uint64_t seed)
            : location(std::move(place))
            , view(decisions.view)
            , placement(location, view, Random(seed), decisions.placement)
        {
        }

        Location location;
        PlacementView view;
        Placement placement;
        std::map<std::size_t, int> underWay;
        std::size_t next = 0;
    };

    [[nodiscard]] TimePoint now() const { return time_.now(); }
    void at(TimePoint time, std::function<void()> action) { time_.at(time, std::move(action)); }

    void scheduleArrival(TimePoint after)
    {
        const Duration passed = after - Start;
        const bool bursts = passed >= load_.burstFrom && passed < load_.burstTo;
        std::exponential_distribution<double> gap(load_.rate * (bursts ? load_.burst : 1.0));
        const TimePoint time = after + scaled(std::chrono::seconds(1), gap(arrivals_));
        if (time - Start > load_.length) {
            return;
        }
        const auto request = std::make_shared<Request>();
        request->node = arrivals_() % load_.nodes;
        request->work = scaled(load_.work, std::lognormal_distribution<double>(0.0, load_.workSpread)(arrivals_));
        request->first = time;
        request->target = time + load_.target;
        request->deadline = time + load_.deadline;
        at(time, [this, request, time] {
            ++requests_;
            send(request);
            scheduleArrival(time);
        });
    }

    /// A VM is slow or not for a spell, and then draws anew.
    void changeSlowdown(std::size_t upstream, TimePoint time)
    {
        upstreams_[upstream]->slowdown =
            std::bernoulli_distribution(load_.slowShare)(slowPeriods_) ? load_.slowFactor : 1.0;
        // Its node asks for the pace while a request waits for it.
        at(time + SlowdownWatchInterval, [this, upstream] {
            if (upstreams_[upstream]->queue.needsSlowdownUpdates(now())) {
                tellSlowdown(upstream);
            }
        });
        std::exponential_distribution<double> length(1.0);
        const TimePoint end = time + scaled(load_.slowPeriod, length(slowPeriods_));
        if (end - Start < load_.length) {
            at(end, [this, upstream, end] { changeSlowdown(upstream, end); });
        }
    }

    // ---- the node at which the request began

    void send(const RequestPointer &request)
    {
        if (now() >= request->deadline) {
            end(request, result_.failed);
            return;
        }
        ++result_.sendings;
        ++request->sendings;
        Node &node = *nodes_[request->node];
        Duration declineThreshold{0};
        const std::size_t upstream = choose(node, *request, declineThreshold);
        ++node.underWay[upstream];
        node.view.onSent(nameOf(upstream));
        at(now() + crossing(*request, upstream), [this, request, upstream, declineThreshold] {
            settings_.rule == ReplayRule::Egretpath ? offer(request, upstream, declineThreshold)
                                                    : offerPlain(request, upstream);
        });
    }

    std::size_t choose(Node &node, const Request &request, Duration &declineThreshold)
    {
        switch (settings_.rule) {
        case ReplayRule::Random:
            return choices_() % load_.upstreams;
        case ReplayRule::RoundRobin:
            return node.next++ % load_.upstreams;
        case ReplayRule::LeastInFlight:
            return leastOf(node, load_.upstreams);
        case ReplayRule::TwoChoices:
            return leastOf(node, 2);
        case ReplayRule::Egretpath:
            break;
        }
        return choosePlaced(node, request, declineThreshold);
    }

    std::size_t leastOf(Node &node, std::size_t count)
    {
        const std::size_t first = choices_() % load_.upstreams;
        std::size_t best = first;
        for (std::size_t step = 1; step < count; ++step) {
            const std::size_t other = count == 2 ? choices_() % load_.upstreams : (first + step) % load_.upstreams;
            best = node.underWay[other] < node.underWay[best] ? other : best;
        }
        return best;
    }

    std::size_t choosePlaced(Node &node, const Request &request, Duration &declineThreshold)
    {
        PlacementRequest wanted;
        wanted.candidates = candidates_;
        wanted.excluded = request.excluded;
        wanted.demand.baselineTime = load_.work;
        wanted.targetLeft = request.target - now();
        wanted.bodies = Bytes(1200);
        wanted.now = now();
        auto choice = node.placement.choose(wanted);
        if (!choice) {
            wanted.excluded = {};
            choice = node.placement.choose(wanted);
        }
        if (request.sendings <= settings_.decisions.ingress.ingress.maxQueries) {
            declineThreshold = scaled(choice->declineThreshold, settings_.decisions.ingress.ingress.declineMargin);
        }
        return choice->candidate;
    }

    Duration crossing(const Request &request, std::size_t upstream) const
    {
        const LinkKind link = linkBetween(nodes_[request.node]->location, candidates_[upstream].location);
        return OneWay.at(static_cast<std::size_t>(link));
    }

    /// An outcome reaches the node at which the request began.
    void reply(const RequestPointer &request, std::size_t upstream, std::function<void()> action)
    {
        const LoadReport report = upstreams_[upstream]->queue.report(Route, now());
        at(now() + crossing(*request, upstream), [this, request, upstream, report, action = std::move(action)] {
            Node &node = *nodes_[request->node];
            --node.underWay[upstream];
            node.view.onEnded(nameOf(upstream));
            if (settings_.rule == ReplayRule::Egretpath) {
                node.view.onReport(nameOf(upstream), report, now());
            }
            action();
        });
    }

    void refused(const RequestPointer &request, std::size_t upstream, Duration retryAfter)
    {
        request->excluded.push_back(nameOf(upstream));
        const bool asksOn =
            settings_.rule == ReplayRule::Egretpath ? request->sendings <= MaxQueries : request->sendings < MaxQueries;
        if (asksOn && request->sendings < MostSendings) {
            send(request);
            return;
        }
        const Duration left = request->deadline - now();
        std::uniform_real_distribution<double> spread(1.0, 1.0 + settings_.decisions.ingress.ingress.retryAfterSpread);
        const Duration pause = std::min(scaled(retryAfter, spread(choices_)), left / ReturnShare);
        if (request->returns++ == CallerReturns || left <= Duration{0}) {
            end(request, result_.refused);
            return;
        }
        request->excluded.clear();
        request->sendings = 0;
        at(now() + pause, [this, request] { send(request); });
    }

    void end(const RequestPointer &request, double &count)
    {
        if (!std::exchange(request->ended, true)) {
            ++count;
        }
    }

    void answered(const RequestPointer &request)
    {
        if (now() <= request->target) {
            end(request, result_.inTarget);
        } else {
            end(request, now() <= request->deadline ? result_.late : result_.failed);
        }
    }

    // ---- the node beside the upstream

    void offer(const RequestPointer &request, std::size_t number, Duration declineThreshold)
    {
        Upstream &upstream = *upstreams_[number];
        tellSlowdown(number);
        WorkOffer work;
        work.call = CallId(++calls_);
        work.route = Route;
        work.deadline = request->deadline;
        work.target = request->target;
        work.declineThreshold = declineThreshold;
        const OfferOutcome outcome = upstream.queue.offer(work, now());
        if (const auto *refusal = std::get_if<Refused>(&outcome)) {
            const Duration retryAfter = refusal->failure.retryAfter;
            reply(request, number, [this, request, number, retryAfter] { refused(request, number, retryAfter); });
            return;
        }
        upstream.waiting[work.call] = request;
        if (std::holds_alternative<Admitted>(outcome)) {
            begin(number, work.call);
        }
        expire(number);
    }

    void tellSlowdown(std::size_t number)
    {
        constexpr double Percent = 100.0;
        Upstream &upstream = *upstreams_[number];
        for (const CallId next :
             upstream.queue.setSlowdown(static_cast<std::uint16_t>(upstream.slowdown * Percent), now())) {
            begin(number, next);
        }
    }

    void begin(std::size_t number, CallId call)
    {
        Upstream &upstream = *upstreams_[number];
        const RequestPointer request = upstream.waiting[call];
        upstream.waiting.erase(call);
        upstream.running[call] = {request, call.value()};
        const TimePoint done = now() + duration(upstream, *request);
        const bool cut = done > request->deadline;
        at(std::min(done, request->deadline), [this, number, call, cut] { finish(number, call, cut); });
    }

    /// An upstream that is nearly full slows itself.
    Duration duration(const Upstream &upstream, const Request &request) const
    {
        const double fill = static_cast<double>(upstream.running.size()) / load_.slots;
        return scaled(request.work, upstream.slowdown * (fill > load_.knee ? load_.kneeFactor : 1.0));
    }

    void finish(std::size_t number, CallId call, bool cut)
    {
        Upstream &upstream = *upstreams_[number];
        const RequestPointer request = upstream.running[call].request;
        upstream.running.erase(call);
        for (const CallId next : upstream.queue.finish(call, !cut, now())) {
            begin(number, next);
        }
        tellSlowdown(number);
        reply(request, number, [this, request, cut] { cut ? end(request, result_.failed) : answered(request); });
        expire(number);
    }

    void expire(std::size_t number)
    {
        Upstream &upstream = *upstreams_[number];
        for (const ExpiredCall &expired : upstream.queue.expire(now())) {
            const RequestPointer request = upstream.waiting[expired.call];
            upstream.waiting.erase(expired.call);
            const Duration retryAfter = expired.failure.retryAfter;
            reply(request, number, [this, request, number, retryAfter] { refused(request, number, retryAfter); });
        }
        for (const CallId next : upstream.queue.resume(now())) {
            begin(number, next);
        }
        if (const auto next = upstream.queue.nextExpiry(now())) {
            at(*next, [this, number] { expire(number); });
        }
    }

    // ---- an upstream without a node's decisions before it

    void offerPlain(const RequestPointer &request, std::size_t number)
    {
        Upstream &upstream = *upstreams_[number];
        if (upstream.running.size() < load_.slots) {
            beginPlain(number, request);
        } else if (upstream.plain.size() < std::size_t{QueueOfSlot} * load_.slots) {
            upstream.plain.push_back(request);
        } else {
            reply(request, number, [this, request, number] { refused(request, number, PlainReturn); });
        }
    }

    void beginPlain(std::size_t number, const RequestPointer &request)
    {
        Upstream &upstream = *upstreams_[number];
        const CallId call(++calls_);
        upstream.running[call] = {request, call.value()};
        const TimePoint done = now() + duration(upstream, *request);
        const bool cut = done > request->deadline;
        at(std::min(done, std::max(request->deadline, now())),
           [this, number, call, cut] { finishPlain(number, call, cut); });
    }

    void finishPlain(std::size_t number, CallId call, bool cut)
    {
        Upstream &upstream = *upstreams_[number];
        const RequestPointer request = upstream.running[call].request;
        upstream.running.erase(call);
        while (!upstream.plain.empty() && upstream.running.size() < load_.slots) {
            const RequestPointer next = upstream.plain.front();
            upstream.plain.pop_front();
            beginPlain(number, next);
        }
        reply(request, number, [this, request, cut] { cut ? end(request, result_.failed) : answered(request); });
    }

    ReplayLoad load_;
    ReplaySettings settings_;
    /// Apart, so that each rule meets the same arrivals and spells.
    Random arrivals_;
    Random slowPeriods_;
    Random choices_;
    VirtualTime time_;
    std::uint64_t calls_ = 0;
    std::uint64_t requests_ = 0;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::vector<PlacementCandidate> candidates_;
    std::vector<std::unique_ptr<Node>> nodes_;
    ReplayResult result_;
};

}

std::string_view toString(ReplayRule rule)
{
    return RuleNames.at(static_cast<std::size_t>(rule));
}

double ReplayResult::worth() const
{
    return inTarget + LateWorth * late;
}

ReplayResult replay(const ReplayLoad &load, const ReplaySettings &settings)
{
    return Replay(load, settings).run();
}

}
