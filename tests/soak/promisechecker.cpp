#include "soak/promisechecker.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

constexpr std::uint16_t NotFoundStatus = 404;
/// These say that the request has not run and never will.
constexpr std::uint16_t RefusalStatuses[] = {408, 421, 429, 503};
/// An upstream is to stop so soon after its caller has left.
constexpr Milliseconds LeaveBound{500};
/// How much longer a deadline may be than what the caller has left.
constexpr Milliseconds DeadlineExcess{500};
/// Findings of one kind that are allowed where a promise speaks of more than a few.
constexpr std::size_t AFew = 3;
/// A node that serves a version must not serve an older one so long after.
constexpr Milliseconds RollbackSlack{250};
constexpr std::size_t ShownViolations = 40;
/// After so many ends of upstreams by one request, and PromiseBounds::crashNews, it runs so often more at most.
constexpr std::size_t CrashesAllowed = 3;
constexpr std::size_t LateCrashesAllowed = 3;
/// A refusal that sends a caller away for so long says that its request ends upstreams.
constexpr std::chrono::minutes LongRefusal{30};

bool isSuccess(std::uint16_t status)
{
    constexpr std::uint16_t First = 200;
    constexpr std::uint16_t Last = 299;
    return status >= First && status <= Last;
}

bool isRefusal(std::uint16_t status)
{
    return std::find(std::begin(RefusalStatuses), std::end(RefusalStatuses), status) != std::end(RefusalStatuses);
}

long long millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

}

PromiseChecker::PromiseChecker(PromiseBounds bounds, const Disturbances &disturbances, StallWatch &stalls,
                               const PublishedVersions &versions)
    : bounds_(bounds)
    , disturbances_(disturbances)
    , stalls_(stalls)
    , versions_(versions)
    , start_(currentTime())
{
}

void PromiseChecker::sent(const SentAttempt &attempt)
{
    ++counts_.sent;
    attempts_[attempt.id].sent = attempt;
}

void PromiseChecker::ended(const RequestId &attempt, const AttemptEnd &end)
{
    stalls_.noteAwake(currentTime());
    Attempt &known = attempts_.at(attempt);
    known.end = end;
    counts_.succeeded += isSuccess(end.status) ? 1 : 0;
    counts_.refused += isRefusal(end.status) ? 1 : 0;
    counts_.leftByCallers += end.callerLeft ? 1 : 0;
    counts_.accused += end.retryAfter > LongRefusal && !known.sent.crashing ? 1 : 0;
    counts_.unknown += end.status == 0 && !end.notSent && !end.callerLeft ? 1 : 0;
    checkAnswer(known);
    checkRefusedRoute(known);
}

void PromiseChecker::placed(const UpstreamName &upstream, NodeNumber node)
{
    places_[upstream] = node;
}

void PromiseChecker::leaving(const UpstreamName &upstream, TimePoint at)
{
    leavingSince_.emplace(upstream, at);
}

void PromiseChecker::crashed(NodeNumber node, const std::string &how)
{
    violated("runs on", "node " + std::to_string(node) + " ended by itself: " + how);
}

void PromiseChecker::violated(const std::string &promise, const std::string &what)
{
    violations_.push_back("at " + std::to_string(millisecondsBetween(start_, currentTime())) + " ms: " + promise + ": "
                          + what);
}

void PromiseChecker::violate(const char *promise, const Attempt &attempt, const std::string &what)
{
    std::ostringstream text;
    text << what << " (" << attempt.sent.id << ", node " << attempt.sent.node << ", " << attempt.sent.route
         << ", sent at " << millisecondsBetween(start_, attempt.sent.at) << " ms)";
    violated(promise, text.str());
}

void PromiseChecker::arrived(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request)
{
    stalls_.noteAwake(currentTime());
    const auto found = attempts_.find(request.attempt);
    if (found == attempts_.end()) {
        violated("only what was asked for", "unknown request " + request.attempt.value() + " at " + upstream.value());
        return;
    }
    Attempt &attempt = found->second;
    Arrivals &arrivals = arrivals_[service];
    (attempt.arrivals++ == 0 ? arrivals.requests : arrivals.repeats).push_back(currentTime());
    checkRequest(attempt, upstream, request);
    checkDeadline(attempt, upstream, request);
}

void PromiseChecker::checkRequest(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request)
{
    const SentAttempt &sent = attempt.sent;
    if (request.method != sent.method || request.target != sent.target || request.bodyDigest != sent.bodyDigest) {
        violate("only what was asked for", attempt, "method, target or body changed on the way to " + upstream.value());
    }
    if (request.callerService != sent.callerService) {
        violate("only what was asked for", attempt, "said to come from " + request.callerService.value());
    }
}

void PromiseChecker::checkDeadline(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request)
{
    const TimePoint now = currentTime();
    if (!isInTouch(attempt, now) || !isCalmAt(upstream, attempt.sent.at, now)) {
        return;
    }
    const auto left = attempt.sent.patience - std::chrono::duration_cast<Milliseconds>(now - attempt.sent.at);
    if (request.left < Milliseconds{0} || request.left > left + DeadlineExcess + bounds_.slack) {
        few_["no longer deadlines"].push_back(attempt.sent.id.value() + " at " + upstream.value() + ": "
                                              + std::to_string(request.left.count()) + " ms given, "
                                              + std::to_string(left.count()) + " ms left");
    }
}

void PromiseChecker::runStarted(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request)
{
    stalls_.noteAwake(currentTime());
    ++counts_.runs;
    const auto found = attempts_.find(request.attempt);
    if (found == attempts_.end()) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.runs.push_back({upstream, service, currentTime(), std::nullopt});
    if (attempt.sent.kind != RequestKind::Safe && attempt.runs.size() > 1) {
        violate("at most once", attempt, "ran again at " + upstream.value());
    }
    if (attempt.sent.kind != RequestKind::Safe && attempt.end && isRefusal(attempt.end->status)) {
        violate("a refusal is true", attempt, "ran at " + upstream.value() + " after its refusal");
    }
    checkLeaving(attempt, upstream);
    checkRouting(attempt, service);
    checkCrashing(attempt, upstream);
}

void PromiseChecker::crashedBy(const UpstreamName & /*upstream*/, const ArrivedRequest &request)
{
    ++counts_.crashes;
    crashing_[request.target].crashes.push_back(currentTime());
}

void PromiseChecker::checkCrashing(const Attempt &attempt, const UpstreamName &upstream)
{
    const auto found = crashing_.find(attempt.sent.target);
    if (found == crashing_.end() || found->second.crashes.size() < CrashesAllowed) {
        return;
    }
    const TimePoint now = currentTime();
    const TimePoint excused = found->second.crashes[CrashesAllowed - 1] + bounds_.crashNews + bounds_.slack;
    if (now <= excused || !isInTouch(attempt, now) || !isCalmAt(upstream, excused, now)) {
        return;
    }
    if (++found->second.lateRuns > LateCrashesAllowed) {
        violate("a request that ends upstreams is stopped", attempt, "runs at " + upstream.value());
    }
}

void PromiseChecker::checkLeaving(const Attempt &attempt, const UpstreamName &upstream)
{
    const TimePoint now = currentTime();
    const auto left = leavingSince_.find(upstream);
    const bool late = left != leavingSince_.end() && left->second + bounds_.drain + bounds_.slack < attempt.sent.at;
    if (late && isInTouch(attempt, now) && isCalmAt(upstream, left->second, now)
        && disturbances_.isCalm(attempt.sent.node, Disturbance::Store, left->second, now)) {
        violate("nothing for those that leave", attempt,
                upstream.value() + " left " + std::to_string(millisecondsBetween(left->second, now)) + " ms ago");
    }
}

void PromiseChecker::checkRouting(const Attempt &attempt, const ServiceName &service)
{
    const SentAttempt &sent = attempt.sent;
    std::uint64_t oldestAllowing = 0;
    std::uint64_t newestAllowing = 0;
    for (const PublishedVersions::Version &version : versions_.all()) {
        const auto route = version.services.find(sent.route);
        if (route != version.services.end() && route->second == service) {
            oldestAllowing = oldestAllowing > 0 ? oldestAllowing : version.number;
            newestAllowing = version.number;
        }
    }
    if (newestAllowing == 0) {
        violate("the right service", attempt, "run by " + service.value());
        return;
    }
    const bool calm = isInTouch(attempt, currentTime())
        && disturbances_.isCalm(sent.node, Disturbance::Store, sent.at - bounds_.config, sent.at);
    if (calm && newestAllowing < versions_.oldestInForce(sent.at, bounds_.config + bounds_.slack)) {
        violate("routes in force in time", attempt,
                "run by " + service.value() + " as version " + std::to_string(newestAllowing) + " says");
    }
    checkNotBack(attempt, oldestAllowing, newestAllowing);
}

/// A run shows that its node has one of the versions from @p oldest to @p newest.
void PromiseChecker::checkNotBack(const Attempt &attempt, std::uint64_t oldest, std::uint64_t newest)
{
    SeenVersion &seen = seenVersions_[{attempt.sent.node, attempt.sent.boot}];
    if (newest < seen.number && attempt.sent.at > seen.at + RollbackSlack + bounds_.slack) {
        violate("routes never go back", attempt,
                "version " + std::to_string(seen.number) + " was seen, now " + std::to_string(newest));
    }
    if (oldest > seen.number) {
        seen = {oldest, currentTime()};
    }
}

void PromiseChecker::runEnded(const RequestId &attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    for (Run &run : found->second.runs) {
        run.ended = run.ended.value_or(currentTime());
    }
}

void PromiseChecker::answered(const MadeAnswer &answer)
{
    const auto found = attempts_.find(answer.attempt);
    if (found != attempts_.end()) {
        found->second.answers.push_back(answer);
    }
}

void PromiseChecker::checkAnswer(const Attempt &attempt)
{
    const AttemptEnd &end = *attempt.end;
    if (end.status == 0) {
        return;
    }
    if (!end.echoedId.empty() && end.echoedId != attempt.sent.id.value()) {
        violate("each caller its own answer", attempt, "got the answer to " + end.echoedId);
    }
    if (end.signature.empty()) {
        if (isSuccess(end.status)) {
            violate("whole answers", attempt, "a success that no upstream made");
        }
        return;
    }
    const auto made = std::find_if(attempt.answers.begin(), attempt.answers.end(),
                                   [&end](const MadeAnswer &answer) { return answer.signature == end.signature; });
    if (made == attempt.answers.end()) {
        violate("each caller its own answer", attempt, "signature " + end.signature + " is not of this request");
    } else if (made->status != end.status || (isSuccess(end.status) && made->bodyDigest != end.bodyDigest)) {
        violate("whole answers", attempt, "status or body changed on the way back");
    }
}

/// A route that was published long enough ago is known to each node in touch, and "no such route" is a lie then.
void PromiseChecker::checkRefusedRoute(const Attempt &attempt)
{
    const SentAttempt &sent = attempt.sent;
    if (attempt.end->status != NotFoundStatus) {
        return;
    }
    const std::uint64_t oldest = versions_.oldestInForce(sent.at, bounds_.config + bounds_.slack);
    bool inAll = oldest > 0;
    bool inAny = false;
    bool published = false;
    for (const PublishedVersions::Version &version : versions_.all()) {
        const bool has = version.services.contains(sent.route);
        const bool mayBeInForce = version.number >= oldest && version.at <= attempt.end->at;
        published = published || has;
        inAll = inAll && (!mayBeInForce || has);
        inAny = inAny || (mayBeInForce && has);
    }
    const bool calm = isInTouch(attempt, attempt.end->at)
        && disturbances_.isCalm(sent.node, Disturbance::Store, sent.at - bounds_.config, attempt.end->at);
    if (inAll && inAny && calm) {
        violate("routes in force in time", attempt, "404 for a route that is published");
    }
}

void PromiseChecker::checkInTime(const Attempt &attempt)
{
    const SentAttempt &sent = attempt.sent;
    const AttemptEnd &end = *attempt.end;
    const Milliseconds allowed = sent.timeout + LeaveBound + bounds_.slack;
    if (!sent.inner && !end.callerLeft && end.at - sent.at > allowed && isInTouch(attempt, end.at)) {
        few_["answers by the timeout"].push_back(sent.id.value() + " ended after "
                                                 + std::to_string(millisecondsBetween(sent.at, end.at)) + " ms with "
                                                 + std::to_string(end.status));
    }
}

void PromiseChecker::finish()
{
    for (const auto &[id, attempt] : attempts_) {
        checkAttempt(attempt);
    }
    checkRepeats();
    for (const auto &[promise, findings] : few_) {
        if (findings.size() > AFew) {
            violated(promise, std::to_string(findings.size()) + " times, the first: " + findings.front());
        }
    }
}

void PromiseChecker::checkAttempt(const Attempt &attempt)
{
    if (!attempt.end) {
        return;
    }
    const bool refused = isRefusal(attempt.end->status);
    const bool unknownAllowed = attempt.sent.kind == RequestKind::Safe;
    if (refused && !unknownAllowed && !attempt.runs.empty() && attempt.runs.front().began <= attempt.end->at) {
        violate("a refusal is true", attempt,
                "ran at " + attempt.runs.front().upstream.value() + " before its refusal");
    }
    checkInTime(attempt);
    checkLost(attempt);
    checkGone(attempt);
}

/// A request that an upstream worked on gets an answer from a node in touch, also around a planned stop.
void PromiseChecker::checkLost(const Attempt &attempt)
{
    const AttemptEnd &end = *attempt.end;
    const bool cut = end.status == 0 && !end.notSent && !end.callerLeft;
    if (!cut || attempt.sent.inner || attempt.runs.empty() || !isInTouch(attempt, end.at)) {
        return;
    }
    if (!disturbances_.isCalm(attempt.sent.node, Disturbance::Upstream, attempt.sent.at, end.at)) {
        return;
    }
    few_["no request cut"].push_back(attempt.sent.id.value() + " at node " + std::to_string(attempt.sent.node)
                                     + ", sent at " + std::to_string(millisecondsBetween(start_, attempt.sent.at))
                                     + " ms");
}

void PromiseChecker::checkGone(const Attempt &attempt)
{
    const AttemptEnd &end = *attempt.end;
    if (!end.callerLeft || attempt.sent.kind != RequestKind::Safe || !isInTouch(attempt, end.leftAt + LeaveBound)) {
        return;
    }
    for (const Run &run : attempt.runs) {
        const TimePoint bound = end.leftAt + LeaveBound + bounds_.slack;
        const bool late = run.began > bound || !run.ended || *run.ended > bound;
        if (late && isCalmAt(run.upstream, attempt.sent.at, bound)) {
            few_["work ends when its caller leaves"].push_back(attempt.sent.id.value() + " at " + run.upstream.value());
        }
    }
}

/// Over each window: repeats against the requests of that window and the one before.
void PromiseChecker::checkRepeats()
{
    for (const auto &[service, arrivals] : arrivals_) {
        const auto countIn = [](const std::vector<TimePoint> &times, TimePoint from, TimePoint to) {
            return std::lower_bound(times.begin(), times.end(), to)
                - std::lower_bound(times.begin(), times.end(), from);
        };
        for (const TimePoint begin : arrivals.repeats) {
            const auto repeats = static_cast<double>(countIn(arrivals.repeats, begin, begin + bounds_.repeatWindow));
            const auto now = countIn(arrivals.requests, begin, begin + bounds_.repeatWindow);
            const auto before = countIn(arrivals.requests, begin - bounds_.repeatWindow, begin);
            const double allowed =
                bounds_.repeatRatio * static_cast<double>(std::max(now, before)) + bounds_.repeatSlack;
            if (repeats > allowed) {
                violated("repeats within their budget",
                         service.value() + ": " + std::to_string(repeats) + " against " + std::to_string(allowed));
                break;
            }
        }
    }
}

bool PromiseChecker::isInTouch(const Attempt &attempt, TimePoint until) const
{
    return disturbances_.isCalm(attempt.sent.node, Disturbance::Unplanned, attempt.sent.at, until);
}

bool PromiseChecker::isCalmAt(const UpstreamName &upstream, TimePoint from, TimePoint to) const
{
    const auto place = places_.find(upstream);
    return place == places_.end() || disturbances_.isCalm(place->second, Disturbance::Unplanned, from, to);
}

std::string PromiseChecker::summary() const
{
    std::ostringstream text;
    text << "attempts " << counts_.sent << "\nsucceeded " << counts_.succeeded << "\nrefused " << counts_.refused
         << "\nunknown " << counts_.unknown << "\nleft " << counts_.leftByCallers << "\nruns " << counts_.runs
         << "\ncrashing " << crashing_.size() << "\ncrashes " << counts_.crashes << "\naccused " << counts_.accused
         << '\n';
    for (const auto &[target, request] : crashing_) {
        text << "crashes " << request.crashes.size() << " by " << target << '\n';
    }
    for (const auto &[promise, findings] : few_) {
        text << "few " << findings.size() << " (" << promise << ")\n";
    }
    for (std::size_t index = 0; index < std::min(violations_.size(), ShownViolations); ++index) {
        text << "violation " << violations_[index] << '\n';
    }
    text << "violations " << violations_.size() << '\n';
    return text.str();
}

}
