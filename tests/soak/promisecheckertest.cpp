#include "soak/promisechecker.h"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

#include "core/currenttime.h"

using namespace Egretpath;

namespace
{

const UpstreamName Upstream("u1");
const ServiceName Payments("arrangements");

/// A checker with one published version of the routes and one attempt that was sent.
struct CheckedAttempt
{
    explicit CheckedAttempt(const PromiseBounds &bounds = PromiseBounds())
        : checker(bounds, faultHistory, stallDetector, versions)
    {
        versions.publish({5, currentTime() - std::chrono::seconds(10), {{RouteKey("pay"), Payments}}});
        attempt.id = RequestId("a1");
        attempt.nodeStartCount = 1;
        attempt.route = RouteKey("pay");
        attempt.kind = RequestKind::Unsafe;
        attempt.method = "POST";
        attempt.target = "/pay/1";
        attempt.bodyDigest = "d";
        attempt.callerService = ServiceName("intake");
        attempt.callerTimeout = Milliseconds(1500);
        attempt.timeout = Milliseconds(900);
        attempt.at = currentTime();
        checker.recordSent(attempt);
        arrival = {attempt.id, "POST", "/pay/1", "d", attempt.callerService, Milliseconds(800)};
    }

    void runAt(const UpstreamName &upstream, const ServiceName &service = Payments)
    {
        checker.onArrived(upstream, service, arrival);
        checker.onRunStarted(upstream, service, arrival);
        checker.onRunFinished(attempt.id);
    }

    void finishWith(std::uint16_t status, const std::string &digest = {}, const std::string &body = "b")
    {
        AttemptResult result;
        result.status = status;
        result.digest = digest;
        result.bodyDigest = body;
        result.at = currentTime();
        checker.recordResult(attempt.id, result);
    }

    /// Sends @p attempts attempts with a send time five seconds ago and answers each of them now.
    void answerAfterTimeout(int attempts)
    {
        for (int number = 0; number < attempts; ++number) {
            attempt.id = RequestId("late" + std::to_string(number));
            attempt.at = currentTime() - std::chrono::seconds(5);
            checker.recordSent(attempt);
            finishWith(504);
        }
    }

    [[nodiscard]] std::string firstViolation()
    {
        checker.finish();
        return checker.violations().empty() ? std::string() : checker.violations().front();
    }

    [[nodiscard]] bool violates(const std::string &promise)
    {
        return firstViolation().find(": " + promise + ": ") != std::string::npos;
    }

    FaultHistory faultHistory{Milliseconds(3000)};
    StallDetector stallDetector{faultHistory};
    PublishedVersions versions;
    PromiseChecker checker;
    SentAttempt attempt;
    ArrivedRequest arrival;
};

}

TEST_CASE("a request that ran once and was answered violates no promise")
{
    CheckedAttempt checked;
    checked.runAt(Upstream);
    checked.checker.onAnswered({checked.attempt.id, 200, "s1", "b"});
    checked.finishWith(200, "s1");
    CHECK(checked.firstViolation().empty());
}

TEST_CASE("each violated promise is reported")
{
    CheckedAttempt checked;
    SECTION("a payment that runs twice")
    {
        checked.runAt(Upstream);
        checked.runAt(UpstreamName("u2"));
        CHECK(checked.violates("at most once"));
    }
    SECTION("a refusal of a request that ran")
    {
        checked.runAt(Upstream);
        checked.finishWith(503);
        CHECK(checked.violates("a refusal is true"));
    }
    SECTION("a run after the refusal")
    {
        checked.finishWith(503);
        checked.runAt(Upstream);
        CHECK(checked.violates("a refusal is true"));
    }
    SECTION("an answer that no upstream gave to this request")
    {
        checked.runAt(Upstream);
        checked.checker.onAnswered({checked.attempt.id, 200, "s1", "b"});
        checked.finishWith(200, "s2");
        CHECK(checked.violates("each caller its own answer"));
    }
    SECTION("an answer with another body")
    {
        checked.runAt(Upstream);
        checked.checker.onAnswered({checked.attempt.id, 200, "s1", "b"});
        checked.finishWith(200, "s1", "half of b");
        CHECK(checked.violates("whole answers"));
    }
    SECTION("a success without the upstream's digest")
    {
        checked.finishWith(200);
        CHECK(checked.violates("whole answers"));
    }
    SECTION("a request that was changed on its way")
    {
        checked.arrival.target = "/pay/2";
        checked.runAt(Upstream);
        CHECK(checked.violates("only what was asked for"));
    }
    SECTION("a request that nobody sent")
    {
        checked.arrival.attempt = RequestId("a2");
        checked.checker.onArrived(Upstream, Payments, checked.arrival);
        CHECK(checked.violates("only what was asked for"));
    }
    SECTION("a run by another service")
    {
        checked.runAt(Upstream, ServiceName("statements"));
        CHECK(checked.violates("the right service"));
    }
    SECTION("a published route that is answered with 404")
    {
        checked.finishWith(404);
        CHECK(checked.violates("routes in force in time"));
    }
    SECTION("a run at an upstream that is draining")
    {
        checked.checker.recordDraining(Upstream, currentTime() - std::chrono::seconds(20));
        checked.runAt(Upstream);
        CHECK(checked.violates("nothing for those that leave"));
    }
    SECTION("a process that ends by itself")
    {
        checked.checker.recordUnexpectedExit(3, "signal 11");
        CHECK(checked.violates("runs on"));
    }
}

TEST_CASE("a fault of a node suspends its time bounds, but never the promise that a request runs at most once")
{
    CheckedAttempt checked;
    checked.faultHistory.begin(0, FaultCategory::Unplanned, checked.attempt.at);
    checked.checker.recordDraining(Upstream, currentTime() - std::chrono::seconds(20));
    checked.runAt(Upstream);
    CHECK(checked.firstViolation().empty());
    checked.runAt(UpstreamName("u2"));
    CHECK(checked.violates("at most once"));
}

// Guards against a check that never fails: the checker must report runs that continue after the third crash.
TEST_CASE("a request that crashes upstreams may run at most three more times after the gossip time")
{
    PromiseBounds bounds;
    bounds.quarantineGossip = Milliseconds(0);
    bounds.slack = Milliseconds(0);
    CheckedAttempt checked(bounds);
    checked.attempt.kind = RequestKind::Safe;
    checked.checker.recordSent(checked.attempt);
    for (int crash = 0; crash < 3; ++crash) {
        checked.checker.onCrashedBy(Upstream, checked.arrival);
    }
    for (int late = 0; late < 3; ++late) {
        checked.runAt(Upstream);
    }
    CHECK(checked.checker.violations().empty());
    checked.runAt(Upstream);
    CHECK(checked.violates("a request that ends upstreams is stopped"));
}

TEST_CASE("more than a few answers after the timeout violate a promise")
{
    CheckedAttempt checked;
    checked.answerAfterTimeout(6);
    CHECK(checked.violates("answers by the timeout"));
}

// Guards against false violations on a stalled machine: the answers that the stall delayed can be processed before the
// stall itself is recorded.
TEST_CASE("answers that a stall delayed violate no promise, even if the stall is recorded after them")
{
    CheckedAttempt checked;
    checked.answerAfterTimeout(6);
    checked.faultHistory.begin(AllNodes, FaultCategory::Unplanned, currentTime() - std::chrono::seconds(3));
    checked.faultHistory.end(AllNodes, FaultCategory::Unplanned, currentTime());
    CHECK_FALSE(checked.violates("answers by the timeout"));
}

// Guards against false violations on a stalled machine: the stall delays the requests, so their deadlines look too long
// when they arrive.
TEST_CASE("a deadline of a request that a stall delayed violates no promise")
{
    PromiseBounds bounds;
    bounds.slack = Milliseconds(0);
    CheckedAttempt checked(bounds);
    checked.stallDetector.recordActivity(currentTime());
    for (int number = 0; number < 6; ++number) {
        checked.attempt.id = RequestId("held" + std::to_string(number));
        checked.attempt.at = currentTime();
        checked.checker.recordSent(checked.attempt);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    for (int number = 0; number < 6; ++number) {
        checked.arrival.attempt = RequestId("held" + std::to_string(number));
        checked.arrival.timeLeft = Milliseconds(1500);
        checked.checker.onArrived(Upstream, Payments, checked.arrival);
    }
    CHECK(checked.stallDetector.stallCount() == 1);
    CHECK_FALSE(checked.violates("no longer deadlines"));
}
