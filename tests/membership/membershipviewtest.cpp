#include "membership/membershipview.h"

#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Egretpath;

namespace
{

const UpstreamName Ledger("ledger-1");
const Incarnation First(101);
const Incarnation Second(102);
const Incarnation Third(103);

TimePoint at(int milliseconds)
{
    return TimePoint{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

VmList listWith(std::uint64_t version, VmState state)
{
    return {version,
            {{Ledger, ServiceName("ledger"), Location{RegionName("mazowsze"), ZoneName("a")}, Endpoint("10.0.0.1:7"),
              state}}};
}

MembershipView listedView()
{
    MembershipView view;
    view.applyList(listWith(1, VmState::Live), at(0));
    return view;
}

Standing standingAt(const MembershipView &view, int milliseconds)
{
    return view.instance(Ledger, at(milliseconds))->standing;
}

MembershipNotice noticeOf(Incarnation incarnation, VmState state, int age)
{
    return {Ledger, incarnation, state, Milliseconds(age), SpreadScope::Zone};
}

}

TEST_CASE("an instance goes from unknown over eligible and suspect back to unknown")
{
    MembershipView view = listedView();
    CHECK(standingAt(view, 0) == Standing::Unknown);
    view.answered(Ledger, First, at(0), at(10));
    CHECK(standingAt(view, 10) == Standing::Eligible);
    view.connectFailed(Ledger, at(20));
    CHECK(standingAt(view, 21) == Standing::Suspect);
    CHECK(standingAt(view, 220) == Standing::Unknown);
    view.connectFailed(Ledger, at(230));
    CHECK(standingAt(view, 620) == Standing::Suspect);
    view.answered(Ledger, First, at(630), at(640));
    CHECK(standingAt(view, 640) == Standing::Eligible);
    CHECK(view.instances(ServiceName("ledger"), at(640)).size() == 1);
    CHECK(view.instances(ServiceName("board"), at(640)).empty());
}

// Story: callers of a service see a delay on each call after a VM left. The list still shows the VM, so calls go
// to it and are refused as draining, again and again. Cause: the lagging list believed before the refusal.
TEST_CASE("a draining refusal goes before the list that still shows the VM as live")
{
    MembershipView view = listedView();
    view.refusedDraining(Ledger, First, at(0), at(5));
    view.applyList(listWith(2, VmState::Live), at(1'000));
    CHECK(standingAt(view, 1'000) == Standing::Leaving);
}

// Story: a fresh VM at the address of one that left gets no calls for minutes. It started, answered, and then a
// leaving notice about the former run arrived over slow hops. Cause: a notice matched by address alone.
TEST_CASE("a late leaving notice about a former incarnation does not touch its replacement")
{
    MembershipView view = listedView();
    view.answered(Ledger, First, at(0), at(5));
    view.answered(Ledger, Second, at(10'000), at(10'005));
    CHECK_FALSE(view.noticeReceived(noticeOf(First, VmState::Leaving, 9'000), at(10'010)));
    CHECK_FALSE(view.noticeReceived(noticeOf(Third, VmState::Leaving, 9'000), at(10'010)));
    CHECK(standingAt(view, 10'010) == Standing::Eligible);
    CHECK(view.incarnationOf(Ledger) == Second);
}

// Story: a VM is replaced while its callers hold it for leaving; nobody calls it, so nobody learns that it is new.
// Cause: evidence without an end, and only calls would have ended it.
TEST_CASE("a replacement's own notice, the list, or time ends the leaving of the former incarnation")
{
    MembershipView view = listedView();
    view.refusedDraining(Ledger, First, at(0), at(5));
    SECTION("its notice")
    {
        CHECK(view.noticeReceived(noticeOf(Second, VmState::Live, 0), at(5'000)));
        CHECK(standingAt(view, 5'000) == Standing::Eligible);
    }
    SECTION("the list that showed the leaving one and then a live one")
    {
        view.applyList(listWith(2, VmState::Leaving), at(1'000));
        view.applyList(listWith(3, VmState::Live), at(2'000));
        CHECK(standingAt(view, 2'000) == Standing::Unknown);
        CHECK_FALSE(view.noticeReceived(noticeOf(First, VmState::Leaving, 2'000), at(2'100)));
    }
    SECTION("time")
    {
        CHECK(standingAt(view, 120'006) == Standing::Unknown);
    }
}

TEST_CASE("an answer of the former incarnation that waited in a buffer is not taken for a third one's")
{
    MembershipView view = listedView();
    view.answered(Ledger, First, at(0), at(5));
    view.answered(Ledger, Second, at(20), at(25));
    view.answered(Ledger, First, at(10), at(30));
    CHECK(view.incarnationOf(Ledger) == Second);
}

TEST_CASE("a wrong notice about the incarnation is set right by the next answer")
{
    MembershipView view = listedView();
    view.answered(Ledger, Second, at(0), at(5));
    CHECK(view.noticeReceived(noticeOf(First, VmState::Live, 0), at(5'000)));
    view.answered(Ledger, Second, at(5'010), at(5'015));
    CHECK(view.incarnationOf(Ledger) == Second);
}

TEST_CASE("the list's leaving holds for VMs that were not seen lately")
{
    MembershipView view = listedView();
    view.answered(Ledger, First, at(0), at(5));
    view.applyList(listWith(2, VmState::Leaving), at(1'000));
    CHECK(standingAt(view, 1'000) == Standing::Eligible);
    CHECK(standingAt(view, 31'000) == Standing::Leaving);
}

TEST_CASE("an older list is not taken back")
{
    MembershipView view = listedView();
    CHECK(view.applyList(listWith(5, VmState::Leaving), at(10)));
    CHECK_FALSE(view.applyList(listWith(4, VmState::Live), at(20)));
    CHECK_FALSE(view.applyList(listWith(5, VmState::Live), at(20)));
    CHECK(view.listVersion() == 5);
}

TEST_CASE("each piece of news is passed on in a bounded number of rounds, with its age")
{
    MembershipView view = listedView();
    CHECK(view.noticeReceived(noticeOf(First, VmState::Leaving, 100), at(0)));
    CHECK_FALSE(view.noticeReceived(noticeOf(First, VmState::Leaving, 50), at(0)));
    int rounds = 0;
    while (view.hasNotices()) {
        const std::vector<DueNotice> due = view.noticesToSend(10, at(250 * rounds));
        REQUIRE(due.size() == 1);
        CHECK(due.front().notice.age == Milliseconds(100 + 250 * rounds));
        ++rounds;
    }
    CHECK(rounds == MembershipSettings{}.noticeRounds);
}

namespace
{

/// What truly happened at one address: incarnation k (from 1) started and later began to leave.
struct TrueRun
{
    int startedAt;
    int leavingAt;
};

std::vector<TrueRun> arbitraryRuns()
{
    std::vector<TrueRun> runs;
    int time = 0;
    for (int run = 0; run < 6; ++run) {
        const int startedAt = time + *rc::gen::inRange(100, 8'000);
        const int leavingAt = startedAt + *rc::gen::inRange(100, 8'000);
        runs.push_back({startedAt, leavingAt});
        time = leavingAt;
    }
    return runs;
}

void applyArbitraryEvent(MembershipView &view, const std::vector<TrueRun> &runs, int now)
{
    const auto started =
        std::count_if(runs.begin(), runs.end(), [&](const TrueRun &run) { return run.startedAt <= now; });
    if (started == 0) {
        return;
    }
    const TrueRun &current = runs[started - 1];
    const bool isLeaving = current.leavingAt <= now;
    const Incarnation running(static_cast<std::uint64_t>(started));
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        isLeaving ? view.refusedDraining(Ledger, running, at(now), at(now))
                  : view.answered(Ledger, running, at(now), at(now));
        return;
    case 1:
        view.connectFailed(Ledger, at(now));
        return;
    default:
        break;
    }
    // News of any run so far, old or new, whose age misses up to 1.5 s that it spent on the wire.
    const auto told = *rc::gen::inRange<std::ptrdiff_t>(0, started);
    const bool saysLeaving = runs[told].leavingAt <= now && *rc::gen::arbitrary<bool>();
    const int age = now - (saysLeaving ? runs[told].leavingAt : runs[told].startedAt);
    const int missing = *rc::gen::inRange(0, std::min(age, 1'500) + 1);
    view.noticeReceived(MembershipNotice{Ledger, Incarnation(static_cast<std::uint64_t>(told + 1)),
                                         saysLeaving ? VmState::Leaving : VmState::Live, Milliseconds(age - missing)},
                        at(now));
}

}

// Story: work goes to a run of a node that is gone, or a good VM is left out. Late and repeated news about former
// runs arrive between truthful observations. Cause: news applied in the order of arrival.
TEST_CASE("no order of late news brings a former incarnation back or makes a live one leave")
{
    CHECK(rc::check("incarnations only advance, and only a leaving one is held for leaving", [] {
        const std::vector<TrueRun> runs = arbitraryRuns();
        MembershipView view = listedView();
        std::uint64_t newest = 0;
        for (int now = 0; now < 60'000; now += *rc::gen::inRange(1, 2'000)) {
            applyArbitraryEvent(view, runs, now);
            const std::uint64_t believed = view.incarnationOf(Ledger).value();
            RC_ASSERT(believed >= newest);
            newest = believed;
            if (standingAt(view, now) == Standing::Leaving) {
                RC_ASSERT(believed > 0);
                RC_ASSERT(runs[believed - 1].leavingAt <= now);
            }
        }
    }));
}
