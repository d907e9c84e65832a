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

/// A checker with one published version and one attempt that was sent.
struct Checked
{
    explicit Checked(const PromiseBounds &bounds = PromiseBounds())
        : checker(bounds, disturbances, stalls, versions)
    {
        versions.publish({5, currentTime() - std::chrono::seconds(10), {{RouteKey("pay"), Payments}}});
        attempt.id = RequestId("a1");
        attempt.boot = 1;
        attempt.route = RouteKey("pay");
        attempt.kind = RequestKind::Unsafe;
        attempt.method = "POST";
        attempt.target = "/pay/1";
        attempt.bodyDigest = "d";
        attempt.callerService = ServiceName("intake");
        attempt.patience = Milliseconds(1500);
        attempt.timeout = Milliseconds(900);
        attempt.at = currentTime();
        checker.sent(attempt);
        arrival = {attempt.id, "POST", "/pay/1", "d", attempt.callerService, Milliseconds(800)};
    }

    void runAt(const UpstreamName &upstream, const ServiceName &service = Payments)
    {
        checker.arrived(upstream, service, arrival);
        checker.runStarted(upstream, service, arrival);
        checker.runEnded(attempt.id);
    }

    void endWith(std::uint16_t status, const std::string &signature = {}, const std::string &body = "b")
    {
        AttemptEnd end;
        end.status = status;
        end.signature = signature;
        end.bodyDigest = body;
        end.at = currentTime();
        checker.ended(attempt.id, end);
    }

    /// As many attempts that were sent five seconds ago are answered now.
    void answerLate(int attempts)
    {
        for (int number = 0; number < attempts; ++number) {
            attempt.id = RequestId("late" + std::to_string(number));
            attempt.at = currentTime() - std::chrono::seconds(5);
            checker.sent(attempt);
            endWith(504);
        }
    }

    [[nodiscard]] std::string firstViolation()
    {
        checker.finish();
        return checker.violations().empty() ? std::string() : checker.violations().front();
    }

    [[nodiscard]] bool breaks(const std::string &promise)
    {
        return firstViolation().find(": " + promise + ": ") != std::string::npos;
    }

    Disturbances disturbances{Milliseconds(3000)};
    StallWatch stalls{disturbances};
    PublishedVersions versions;
    PromiseChecker checker;
    SentAttempt attempt;
    ArrivedRequest arrival;
};

}

TEST_CASE("a request that ran once and was answered breaks nothing")
{
    Checked run;
    run.runAt(Upstream);
    run.checker.answered({run.attempt.id, 200, "s1", "b"});
    run.endWith(200, "s1");
    CHECK(run.firstViolation().empty());
}

TEST_CASE("each broken promise is seen")
{
    Checked run;
    SECTION("a payment that runs twice")
    {
        run.runAt(Upstream);
        run.runAt(UpstreamName("u2"));
        CHECK(run.breaks("at most once"));
    }
    SECTION("a refusal of what ran")
    {
        run.runAt(Upstream);
        run.endWith(503);
        CHECK(run.breaks("a refusal is true"));
    }
    SECTION("a run after the refusal")
    {
        run.endWith(503);
        run.runAt(Upstream);
        CHECK(run.breaks("a refusal is true"));
    }
    SECTION("an answer that no upstream gave to this request")
    {
        run.runAt(Upstream);
        run.checker.answered({run.attempt.id, 200, "s1", "b"});
        run.endWith(200, "s2");
        CHECK(run.breaks("each caller its own answer"));
    }
    SECTION("an answer with another body")
    {
        run.runAt(Upstream);
        run.checker.answered({run.attempt.id, 200, "s1", "b"});
        run.endWith(200, "s1", "half of b");
        CHECK(run.breaks("whole answers"));
    }
    SECTION("a success without the upstream's word")
    {
        run.endWith(200);
        CHECK(run.breaks("whole answers"));
    }
    SECTION("a request that was changed on its way")
    {
        run.arrival.target = "/pay/2";
        run.runAt(Upstream);
        CHECK(run.breaks("only what was asked for"));
    }
    SECTION("a request that nobody sent")
    {
        run.arrival.attempt = RequestId("a2");
        run.checker.arrived(Upstream, Payments, run.arrival);
        CHECK(run.breaks("only what was asked for"));
    }
    SECTION("a run by another service")
    {
        run.runAt(Upstream, ServiceName("statements"));
        CHECK(run.breaks("the right service"));
    }
    SECTION("a route that is said not to exist")
    {
        run.endWith(404);
        CHECK(run.breaks("routes in force in time"));
    }
    SECTION("work for an upstream that has left")
    {
        run.checker.leaving(Upstream, currentTime() - std::chrono::seconds(20));
        run.runAt(Upstream);
        CHECK(run.breaks("nothing for those that leave"));
    }
    SECTION("a process that ends by itself")
    {
        run.checker.crashed(3, "signal 11");
        CHECK(run.breaks("runs on"));
    }
}

TEST_CASE("what a node was hit by excuses its bounds of time, and not what may never happen")
{
    Checked run;
    run.disturbances.begin(0, Disturbance::Unplanned, run.attempt.at);
    run.checker.leaving(Upstream, currentTime() - std::chrono::seconds(20));
    run.runAt(Upstream);
    CHECK(run.firstViolation().empty());
    run.runAt(UpstreamName("u2"));
    CHECK(run.breaks("at most once"));
}

// Guards against a check that never fails: what is sent on after the third end shows.
TEST_CASE("a request that ends upstreams may run three times more once nodes had time to tell each other")
{
    PromiseBounds bounds;
    bounds.crashNews = Milliseconds(0);
    bounds.slack = Milliseconds(0);
    Checked run(bounds);
    run.attempt.kind = RequestKind::Safe;
    run.checker.sent(run.attempt);
    for (int crash = 0; crash < 3; ++crash) {
        run.checker.crashedBy(Upstream, run.arrival);
    }
    for (int late = 0; late < 3; ++late) {
        run.runAt(Upstream);
    }
    CHECK(run.checker.violations().empty());
    run.runAt(Upstream);
    CHECK(run.breaks("a request that ends upstreams is stopped"));
}

TEST_CASE("many answers after the timeout break a promise")
{
    Checked run;
    run.answerLate(6);
    CHECK(run.breaks("answers by the timeout"));
}

// Guards against a machine that stands still: what it held up is dealt with before it is known that it stood.
TEST_CASE("answers that a stall held up break nothing, also when the stall is noted after them")
{
    Checked run;
    run.answerLate(6);
    run.disturbances.begin(AllNodes, Disturbance::Unplanned, currentTime() - std::chrono::seconds(3));
    run.disturbances.end(AllNodes, Disturbance::Unplanned, currentTime());
    CHECK_FALSE(run.breaks("answers by the timeout"));
}

// Guards against a request that the machine held up: its deadline looks too long where it arrives.
TEST_CASE("a deadline that a stall held up breaks nothing")
{
    PromiseBounds bounds;
    bounds.slack = Milliseconds(0);
    Checked run(bounds);
    run.stalls.noteAwake(currentTime());
    for (int number = 0; number < 6; ++number) {
        run.attempt.id = RequestId("held" + std::to_string(number));
        run.attempt.at = currentTime();
        run.checker.sent(run.attempt);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
    for (int number = 0; number < 6; ++number) {
        run.arrival.attempt = RequestId("held" + std::to_string(number));
        run.arrival.left = Milliseconds(1500);
        run.checker.arrived(Upstream, Payments, run.arrival);
    }
    CHECK(run.stalls.stalls() == 1);
    CHECK_FALSE(run.breaks("no longer deadlines"));
}
