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
constexpr std::array<Microseconds, LinkKindCount> OneWayDelays{Microseconds(200), Microseconds(1400),
                                                               Microseconds(8000)};
constexpr unsigned MaxDeclines = 3;
constexpr unsigned MaxSendings = 8;
constexpr unsigned MaxRetries = 2;
constexpr Milliseconds SlowdownWatchInterval{20};
constexpr double LateWorth = 0.1;
/// Under the plain rules, the maximum length of an upstream's own queue for each of its slots.
constexpr std::uint32_t MaxQueuedPerSlot = 2;
constexpr Milliseconds PlainRetryAfter{200};
/// Callers retry within a third of the time that they have left.
constexpr int RetryDivisor = 3;
const RouteName Route("replayed");

Location locationOf(std::size_t number)
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
    unsigned retries = 0;
    std::vector<UpstreamName> excluded;
    bool isFinished = false;
};
using RequestPointer = std::shared_ptr<Request>;

class Replay
{
public:
    Replay(const ReplayLoad &load, const ReplaySettings &settings)
        : load_(load)
        , settings_(settings)
        , arrivalRandom_(settings.seed)
        , slowPeriodRandom_(settings.seed + 1'000'003)
        , choiceRandom_(settings.seed + 2'000'003)
    {
        for (std::size_t number = 0; number < load_.upstreams; ++number) {
            upstreams_.push_back(std::make_unique<Upstream>(settings_.decisions.queue, load_.slots));
            candidates_.push_back({nameOf(number), locationOf(number), false});
            changeSlowdown(number, Start);
        }
        for (std::size_t number = 0; number < load_.nodes; ++number) {
            nodes_.push_back(
                std::make_unique<Node>(locationOf(number), settings.decisions.ingress, settings.seed + number));
        }
    }

    ReplayResult run()
    {
        scheduleArrival(Start);
        time_.runAll();
        const auto total = static_cast<double>(std::max<std::uint64_t>(requests_, 1));
        result_.inTarget /= total;
        result_.late /= total;
        result_.refused /= total;
        result_.failed /= total;
        result_.sendings /= total;
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
        /// Requests that the upstream works on, by the id with which they were offered.
        std::map<CallId, Work> running;
        /// Requests that were offered and have not started.
        std::map<CallId, RequestPointer> waiting;
        /// The upstream's own queue, under the plain rules.
        std::deque<RequestPointer> plainQueue;
    };

    struct Node
    {
        Node(Location ownLocation, const IngressDecisionSettings &decisions, std::uint64_t seed)
            : location(std::move(ownLocation))
            , view(decisions.view)
            , placement(location, view, Random(seed), decisions.placement)
        {
        }

        Location location;
        PlacementView view;
        Placement placement;
        std::map<std::size_t, int> inFlight;
        std::size_t nextUpstream = 0;
    };

    [[nodiscard]] TimePoint now() const { return time_.now(); }
    void scheduleAt(TimePoint time, std::function<void()> action) { time_.at(time, std::move(action)); }

    void scheduleArrival(TimePoint after)
    {
        const Duration elapsed = after - Start;
        const bool isBurst = elapsed >= load_.burstFrom && elapsed < load_.burstTo;
        std::exponential_distribution<double> arrivalGap(load_.rate * (isBurst ? load_.burst : 1.0));
        const TimePoint time = after + scaled(std::chrono::seconds(1), arrivalGap(arrivalRandom_));
        if (time - Start > load_.length) {
            return;
        }
        const auto request = std::make_shared<Request>();
        request->node = arrivalRandom_() % load_.nodes;
        request->work = scaled(load_.work, std::lognormal_distribution<double>(0.0, load_.workSpread)(arrivalRandom_));
        request->first = time;
        request->target = time + load_.target;
        request->deadline = time + load_.deadline;
        scheduleAt(time, [this, request, time] {
            ++requests_;
            send(request);
            scheduleArrival(time);
        });
    }

    /// Draws whether a VM is slow, and for how long. Draws again at the end of this period.
    void changeSlowdown(std::size_t upstream, TimePoint time)
    {
        upstreams_[upstream]->slowdown =
            std::bernoulli_distribution(load_.slowShare)(slowPeriodRandom_) ? load_.slowFactor : 1.0;
        // While a request waits for the end of a slow period, the node asks for the slowdown of the VM.
        scheduleAt(time + SlowdownWatchInterval, [this, upstream] {
            if (upstreams_[upstream]->queue.needsSlowdownUpdates(now())) {
                reportSlowdown(upstream);
            }
        });
        std::exponential_distribution<double> length(1.0);
        const TimePoint end = time + scaled(load_.slowPeriod, length(slowPeriodRandom_));
        if (end - Start < load_.length) {
            scheduleAt(end, [this, upstream, end] { changeSlowdown(upstream, end); });
        }
    }

    // ---- the node that the request comes from

    void send(const RequestPointer &request)
    {
        if (now() >= request->deadline) {
            recordOutcome(request, result_.failed);
            return;
        }
        ++result_.sendings;
        ++request->sendings;
        Node &node = *nodes_[request->node];
        Duration declineThreshold{0};
        const std::size_t upstream = choose(node, *request, declineThreshold);
        ++node.inFlight[upstream];
        node.view.onSent(nameOf(upstream));
        scheduleAt(now() + oneWayDelay(*request, upstream), [this, request, upstream, declineThreshold] {
            settings_.rule == ReplayRule::Egretpath ? offer(request, upstream, declineThreshold)
                                                    : offerPlain(request, upstream);
        });
    }

    std::size_t choose(Node &node, const Request &request, Duration &declineThreshold)
    {
        switch (settings_.rule) {
        case ReplayRule::Random:
            return choiceRandom_() % load_.upstreams;
        case ReplayRule::RoundRobin:
            return node.nextUpstream++ % load_.upstreams;
        case ReplayRule::LeastInFlight:
            return leastInFlight(node, load_.upstreams);
        case ReplayRule::TwoChoices:
            return leastInFlight(node, 2);
        case ReplayRule::Egretpath:
            break;
        }
        return choosePlacement(node, request, declineThreshold);
    }

    std::size_t leastInFlight(Node &node, std::size_t count)
    {
        const std::size_t first = choiceRandom_() % load_.upstreams;
        std::size_t best = first;
        for (std::size_t step = 1; step < count; ++step) {
            const std::size_t other = count == 2 ? choiceRandom_() % load_.upstreams : (first + step) % load_.upstreams;
            best = node.inFlight[other] < node.inFlight[best] ? other : best;
        }
        return best;
    }

    std::size_t choosePlacement(Node &node, const Request &request, Duration &declineThreshold)
    {
        PlacementRequest placementRequest;
        placementRequest.candidates = candidates_;
        placementRequest.excluded = request.excluded;
        placementRequest.demand.baselineTime = load_.work;
        placementRequest.targetLeft = request.target - now();
        placementRequest.bodies = Bytes(1200);
        placementRequest.now = now();
        auto choice = node.placement.choose(placementRequest);
        if (!choice) {
            placementRequest.excluded = {};
            choice = node.placement.choose(placementRequest);
        }
        if (request.sendings <= settings_.decisions.ingress.ingress.maxDeclines) {
            declineThreshold = scaled(choice->declineThreshold, settings_.decisions.ingress.ingress.declineMargin);
        }
        return choice->candidate;
    }

    Duration oneWayDelay(const Request &request, std::size_t upstream) const
    {
        const LinkKind link = linkBetween(nodes_[request.node]->location, candidates_[upstream].location);
        return OneWayDelays.at(static_cast<std::size_t>(link));
    }

    /// Sends an outcome back to the node that the request comes from.
    void reply(const RequestPointer &request, std::size_t upstream, std::function<void()> action)
    {
        const LoadReport report = upstreams_[upstream]->queue.report(Route, now());
        scheduleAt(now() + oneWayDelay(*request, upstream),
                   [this, request, upstream, report, action = std::move(action)] {
                       Node &node = *nodes_[request->node];
                       --node.inFlight[upstream];
                       node.view.onEnded(nameOf(upstream));
                       if (settings_.rule == ReplayRule::Egretpath) {
                           node.view.onReport(nameOf(upstream), report, now());
                       }
                       action();
                   });
    }

    void onRefused(const RequestPointer &request, std::size_t upstream, Duration retryAfter)
    {
        request->excluded.push_back(nameOf(upstream));
        const bool shouldSendAgain = settings_.rule == ReplayRule::Egretpath ? request->sendings <= MaxDeclines
                                                                             : request->sendings < MaxDeclines;
        if (shouldSendAgain && request->sendings < MaxSendings) {
            send(request);
            return;
        }
        const Duration left = request->deadline - now();
        std::uniform_real_distribution<double> spread(1.0, 1.0 + settings_.decisions.ingress.ingress.retryAfterSpread);
        const Duration pause = std::min(scaled(retryAfter, spread(choiceRandom_)), left / RetryDivisor);
        if (request->retries++ == MaxRetries || left <= Duration{0}) {
            recordOutcome(request, result_.refused);
            return;
        }
        request->excluded.clear();
        request->sendings = 0;
        scheduleAt(now() + pause, [this, request] { send(request); });
    }

    void recordOutcome(const RequestPointer &request, double &count)
    {
        if (!std::exchange(request->isFinished, true)) {
            ++count;
        }
    }

    void onAnswered(const RequestPointer &request)
    {
        if (now() <= request->target) {
            recordOutcome(request, result_.inTarget);
        } else {
            recordOutcome(request, now() <= request->deadline ? result_.late : result_.failed);
        }
    }

    // ---- the node beside the upstream

    void offer(const RequestPointer &request, std::size_t number, Duration declineThreshold)
    {
        Upstream &upstream = *upstreams_[number];
        reportSlowdown(number);
        WorkOffer work;
        work.call = CallId(++lastCall_);
        work.route = Route;
        work.deadline = request->deadline;
        work.target = request->target;
        work.declineThreshold = declineThreshold;
        const OfferOutcome outcome = upstream.queue.offer(work, now());
        if (const auto *refusal = std::get_if<Refused>(&outcome)) {
            const Duration retryAfter = refusal->failure.retryAfter;
            reply(request, number, [this, request, number, retryAfter] { onRefused(request, number, retryAfter); });
            return;
        }
        upstream.waiting[work.call] = request;
        if (std::holds_alternative<Admitted>(outcome)) {
            start(number, work.call);
        }
        expire(number);
    }

    void reportSlowdown(std::size_t number)
    {
        constexpr double Percent = 100.0;
        Upstream &upstream = *upstreams_[number];
        for (const CallId next :
             upstream.queue.setSlowdown(static_cast<std::uint16_t>(upstream.slowdown * Percent), now())) {
            start(number, next);
        }
    }

    void start(std::size_t number, CallId call)
    {
        Upstream &upstream = *upstreams_[number];
        const RequestPointer request = upstream.waiting[call];
        upstream.waiting.erase(call);
        upstream.running[call] = {request, call.value()};
        const TimePoint done = now() + duration(upstream, *request);
        const bool isCut = done > request->deadline;
        scheduleAt(std::min(done, request->deadline), [this, number, call, isCut] { finish(number, call, isCut); });
    }

    /// Returns how long @p request runs at @p upstream. An upstream that is nearly full is slower.
    Duration duration(const Upstream &upstream, const Request &request) const
    {
        const double fill = static_cast<double>(upstream.running.size()) / load_.slots;
        return scaled(request.work, upstream.slowdown * (fill > load_.knee ? load_.kneeFactor : 1.0));
    }

    void finish(std::size_t number, CallId call, bool isCut)
    {
        Upstream &upstream = *upstreams_[number];
        const RequestPointer request = upstream.running[call].request;
        upstream.running.erase(call);
        for (const CallId next : upstream.queue.finish(call, !isCut, now())) {
            start(number, next);
        }
        reportSlowdown(number);
        reply(request, number,
              [this, request, isCut] { isCut ? recordOutcome(request, result_.failed) : onAnswered(request); });
        expire(number);
    }

    void expire(std::size_t number)
    {
        Upstream &upstream = *upstreams_[number];
        for (const ExpiredCall &expired : upstream.queue.expire(now())) {
            const RequestPointer request = upstream.waiting[expired.call];
            upstream.waiting.erase(expired.call);
            const Duration retryAfter = expired.failure.retryAfter;
            reply(request, number, [this, request, number, retryAfter] { onRefused(request, number, retryAfter); });
        }
        for (const CallId next : upstream.queue.resume(now())) {
            start(number, next);
        }
        if (const auto next = upstream.queue.nextExpiry(now())) {
            scheduleAt(*next, [this, number] { expire(number); });
        }
    }

    // ---- an upstream without the decisions of a node beside it

    void offerPlain(const RequestPointer &request, std::size_t number)
    {
        Upstream &upstream = *upstreams_[number];
        if (upstream.running.size() < load_.slots) {
            startPlain(number, request);
        } else if (upstream.plainQueue.size() < std::size_t{MaxQueuedPerSlot} * load_.slots) {
            upstream.plainQueue.push_back(request);
        } else {
            reply(request, number, [this, request, number] { onRefused(request, number, PlainRetryAfter); });
        }
    }

    void startPlain(std::size_t number, const RequestPointer &request)
    {
        Upstream &upstream = *upstreams_[number];
        const CallId call(++lastCall_);
        upstream.running[call] = {request, call.value()};
        const TimePoint done = now() + duration(upstream, *request);
        const bool isCut = done > request->deadline;
        scheduleAt(std::min(done, std::max(request->deadline, now())),
                   [this, number, call, isCut] { finishPlain(number, call, isCut); });
    }

    void finishPlain(std::size_t number, CallId call, bool isCut)
    {
        Upstream &upstream = *upstreams_[number];
        const RequestPointer request = upstream.running[call].request;
        upstream.running.erase(call);
        while (!upstream.plainQueue.empty() && upstream.running.size() < load_.slots) {
            const RequestPointer next = upstream.plainQueue.front();
            upstream.plainQueue.pop_front();
            startPlain(number, next);
        }
        reply(request, number,
              [this, request, isCut] { isCut ? recordOutcome(request, result_.failed) : onAnswered(request); });
    }

    ReplayLoad load_;
    ReplaySettings settings_;
    /// These generators are separate, so that each rule gets the same arrivals and slow periods.
    Random arrivalRandom_;
    Random slowPeriodRandom_;
    Random choiceRandom_;
    VirtualTime time_;
    std::uint64_t lastCall_ = 0;
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
