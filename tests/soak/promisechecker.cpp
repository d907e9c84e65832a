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
/// With these statuses a node or upstream states that the request has not run and never will.
constexpr std::uint16_t RefusalStatuses[] = {408, 421, 429, 503};
/// An upstream must stop its work within this time after its caller has disconnected. An answer may also come this
/// much later than its timeout.
constexpr Milliseconds DisconnectBound{500};
/// A deadline that an upstream gets may exceed the time that the caller has left by this much.
constexpr Milliseconds MaxDeadlineExcess{500};
/// Number of findings of one kind that are tolerated, where a promise allows a few exceptions.
constexpr std::size_t MaxToleratedFindings = 3;
/// After a node was seen to use a version of the routes, the node may still use an older version for this long.
constexpr Milliseconds RollbackSlack{250};
constexpr std::size_t MaxShownViolations = 40;
/// After CrashesBeforeQuarantine crashes by one request, and after the time PromiseBounds::quarantineGossip, the
/// request may run at most MaxLateRuns more times.
constexpr std::size_t CrashesBeforeQuarantine = 3;
constexpr std::size_t MaxLateRuns = 3;
/// A refusal with a longer Retry-After than this means that the node treats the request as one that crashes upstreams.
constexpr std::chrono::minutes MinQuarantineRetryAfter{30};

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

PromiseChecker::PromiseChecker(PromiseBounds bounds, const FaultHistory &faultHistory, StallDetector &stallDetector,
                               const PublishedVersions &versions)
    : bounds_(bounds)
    , faultHistory_(faultHistory)
    , stallDetector_(stallDetector)
    , upstreamPromises_({.slack = bounds.slack}, faultHistory)
    , versions_(versions)
    , start_(currentTime())
{
}

void PromiseChecker::recordSent(const SentAttempt &attempt)
{
    ++counts_.sent;
    attempts_[attempt.id].sent = attempt;
}

void PromiseChecker::recordResult(const RequestId &attempt, const AttemptResult &result)
{
    stallDetector_.recordActivity(currentTime());
    Attempt &known = attempts_.at(attempt);
    known.result = result;
    counts_.succeeded += isSuccess(result.status) ? 1 : 0;
    counts_.refused += isRefusal(result.status) ? 1 : 0;
    counts_.callerDisconnects += result.callerDisconnected ? 1 : 0;
    counts_.wronglyQuarantined += result.retryAfter > MinQuarantineRetryAfter && !known.sent.isCrashing ? 1 : 0;
    counts_.unknown += result.status == 0 && !result.isUnsent && !result.callerDisconnected ? 1 : 0;
    checkAnswer(known);
    checkNotFound(known);
}

void PromiseChecker::recordPlacement(const UpstreamName &upstream, NodeNumber node, const std::string &zone)
{
    upstreamNodes_[upstream] = node;
    upstreamPromises_.place(upstream, node, zone);
}

void PromiseChecker::recordDraining(const UpstreamName &upstream, TimePoint at)
{
    drainingSince_.emplace(upstream, at);
}

void PromiseChecker::recordUnexpectedExit(NodeNumber node, const std::string &reason)
{
    recordViolation("runs on", "node " + std::to_string(node) + " ended by itself: " + reason);
}

void PromiseChecker::recordViolation(const std::string &promise, const std::string &detail)
{
    violations_.push_back("at " + std::to_string(millisecondsBetween(start_, currentTime())) + " ms: " + promise + ": "
                          + detail);
}

void PromiseChecker::recordAttemptViolation(const char *promise, const Attempt &attempt, const std::string &detail)
{
    std::ostringstream text;
    text << detail << " (" << attempt.sent.id << ", node " << attempt.sent.node << ", " << attempt.sent.route
         << ", sent at " << millisecondsBetween(start_, attempt.sent.at) << " ms)";
    recordViolation(promise, text.str());
}

void PromiseChecker::onArrived(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request)
{
    stallDetector_.recordActivity(currentTime());
    const auto found = attempts_.find(request.attempt);
    if (found == attempts_.end()) {
        recordViolation("only what was asked for",
                        "unknown request " + request.attempt.value() + " at " + upstream.value());
        return;
    }
    Attempt &attempt = found->second;
    Arrivals &arrivals = arrivals_[service];
    (attempt.arrivals++ == 0 ? arrivals.requests : arrivals.retries).push_back(currentTime());
    checkRequest(attempt, upstream, request);
    checkDeadline(attempt, upstream, request);
    if (!request.isMisdirected) {
        checkUpstream(attempt, upstream);
    }
}

void PromiseChecker::checkUpstream(const Attempt &attempt, const UpstreamName &upstream)
{
    const UpstreamArrival arrival{upstream, attempt.sent.route, attempt.sent.node, attempt.sent.at, currentTime()};
    for (const UpstreamPromises::Finding &finding : upstreamPromises_.check(arrival)) {
        recordAttemptViolation(finding.promise, attempt, finding.detail);
    }
}

void PromiseChecker::checkRequest(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request)
{
    const SentAttempt &sent = attempt.sent;
    if (request.method != sent.method || request.target != sent.target || request.bodyDigest != sent.bodyDigest) {
        recordAttemptViolation("only what was asked for", attempt,
                               "method, target or body changed on the way to " + upstream.value());
    }
    if (request.callerService != sent.callerService) {
        recordAttemptViolation("only what was asked for", attempt,
                               "said to come from " + request.callerService.value());
    }
}

void PromiseChecker::checkDeadline(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request)
{
    const TimePoint now = currentTime();
    if (!isNodeFaultFree(attempt, now) || !isUpstreamNodeFaultFree(upstream, attempt.sent.at, now)) {
        return;
    }
    const auto left = attempt.sent.callerTimeout - std::chrono::duration_cast<Milliseconds>(now - attempt.sent.at);
    if (request.timeLeft < Milliseconds{0} || request.timeLeft > left + MaxDeadlineExcess + bounds_.slack) {
        toleratedFindings_["no longer deadlines"].push_back(attempt.sent.id.value() + " at " + upstream.value() + ": "
                                                            + std::to_string(request.timeLeft.count()) + " ms given, "
                                                            + std::to_string(left.count()) + " ms left");
    }
}

void PromiseChecker::onRunStarted(const UpstreamName &upstream, const ServiceName &service,
                                  const ArrivedRequest &request)
{
    stallDetector_.recordActivity(currentTime());
    ++counts_.runs;
    const auto found = attempts_.find(request.attempt);
    if (found == attempts_.end()) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.runs.push_back({upstream, service, currentTime(), std::nullopt});
    if (!isIdempotent(attempt.sent.kind) && attempt.runs.size() > 1) {
        recordAttemptViolation("at most once", attempt, "ran again at " + upstream.value());
    }
    if (!isIdempotent(attempt.sent.kind) && attempt.result && isRefusal(attempt.result->status)) {
        recordAttemptViolation("a refusal is true", attempt, "ran at " + upstream.value() + " after its refusal");
    }
    checkDraining(attempt, upstream);
    checkRouting(attempt, service);
    checkCrashingRequest(attempt, upstream);
}

void PromiseChecker::onCrashedBy(const UpstreamName & /*upstream*/, const ArrivedRequest &request)
{
    ++counts_.crashes;
    crashingRequests_[request.target].crashes.push_back(currentTime());
}

void PromiseChecker::checkCrashingRequest(const Attempt &attempt, const UpstreamName &upstream)
{
    const auto found = crashingRequests_.find(attempt.sent.target);
    if (found == crashingRequests_.end() || found->second.crashes.size() < CrashesBeforeQuarantine) {
        return;
    }
    const TimePoint now = currentTime();
    const TimePoint excusedUntil =
        found->second.crashes[CrashesBeforeQuarantine - 1] + bounds_.quarantineGossip + bounds_.slack;
    if (now <= excusedUntil || !isNodeFaultFree(attempt, now)
        || !isUpstreamNodeFaultFree(upstream, excusedUntil, now)) {
        return;
    }
    if (++found->second.lateRuns > MaxLateRuns) {
        recordAttemptViolation("a request that ends upstreams is stopped", attempt, "runs at " + upstream.value());
    }
}

void PromiseChecker::checkDraining(const Attempt &attempt, const UpstreamName &upstream)
{
    const TimePoint now = currentTime();
    const auto draining = drainingSince_.find(upstream);
    const bool late =
        draining != drainingSince_.end() && draining->second + bounds_.drain + bounds_.slack < attempt.sent.at;
    if (late && isNodeFaultFree(attempt, now) && isUpstreamNodeFaultFree(upstream, draining->second, now)
        && faultHistory_.isFaultFree(attempt.sent.node, FaultCategory::Store, draining->second, now)) {
        recordAttemptViolation("nothing for those that leave", attempt,
                               upstream.value() + " left " + std::to_string(millisecondsBetween(draining->second, now))
                                   + " ms ago");
    }
}

void PromiseChecker::checkRouting(const Attempt &attempt, const ServiceName &service)
{
    const SentAttempt &sent = attempt.sent;
    std::uint64_t oldestMatching = 0;
    std::uint64_t newestMatching = 0;
    for (const PublishedVersions::Version &version : versions_.all()) {
        const auto route = version.services.find(sent.route);
        if (route != version.services.end() && route->second == service) {
            oldestMatching = oldestMatching > 0 ? oldestMatching : version.number;
            newestMatching = version.number;
        }
    }
    if (newestMatching == 0) {
        recordAttemptViolation("the right service", attempt, "run by " + service.value());
        return;
    }
    const bool hasNoFault = isNodeFaultFree(attempt, currentTime())
        && faultHistory_.isFaultFree(sent.node, FaultCategory::Store, sent.at - bounds_.routeChange, sent.at);
    if (hasNoFault && newestMatching < versions_.oldestActive(sent.at, bounds_.routeChange + bounds_.slack)) {
        recordAttemptViolation("routes in force in time", attempt,
                               "run by " + service.value() + " as version " + std::to_string(newestMatching) + " says");
    }
    checkNoRollback(attempt, oldestMatching, newestMatching);
}

/// The run shows that the node uses one of the versions from @p oldest to @p newest.
void PromiseChecker::checkNoRollback(const Attempt &attempt, std::uint64_t oldest, std::uint64_t newest)
{
    SeenVersion &seen = seenVersions_[{attempt.sent.node, attempt.sent.nodeStartCount}];
    if (newest < seen.number && attempt.sent.at > seen.at + RollbackSlack + bounds_.slack) {
        recordAttemptViolation("routes never go back", attempt,
                               "version " + std::to_string(seen.number) + " was seen, now " + std::to_string(newest));
    }
    if (oldest > seen.number) {
        seen = {oldest, currentTime()};
    }
}

void PromiseChecker::onRunFinished(const RequestId &attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    for (Run &run : found->second.runs) {
        run.finishedAt = run.finishedAt.value_or(currentTime());
    }
}

void PromiseChecker::onAnswered(const UpstreamAnswer &answer)
{
    const auto found = attempts_.find(answer.attempt);
    if (found != attempts_.end()) {
        found->second.answers.push_back(answer);
    }
}

void PromiseChecker::checkAnswer(const Attempt &attempt)
{
    const AttemptResult &result = *attempt.result;
    if (result.status == 0) {
        return;
    }
    if (!result.echoedId.empty() && result.echoedId != attempt.sent.id.value()) {
        recordAttemptViolation("each caller its own answer", attempt, "got the answer to " + result.echoedId);
    }
    if (result.digest.empty()) {
        if (isSuccess(result.status)) {
            recordAttemptViolation("whole answers", attempt, "a success that no upstream made");
        }
        return;
    }
    const auto made = std::find_if(attempt.answers.begin(), attempt.answers.end(),
                                   [&result](const UpstreamAnswer &answer) { return answer.digest == result.digest; });
    if (made == attempt.answers.end()) {
        recordAttemptViolation("each caller its own answer", attempt,
                               "signature " + result.digest + " is not of this request");
    } else if (made->status != result.status || (isSuccess(result.status) && made->bodyDigest != result.bodyDigest)) {
        recordAttemptViolation("whole answers", attempt, "status or body changed on the way back");
    }
}

/// Every node that no fault separates from the store knows a route that was published long enough ago; a 404 for this
/// route is a violation then.
void PromiseChecker::checkNotFound(const Attempt &attempt)
{
    const SentAttempt &sent = attempt.sent;
    if (attempt.result->status != NotFoundStatus) {
        return;
    }
    const std::uint64_t oldest = versions_.oldestActive(sent.at, bounds_.routeChange + bounds_.slack);
    bool inAll = oldest > 0;
    bool inAny = false;
    bool published = false;
    for (const PublishedVersions::Version &version : versions_.all()) {
        const bool has = version.services.contains(sent.route);
        const bool mayBeActive = version.number >= oldest && version.at <= attempt.result->at;
        published = published || has;
        inAll = inAll && (!mayBeActive || has);
        inAny = inAny || (mayBeActive && has);
    }
    const bool hasNoFault = isNodeFaultFree(attempt, attempt.result->at)
        && faultHistory_.isFaultFree(sent.node, FaultCategory::Store, sent.at - bounds_.routeChange,
                                     attempt.result->at);
    if (inAll && inAny && hasNoFault) {
        recordAttemptViolation("routes in force in time", attempt, "404 for a route that is published");
    }
}

void PromiseChecker::checkTimeout(const Attempt &attempt)
{
    const SentAttempt &sent = attempt.sent;
    const AttemptResult &result = *attempt.result;
    const Milliseconds allowed = sent.timeout + DisconnectBound + bounds_.slack;
    if (!sent.isInner && !result.callerDisconnected && result.at - sent.at > allowed
        && isNodeFaultFree(attempt, result.at)) {
        toleratedFindings_["answers by the timeout"].push_back(sent.id.value() + " ended after "
                                                               + std::to_string(millisecondsBetween(sent.at, result.at))
                                                               + " ms with " + std::to_string(result.status));
    }
}

void PromiseChecker::finish()
{
    for (const auto &[id, attempt] : attempts_) {
        checkAttempt(attempt);
    }
    checkRetries();
    for (const auto &[promise, findings] : toleratedFindings_) {
        if (findings.size() > MaxToleratedFindings) {
            recordViolation(promise, std::to_string(findings.size()) + " times, the first: " + findings.front());
        }
    }
}

void PromiseChecker::checkAttempt(const Attempt &attempt)
{
    if (!attempt.result) {
        return;
    }
    const bool refused = isRefusal(attempt.result->status);
    const bool isSafe = isIdempotent(attempt.sent.kind);
    if (refused && !isSafe && !attempt.runs.empty() && attempt.runs.front().startedAt <= attempt.result->at) {
        recordAttemptViolation("a refusal is true", attempt,
                               "ran at " + attempt.runs.front().upstream.value() + " before its refusal");
    }
    checkTimeout(attempt);
    checkCutOff(attempt);
    checkDisconnected(attempt);
}

/// A node must answer each request that ran at an upstream, even during a planned stop, unless a fault of category
/// Unplanned or Upstream hit the node meanwhile.
void PromiseChecker::checkCutOff(const Attempt &attempt)
{
    const AttemptResult &result = *attempt.result;
    const bool cut = result.status == 0 && !result.isUnsent && !result.callerDisconnected;
    if (!cut || attempt.sent.isInner || attempt.runs.empty() || !isNodeFaultFree(attempt, result.at)) {
        return;
    }
    if (!faultHistory_.isFaultFree(attempt.sent.node, FaultCategory::Upstream, attempt.sent.at, result.at)) {
        return;
    }
    toleratedFindings_["no request cut"].push_back(
        attempt.sent.id.value() + " at node " + std::to_string(attempt.sent.node) + ", sent at "
        + std::to_string(millisecondsBetween(start_, attempt.sent.at)) + " ms");
}

void PromiseChecker::checkDisconnected(const Attempt &attempt)
{
    const AttemptResult &result = *attempt.result;
    if (!result.callerDisconnected || !isIdempotent(attempt.sent.kind)
        || !isNodeFaultFree(attempt, result.disconnectedAt + DisconnectBound)) {
        return;
    }
    for (const Run &run : attempt.runs) {
        const TimePoint bound = result.disconnectedAt + DisconnectBound + bounds_.slack;
        const bool late = run.startedAt > bound || !run.finishedAt || *run.finishedAt > bound;
        if (late && isUpstreamNodeFaultFree(run.upstream, attempt.sent.at, bound)) {
            toleratedFindings_["work ends when its caller leaves"].push_back(attempt.sent.id.value() + " at "
                                                                             + run.upstream.value());
        }
    }
}

/// Compares the retries in each window with the requests of this window or of the window before, whichever are more.
void PromiseChecker::checkRetries()
{
    for (const auto &[service, arrivals] : arrivals_) {
        const auto countIn = [](const std::vector<TimePoint> &times, TimePoint from, TimePoint to) {
            return std::lower_bound(times.begin(), times.end(), to)
                - std::lower_bound(times.begin(), times.end(), from);
        };
        for (const TimePoint begin : arrivals.retries) {
            const auto retries = static_cast<double>(countIn(arrivals.retries, begin, begin + bounds_.retryWindow));
            const auto requests = countIn(arrivals.requests, begin, begin + bounds_.retryWindow);
            const auto previousRequests = countIn(arrivals.requests, begin - bounds_.retryWindow, begin);
            const double allowed =
                bounds_.retryRatio * static_cast<double>(std::max(requests, previousRequests)) + bounds_.retrySlack;
            if (retries > allowed) {
                recordViolation("repeats within their budget",
                                service.value() + ": " + std::to_string(retries) + " against "
                                    + std::to_string(allowed));
                break;
            }
        }
    }
}

bool PromiseChecker::isNodeFaultFree(const Attempt &attempt, TimePoint until) const
{
    return faultHistory_.isFaultFree(attempt.sent.node, FaultCategory::Unplanned, attempt.sent.at, until);
}

bool PromiseChecker::isUpstreamNodeFaultFree(const UpstreamName &upstream, TimePoint from, TimePoint to) const
{
    const auto found = upstreamNodes_.find(upstream);
    return found == upstreamNodes_.end()
        || faultHistory_.isFaultFree(found->second, FaultCategory::Unplanned, from, to);
}

std::string PromiseChecker::summary() const
{
    std::ostringstream text;
    text << "attempts " << counts_.sent << "\nsucceeded " << counts_.succeeded << "\nrefused " << counts_.refused
         << "\nunknown " << counts_.unknown << "\nleft " << counts_.callerDisconnects << "\nruns " << counts_.runs
         << "\ncrashing " << crashingRequests_.size() << "\ncrashes " << counts_.crashes << "\naccused "
         << counts_.wronglyQuarantined << '\n';
    for (const auto &[target, request] : crashingRequests_) {
        text << "crashes " << request.crashes.size() << " by " << target << '\n';
    }
    for (const auto &[promise, findings] : toleratedFindings_) {
        text << "few " << findings.size() << " (" << promise << ")\n";
    }
    for (std::size_t index = 0; index < std::min(violations_.size(), MaxShownViolations); ++index) {
        text << "violation " << violations_[index] << '\n';
    }
    text << "violations " << violations_.size() << '\n';
    return text.str();
}

}
