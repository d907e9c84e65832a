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

/// A request that comes at @p now, wants its answer in 300 ms and is given up after a second.
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

/// A queue with six slots that knows a read to take 100 ms.
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

// Six slots, all taken: the upstream slows itself when it is four fifths full, and each request takes 1.7 times as
// long. Six at once finish 3.5 in the time of one request, four finish four.
TEST_CASE("the upstream is kept below the fill from which it slows itself")
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

// A burst doubles the load for some seconds. In the order of arrival a payment that came late was late itself, behind
// reads that had missed their target long before.
TEST_CASE("what can still meet its target comes first, by rank, then the rest")
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

// A VM turns four times slower for some tenths of a second. Its node knows, the senders don't yet: a read of 100 ms
// with a target of 300 ms was lost there while the next upstream stood idle.
TEST_CASE("a request goes elsewhere when the VM is slow now and the sender knows a better place")
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

// A quarter of the VMs is four times slower at a time, each for some tenths of a second. A read of 100 ms that began in
// such a spell took 400 ms to its end, also when the spell was over after 50 ms, and kept its slot meanwhile: in bursts
// the slots were taken by work that had begun at the wrong moment.
TEST_CASE("work begins after a slow spell if that is quicker")
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

// An upstream that has just started is slower for seconds. Work that waited for it to be quicker would have waited for
// its whole time.
TEST_CASE("work does not wait for a VM that stays slow")
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

// A lookup of 20 ms takes 80 ms in a slow spell that lasts 200 ms: it is done before the spell is over.
TEST_CASE("short work begins in a slow spell")
{
    WorkQueue queue;
    (void)queue.setSlots(6, at(-1000));
    REQUIRE(std::holds_alternative<Admitted>(queue.offer(offerOf(999, -500), at(-500))));
    (void)queue.finish(CallId(999), true, at(-480));
    (void)queue.setSlowdown(100, at(-50));
    (void)queue.setSlowdown(400, at(0));
    CHECK(std::holds_alternative<Admitted>(queue.offer(offerOf(1, 0), at(0))));
}

// On other VMs work goes on at the usual pace as soon as a slow spell is over. What was learned from it must show that
// waiting for the end of a spell only loses time there.
TEST_CASE("work begins in slow spells where it changes its pace with the VM")
{
    WorkQueue queue = trainedQueue();
    std::uint64_t call = 0;
    for (int begin = 0; begin < 20'000; begin += 1000) {
        (void)queue.setSlowdown(100, at(begin));
        ++call;
        REQUIRE(std::holds_alternative<Admitted>(queue.offer(offerOf(call, begin), at(begin))));
        // 20 ms of its 100 at the usual pace, 50 in a spell of 200 ms, the rest after it.
        (void)queue.setSlowdown(400, at(begin + 20));
        (void)queue.setSlowdown(100, at(begin + 220));
        (void)queue.finish(CallId(call), true, at(begin + 250));
    }
    (void)queue.setSlowdown(400, at(20'000));
    CHECK(std::holds_alternative<Admitted>(queue.offer(offerOf(100, 20'000), at(20'000))));
}

// An upstream that fails two of five requests answers quickly, and quick answers drew more requests to it.
TEST_CASE("an upstream that fails is taken for a slow one")
{
    WorkQueue queue = trainedQueue();
    const Duration sound = queue.expected(offerOf(1, 0), at(0));
    queue.setFailureShare(0.4);
    CHECK(queue.expected(offerOf(1, 0), at(0)) > 2 * sound);
    CHECK(queue.report(Read, at(0)).failurePercent == 40);
}

TEST_CASE("a request that can't be served in time is refused at once, with a time to come back")
{
    WorkQueue queue = trainedQueue();
    fill(queue, 0);
    WorkOffer hopeless = offerOf(10, 0);
    hopeless.deadline = at(120);
    const OfferOutcome outcome = queue.offer(hopeless, at(0));
    REQUIRE(reasonOf(outcome) == Reason::Overloaded);
    CHECK(std::get<Refused>(outcome).failure.verdict == Verdict::NotRun);
    CHECK(std::get<Refused>(outcome).failure.retryAfter >= Milliseconds(50));
    CHECK(std::get<Refused>(outcome).failure.retryAfter <= Milliseconds(200));
    CHECK(reasonOf(queue.offer(offerOf(11, -2000), at(0))) == Reason::DeadlinePassed);
}

TEST_CASE("a queued request that became hopeless is handed back, and never started")
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

TEST_CASE("the expected time counts the work under way and the work that waits")
{
    WorkQueue queue = trainedQueue();
    const auto expected = [&queue](int now) {
        // Behind all that waits: its target is later than theirs.
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

// Work that began in a slow spell took four times as long. Taken for the usual time of its route it would have turned
// the requests of the next seconds away.
TEST_CASE("slow spells are not taken for longer work")
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

// A payment waits for an internal check of 20 ms. The check goes before the reads that wait at its upstream, but was
// told their whole wait, found that too long, and was turned away from one upstream after the other until its payment
// failed.
TEST_CASE("a request is told the wait of those before it, not of those behind it")
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

// For some seconds twice as many reads come as can be served. Those that missed their target waited on behind the new
// ones, up to their deadline, and were refused then, when it was too late to come back; others were begun with a fifth
// of their time left and cut.
TEST_CASE("under a lasting overload late requests are refused early, and none is begun in vain")
{
    WorkQueue queue = trainedQueue();
    std::uint64_t call = 100;
    int inTime = 0;
    int heldLong = 0;
    int begunInVain = 0;
    std::unordered_map<std::uint64_t, int> arrivals;
    std::vector<std::pair<int, std::uint64_t>> ends;
    const auto begin = [&](std::uint64_t which, int now) {
        ends.emplace_back(now + 100, which);
        inTime += now + 100 <= arrivals[which] + 300 ? 1 : 0;
        begunInVain += now + 100 > arrivals[which] + 1000 ? 1 : 0;
    };
    const auto refuse = [&](std::uint64_t which, int now) { heldLong += now - arrivals[which] > 500 ? 1 : 0; };
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
        // Eighty a second, where four slots of 100 ms finish forty.
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
    CHECK(heldLong == 0);
    CHECK(begunInVain == 0);
}

// Three upstreams of a service work twelve times slower for nine seconds, their VMs at their usual pace. No request
// there ended before its caller gave up, so that no answer told how long it takes: they looked idle, and a third of all
// reads was late.
TEST_CASE("an upstream that answers nobody in time is left alone, and tried again later")
{
    WorkQueue queue = trainedQueue();
    WorkOffer offer = offerOf(1, 0);
    offer.declineThreshold = Milliseconds(180);
    REQUIRE(std::holds_alternative<Admitted>(queue.offer(offer, at(0))));
    offer = offerOf(2, 100);
    offer.declineThreshold = Milliseconds(180);
    REQUIRE(std::holds_alternative<Admitted>(queue.offer(offer, at(100))));
    // While they run: far beyond their usual time.
    offer = offerOf(3, 700);
    offer.declineThreshold = Milliseconds(180);
    CHECK(reasonOf(queue.offer(offer, at(700))) == Reason::Declined);
    CHECK(queue.report(Read, at(700)).slowdownPercent > 200);
    // And after both were given up.
    (void)queue.finish(CallId(1), false, at(800));
    (void)queue.finish(CallId(2), false, at(900));
    offer = offerOf(4, 950);
    offer.declineThreshold = Milliseconds(180);
    CHECK(reasonOf(queue.offer(offer, at(950))) == Reason::Declined);
    offer = offerOf(5, 8000);
    offer.declineThreshold = Milliseconds(180);
    CHECK(std::holds_alternative<Admitted>(queue.offer(offer, at(8000))));
}

TEST_CASE("a caller that gives up early says nothing of the upstream")
{
    WorkQueue queue = trainedQueue();
    for (std::uint64_t call = 1; call < 10; ++call) {
        REQUIRE(std::holds_alternative<Admitted>(queue.offer(offerOf(call, 0), at(0))));
        (void)queue.finish(CallId(call), false, at(40));
    }
    CHECK(queue.expected(offerOf(20, 50), at(50)) == Milliseconds(100));
}

TEST_CASE("as many late requests wait as run at a time, and none for long")
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

TEST_CASE("a cancelled request leaves the queue; one at the upstream keeps its slot")
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

// Guards against a bystander that meets the request that ended its upstream at the next one, and is accused with it.
TEST_CASE("of the requests that the same upstream broke off with, one at a time is at the upstream")
{
    WorkQueue queue = trainedQueue();
    const auto brokenOff = [](std::uint64_t call, Duration declineThreshold, const char *upstream = "i-1") {
        WorkOffer offer = offerOf(call, 0);
        offer.disconnectedUpstream = UpstreamName(upstream);
        offer.declineThreshold = declineThreshold;
        return offer;
    };
    CHECK(std::holds_alternative<Admitted>(queue.offer(brokenOff(1, Milliseconds(250)), at(0))));
    CHECK(std::holds_alternative<Admitted>(queue.offer(offerOf(2, 0), at(0))));
    CHECK(reasonOf(queue.offer(brokenOff(3, Milliseconds(250)), at(0))) == Reason::Declined);
    // Nobody else takes these two.
    CHECK(queue.expected(brokenOff(4, Milliseconds(0)), at(0)) == Milliseconds(200));
    CHECK(std::holds_alternative<Queued>(queue.offer(brokenOff(4, Milliseconds(0)), at(0))));
    CHECK(std::holds_alternative<Queued>(queue.offer(brokenOff(5, Milliseconds(0)), at(0))));
    CHECK(queue.finish(CallId(2), true, at(50)).empty());
    CHECK(queue.finish(CallId(1), true, at(100)) == std::vector<CallId>{CallId(4)});
    CHECK(reasonOf(queue.offer(brokenOff(6, Milliseconds(250)), at(100))) == Reason::Declined);
    CHECK(queue.finish(CallId(4), true, at(200)) == std::vector<CallId>{CallId(5)});
}

// Guards against an availability zone that is lost: what its upstreams held would be served one after the other.
TEST_CASE("requests that different upstreams broke off with run side by side")
{
    WorkQueue queue = trainedQueue();
    for (std::uint64_t call = 1; call <= 3; ++call) {
        WorkOffer offer = offerOf(call, 0);
        offer.disconnectedUpstream = UpstreamName("i-" + std::to_string(call));
        offer.declineThreshold = Milliseconds(250);
        CHECK(std::holds_alternative<Admitted>(queue.offer(offer, at(0))));
    }
}
