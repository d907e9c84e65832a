#include "admission/workqueue.h"

#include <catch2/catch.hpp>

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

using namespace Egretpath;

namespace
{

const RouteName Read("read");
const RouteName Payment("payment");

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

/// A request that arrives at @p now, has a target of 300 ms and a deadline of one second.
WorkOffer offerOf(std::uint64_t call, int now, std::uint8_t priority = 1)
{
    WorkOffer offer;
    offer.call = CallId(call);
    offer.route = Read;
    offer.priority = priority;
    offer.target = at(now + 300);
    offer.deadline = at(now + 1000);
    return offer;
}

/// A queue with six slots that has recorded a read of 100 ms.
WorkQueue trainedQueue()
{
    WorkQueue queue;
    (void)queue.setSlots(6, at(-1000));
    const OfferOutcome outcome = queue.offer(offerOf(999, -500), at(-500));
    REQUIRE(std::holds_alternative<Admitted>(outcome));
    (void)queue.finish(CallId(999), true, at(-400));
    return queue;
}

Reason reasonOf(const OfferOutcome &outcome)
{
    const auto *refused = std::get_if<Refused>(&outcome);
    return refused == nullptr ? Reason::None : refused->failure.reason;
}

void fill(WorkQueue &queue, int now)
{
    for (std::uint64_t call = 1; call <= queue.limit(); ++call) {
        REQUIRE(std::holds_alternative<Admitted>(queue.offer(offerOf(call, now), at(now))));
    }
}

}

// Guards against an entry or an answer that names so many slots that the forecasts of their ends fill the memory.
TEST_CASE("an upstream that names billions of slots or of running requests costs no more memory than others")
{
    WorkQueue queue = trainedQueue();
    (void)queue.setSlots(UINT32_MAX, at(-100));
    CHECK(queue.limit() <= MaxUsableSlots);
    // While the VM is slow a request waits, and the queue looks when each slot becomes free.
    (void)queue.setSlowdown(100, at(-50));
    (void)queue.setSlowdown(400, at(0));
    CHECK(std::holds_alternative<Queued>(queue.offer(offerOf(1, 0), at(0))));
    (void)queue.setExternalRequests(UINT32_MAX, at(1));
    CHECK(queue.expected(offerOf(2, 1), at(1)) > Duration{0});
}

// Guards against filling all slots. An upstream with six slots slows itself down when it is four fifths full, and each
// request takes 1.7 times as long: six requests at once complete 3.5 in the time of one request, four complete four.
TEST_CASE("the upstream is kept below the fill level at which it slows itself down")
{
    WorkQueue queue;
    (void)queue.setSlots(6, at(0));
    CHECK(queue.limit() == 4);
    (void)queue.setSlots(9, at(0));
    CHECK(queue.limit() == 7);
    (void)queue.setSlots(5, at(0));
    CHECK(queue.limit() == 4);
    (void)queue.setSlots(1, at(0));
    CHECK(queue.limit() == 1);
}

// Guards against payments that miss their target behind reads. A burst doubles the load for some seconds. In order of
// arrival, a payment that arrives late in the burst would wait behind reads that have missed their target long before.
TEST_CASE("requests that can still meet their target start first, by priority, then the others")
{
    WorkQueue queue = trainedQueue();
    fill(queue, 0);
    WorkOffer late = offerOf(10, 1, 0);
    late.target = at(90);
    REQUIRE(std::holds_alternative<Queued>(queue.offer(late, at(1))));
    REQUIRE(std::holds_alternative<Queued>(queue.offer(offerOf(11, 2, 2), at(2))));
    REQUIRE(std::holds_alternative<Queued>(queue.offer(offerOf(12, 3, 1), at(3))));
    CHECK(queue.finish(CallId(1), true, at(20)) == std::vector<CallId>{CallId(12)});
    CHECK(queue.finish(CallId(2), true, at(25)) == std::vector<CallId>{CallId(11)});
    CHECK(queue.finish(CallId(3), true, at(30)) == std::vector<CallId>{CallId(10)});
}

// Guards against requests that are late on a slow VM. The VM becomes four times slower for some tenths of a second. Its
// node knows that, but the senders don't yet: a read of 100 ms with a target of 300 ms misses it there while the next
// upstream is idle.
TEST_CASE("a request is declined when the VM is slow and the sender has a better upstream")
{
    WorkQueue queue = trainedQueue();
    WorkOffer offer = offerOf(1, 0);
    offer.declineThreshold = Milliseconds(180);
    (void)queue.setSlowdown(400, at(0));
    CHECK(reasonOf(queue.offer(offer, at(0))) == Reason::Declined);
    CHECK(queue.isIdle());
    (void)queue.setSlowdown(100, at(1));
    CHECK(std::holds_alternative<Admitted>(queue.offer(offer, at(1))));
    offer.call = CallId(2);
    offer.declineThreshold = Duration{0};
    (void)queue.setSlowdown(400, at(2));
    CHECK(std::holds_alternative<Queued>(queue.offer(offer, at(2))));
    CHECK(queue.setSlowdown(100, at(3)) == std::vector<CallId>{CallId(2)});
}

// Guards against slots that are occupied by slow work during bursts. A quarter of the VMs is four times slower at any
// time, each for some tenths of a second. A read of 100 ms that starts in a slow period takes 400 ms, even if the
// period ends after 50 ms, and keeps its slot meanwhile.
TEST_CASE("a request starts after a slow period if that is quicker")
{
    WorkQueue queue = trainedQueue();
    (void)queue.setSlowdown(100, at(-50));
    (void)queue.setSlowdown(400, at(0));
    CHECK(std::holds_alternative<Queued>(queue.offer(offerOf(1, 0), at(0))));
    CHECK(queue.needsSlowdownUpdates(at(0)));
    CHECK(queue.setSlowdown(400, at(20)).empty());
    CHECK(queue.setSlowdown(100, at(60)) == std::vector<CallId>{CallId(1)});
    CHECK_FALSE(queue.needsSlowdownUpdates(at(60)));
}

// Guards against requests that wait in vain. An upstream that has just started is slower for seconds, so that a request
// that waits for it to become faster would wait until its deadline.
TEST_CASE("requests do not wait for a VM that stays slow")
{
    WorkQueue queue = trainedQueue();
    (void)queue.setSlowdown(100, at(-50));
    (void)queue.setSlowdown(400, at(0));
    WorkOffer offer = offerOf(1, 0);
    offer.target = at(1800);
    offer.deadline = at(3000);
    REQUIRE(std::holds_alternative<Queued>(queue.offer(offer, at(0))));
    REQUIRE(queue.nextExpiry(at(0)));
    CHECK(*queue.nextExpiry(at(0)) == at(1000));
    CHECK(queue.resume(at(999)).empty());
    CHECK(queue.resume(at(1000)) == std::vector<CallId>{CallId(1)});
    CHECK(std::holds_alternative<Admitted>(queue.offer(offerOf(2, 1100), at(1100))));
}

// A lookup of 20 ms takes 80 ms in a slow period that lasts 200 ms, so it ends before the slow period does.
TEST_CASE("a short request starts during a slow period")
{
    WorkQueue queue;
    (void)queue.setSlots(6, at(-1000));
    REQUIRE(std::holds_alternative<Admitted>(queue.offer(offerOf(999, -500), at(-500))));
    (void)queue.finish(CallId(999), true, at(-480));
    (void)queue.setSlowdown(100, at(-50));
    (void)queue.setSlowdown(400, at(0));
    CHECK(std::holds_alternative<Admitted>(queue.offer(offerOf(1, 0), at(0))));
}

// Guards against waits that only lose time. On some VMs work continues at the baseline speed as soon as a slow
// period ends. The queue has to learn this from the durations of the requests.
TEST_CASE("requests start during slow periods if their speed follows the VM's slowdown")
{
    WorkQueue queue = trainedQueue();
    std::uint64_t call = 0;
    for (int begin = 0; begin < 20'000; begin += 1000) {
        (void)queue.setSlowdown(100, at(begin));
        ++call;
        REQUIRE(std::holds_alternative<Admitted>(queue.offer(offerOf(call, begin), at(begin))));
        // 20 ms of the 100 ms run at the baseline speed, 50 ms in a slow period of 200 ms, the rest after it.
        (void)queue.setSlowdown(400, at(begin + 20));
        (void)queue.setSlowdown(100, at(begin + 220));
        (void)queue.finish(CallId(call), true, at(begin + 250));
    }
    (void)queue.setSlowdown(400, at(20'000));
    CHECK(std::holds_alternative<Admitted>(queue.offer(offerOf(100, 20'000), at(20'000))));
}

// Guards against quick failures that attract requests: an upstream that fails two of five requests answers quickly, and
// looks like a fast one.
TEST_CASE("failures increase the expected time of an upstream")
{
    WorkQueue queue = trainedQueue();
    const Duration healthy = queue.expected(offerOf(1, 0), at(0));
    queue.setFailureShare(0.4);
    CHECK(queue.expected(offerOf(1, 0), at(0)) > 2 * healthy);
    CHECK(queue.report(Read, at(0)).failurePercent == 40);
}

TEST_CASE("a request that can't be served in time is refused at once, with a retry delay")
{
    WorkQueue queue = trainedQueue();
    fill(queue, 0);
    WorkOffer unservable = offerOf(10, 0);
    unservable.deadline = at(120);
    const OfferOutcome outcome = queue.offer(unservable, at(0));
    REQUIRE(reasonOf(outcome) == Reason::Overloaded);
    CHECK(std::get<Refused>(outcome).failure.verdict == Verdict::NotRun);
    CHECK(std::get<Refused>(outcome).failure.retryAfter >= Milliseconds(50));
    CHECK(std::get<Refused>(outcome).failure.retryAfter <= Milliseconds(200));
    CHECK(reasonOf(queue.offer(offerOf(11, -2000), at(0))) == Reason::DeadlinePassed);
}

TEST_CASE("a queued request that can no longer meet its deadline expires and never starts")
{
    WorkQueue queue = trainedQueue();
    fill(queue, 0);
    WorkOffer offer = offerOf(10, 0);
    offer.deadline = at(250);
    REQUIRE(std::holds_alternative<Queued>(queue.offer(offer, at(0))));
    REQUIRE(queue.nextExpiry(at(0)));
    CHECK(*queue.nextExpiry(at(0)) == at(160));
    CHECK(queue.expire(at(155)).empty());
    CHECK(queue.finish(CallId(1), true, at(165)).empty());
    const std::vector<ExpiredCall> expired = queue.expire(at(165));
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().call == CallId(10));
    CHECK(expired.front().failure.verdict == Verdict::NotRun);
    CHECK(queue.queued() == 0);
}

TEST_CASE("the expected time includes the running and the queued requests")
{
    WorkQueue queue = trainedQueue();
    const auto expected = [&queue](int now) {
        // This request goes behind all queued requests because its target is later than theirs.
        WorkOffer last = offerOf(99, now);
        last.target = at(now + 900);
        return std::chrono::duration_cast<Milliseconds>(queue.expected(last, at(now))).count();
    };
    CHECK(expected(0) == 100);
    fill(queue, 0);
    CHECK(expected(0) == 200);
    CHECK(expected(40) == 160);
    for (std::uint64_t call = 10; call < 14; ++call) {
        REQUIRE(std::holds_alternative<Queued>(queue.offer(offerOf(call, 40), at(40))));
    }
    CHECK(expected(40) == 260);
    (void)queue.setSlowdown(200, at(40));
    CHECK(expected(40) > 450);
}

// Guards against slow periods that raise the baseline of a route. Work that starts in a slow period takes four times as
// long. If this counted as the route's baseline, the requests of the next seconds would be declined.
TEST_CASE("slow periods do not change the service time of a route")
{
    WorkQueue queue = trainedQueue();
    (void)queue.setSlowdown(400, at(0));
    for (std::uint64_t call = 1; call <= 20; ++call) {
        const int begin = static_cast<int>(call) * 500;
        WorkOffer offer = offerOf(call, begin);
        REQUIRE(std::holds_alternative<Admitted>(queue.offer(offer, at(begin))));
        (void)queue.finish(CallId(call), true, at(begin + 400));
    }
    const LoadReport report = queue.report(Read, at(20'000));
    CHECK(report.serviceTimeMicroseconds == 100'000);
    CHECK(report.meanServiceMicroseconds == 100'000);
    CHECK(report.slowdownPercent == 400);
    CHECK(queue.expected(offerOf(99, 20'000), at(20'000)) == Milliseconds(400));
}

// Guards against declining an urgent request because of queued calls that start after it. A payment waits for an
// internal check of 20 ms, which starts before the queued reads of its upstream. If the check is judged by the wait of
// the whole queue, one upstream after the other declines it until its payment fails.
TEST_CASE("the expected time of a request includes the queued requests before it, not those behind it")
{
    WorkQueue queue = trainedQueue();
    fill(queue, 0);
    for (std::uint64_t call = 10; call < 18; ++call) {
        REQUIRE(std::holds_alternative<Queued>(queue.offer(offerOf(call, 0, 2), at(0))));
    }
    WorkOffer check = offerOf(20, 0, 1);
    check.declineThreshold = Milliseconds(220);
    CHECK(queue.expected(check, at(0)) == Milliseconds(200));
    CHECK_FALSE(queue.rejection(check, at(0)));
    CHECK(std::holds_alternative<Queued>(queue.offer(check, at(0))));
    CHECK(queue.finish(CallId(1), true, at(30)) == std::vector<CallId>{CallId(20)});
}

// Guards against late refusals and cut-off work under overload. For some seconds, twice as many reads arrive as can be
// served. Reads that have missed their target would wait behind new ones and be refused at their deadline, too late for
// a retry; others would start with a fifth of their time left and be cut off.
TEST_CASE("during a lasting overload late requests are refused early, and none starts too late to end in time")
{
    WorkQueue queue = trainedQueue();
    std::uint64_t call = 100;
    int inTime = 0;
    int refusedLate = 0;
    int startedTooLate = 0;
    std::unordered_map<std::uint64_t, int> arrivals;
    std::vector<std::pair<int, std::uint64_t>> ends;
    const auto begin = [&](std::uint64_t which, int now) {
        ends.emplace_back(now + 100, which);
        inTime += now + 100 <= arrivals[which] + 300 ? 1 : 0;
        startedTooLate += now + 100 > arrivals[which] + 1000 ? 1 : 0;
    };
    const auto refuse = [&](std::uint64_t which, int now) { refusedLate += now - arrivals[which] > 500 ? 1 : 0; };
    for (int now = 0; now < 5000; ++now) {
        for (std::size_t index = 0; index < ends.size();) {
            if (ends[index].first > now) {
                ++index;
                continue;
            }
            const std::uint64_t ended = ends[index].second;
            ends.erase(ends.begin() + static_cast<std::ptrdiff_t>(index));
            for (const CallId started : queue.finish(CallId(ended), true, at(now))) {
                begin(started.value(), now);
            }
        }
        for (const ExpiredCall &expired : queue.expire(at(now))) {
            refuse(expired.call.value(), now);
        }
        // Eighty requests arrive per second, while four slots of 100 ms complete forty.
        if (now % 25 == 0) {
            for (int count = 0; count < 2; ++count) {
                arrivals[++call] = now;
                const OfferOutcome outcome = queue.offer(offerOf(call, now), at(now));
                if (std::holds_alternative<Admitted>(outcome)) {
                    begin(call, now);
                } else if (std::holds_alternative<Refused>(outcome)) {
                    refuse(call, now);
                }
            }
        }
    }
    CHECK(inTime > 170);
    CHECK(refusedLate == 0);
    CHECK(startedTooLate == 0);
}

// Guards against an upstream that looks idle because none of its answers arrives in time. Three upstreams of a service
// work twelve times slower for nine seconds while their VMs are not slowed down. All callers give up before an answer
// arrives, so no answer shows the slowdown, and a third of all reads is late.
TEST_CASE("an upstream that answers nobody in time is left alone, and tried again later")
{
    WorkQueue queue = trainedQueue();
    WorkOffer offer = offerOf(1, 0);
    offer.declineThreshold = Milliseconds(180);
    REQUIRE(std::holds_alternative<Admitted>(queue.offer(offer, at(0))));
    offer = offerOf(2, 100);
    offer.declineThreshold = Milliseconds(180);
    REQUIRE(std::holds_alternative<Admitted>(queue.offer(offer, at(100))));
    // While both requests run, far beyond their expected time.
    offer = offerOf(3, 700);
    offer.declineThreshold = Milliseconds(180);
    CHECK(reasonOf(queue.offer(offer, at(700))) == Reason::Declined);
    CHECK(queue.report(Read, at(700)).slowdownPercent > 200);
    // After both requests were given up.
    (void)queue.finish(CallId(1), false, at(800));
    (void)queue.finish(CallId(2), false, at(900));
    offer = offerOf(4, 950);
    offer.declineThreshold = Milliseconds(180);
    CHECK(reasonOf(queue.offer(offer, at(950))) == Reason::Declined);
    offer = offerOf(5, 8000);
    offer.declineThreshold = Milliseconds(180);
    CHECK(std::holds_alternative<Admitted>(queue.offer(offer, at(8000))));
}

TEST_CASE("a request that is given up early does not change the expected time")
{
    WorkQueue queue = trainedQueue();
    for (std::uint64_t call = 1; call < 10; ++call) {
        REQUIRE(std::holds_alternative<Admitted>(queue.offer(offerOf(call, 0), at(0))));
        (void)queue.finish(CallId(call), false, at(40));
    }
    CHECK(queue.expected(offerOf(20, 50), at(50)) == Milliseconds(100));
}

TEST_CASE("at most as many late requests are queued as can run, and only for a short time")
{
    WorkQueue queue = trainedQueue();
    fill(queue, 0);
    std::uint64_t queued = 0;
    for (std::uint64_t call = 10; call < 30; ++call) {
        WorkOffer late = offerOf(call, 0);
        late.target = at(20);
        queued += std::holds_alternative<Queued>(queue.offer(late, at(0))) ? 1 : 0;
    }
    CHECK(queued == queue.limit());
    REQUIRE(queue.nextExpiry(at(0)));
    CHECK(*queue.nextExpiry(at(0)) <= at(100));
    CHECK(queue.expire(at(100)).size() == queued);
}

TEST_CASE("a cancelled request leaves the queue, but a running one keeps its slot")
{
    WorkQueue queue = trainedQueue();
    fill(queue, 0);
    REQUIRE(std::holds_alternative<Queued>(queue.offer(offerOf(10, 0), at(0))));
    CHECK(queue.cancel(CallId(10)) == CancelOutcome::WasQueued);
    CHECK(queue.cancel(CallId(10)) == CancelOutcome::Unknown);
    CHECK(queue.cancel(CallId(1)) == CancelOutcome::InFlight);
    CHECK(queue.running() == 4);
    CHECK(queue.finish(CallId(77), true, at(1)).empty());
}

// Guards against suspecting an unrelated request. If it runs again together with the request that crashed its upstream,
// the next upstream crashes too, and both requests are suspected.
TEST_CASE("requests that were running when the same upstream disconnected run one at a time")
{
    WorkQueue queue = trainedQueue();
    const auto suspectOffer = [](std::uint64_t call, Duration declineThreshold, const char *upstream = "i-1") {
        WorkOffer offer = offerOf(call, 0);
        offer.disconnectedUpstream = UpstreamName(upstream);
        offer.declineThreshold = declineThreshold;
        return offer;
    };
    CHECK(std::holds_alternative<Admitted>(queue.offer(suspectOffer(1, Milliseconds(250)), at(0))));
    CHECK(std::holds_alternative<Admitted>(queue.offer(offerOf(2, 0), at(0))));
    CHECK(reasonOf(queue.offer(suspectOffer(3, Milliseconds(250)), at(0))) == Reason::Declined);
    // The next two requests can't go to another upstream.
    CHECK(queue.expected(suspectOffer(4, Milliseconds(0)), at(0)) == Milliseconds(200));
    CHECK(std::holds_alternative<Queued>(queue.offer(suspectOffer(4, Milliseconds(0)), at(0))));
    CHECK(std::holds_alternative<Queued>(queue.offer(suspectOffer(5, Milliseconds(0)), at(0))));
    CHECK(queue.finish(CallId(2), true, at(50)).empty());
    CHECK(queue.finish(CallId(1), true, at(100)) == std::vector<CallId>{CallId(4)});
    CHECK(reasonOf(queue.offer(suspectOffer(6, Milliseconds(250)), at(100))) == Reason::Declined);
    CHECK(queue.finish(CallId(4), true, at(200)) == std::vector<CallId>{CallId(5)});
}

// Guards against slow recovery from the loss of an availability zone: the requests that its upstreams were running
// would run one after the other.
TEST_CASE("requests that were running when different upstreams disconnected run concurrently")
{
    WorkQueue queue = trainedQueue();
    for (std::uint64_t call = 1; call <= 3; ++call) {
        WorkOffer offer = offerOf(call, 0);
        offer.disconnectedUpstream = UpstreamName("i-" + std::to_string(call));
        offer.declineThreshold = Milliseconds(250);
        CHECK(std::holds_alternative<Admitted>(queue.offer(offer, at(0))));
    }
}
