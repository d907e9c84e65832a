#include "routing/loadview.h"

#include <catch2/catch.hpp>

#include "routing/waitestimator.h"
#include "testcandidates.h"

using namespace Egretpath;

namespace
{

double expected(const LoadView &view, const char *name, TimePoint now)
{
    return WaitEstimator().expectedMicroseconds(candidateAt(name, "a"), view, now);
}

}

TEST_CASE("each way in which a call ends takes it out of the count")
{
    const UpstreamName upstream{"one"};
    LoadView view;
    for (int call = 0; call < 5; ++call) {
        view.onSent(upstream, Start);
    }
    CHECK(view.find(upstream)->inFlight == 5);
    view.onAnswered(upstream, Milliseconds{5}, reportOf(1), Start);
    view.onErrorAnswer(upstream, std::nullopt, Start);
    view.onRefused(upstream, Reason::Overloaded, Milliseconds{1}, std::nullopt, Start);
    view.onFailed(upstream, Reason::ConnectionLost, Start);
    view.onCancelled(upstream, Start);
    CHECK(view.find(upstream)->inFlight == 0);
    CHECK(view.find(upstream)->answered == 1);
    CHECK(view.find(upstream)->failed == 2);
    CHECK(view.find(upstream)->refused == 1);
}

TEST_CASE("an old report counts less than what the others reported")
{
    LoadView view;
    answerCalls(view, "busy", Milliseconds{5}, reportOf(6), 1);
    answerCalls(view, "other", Milliseconds{5}, reportOf(1), 50);
    const double fresh = expected(view, "busy", Start);
    const double old = expected(view, "busy", Start + std::chrono::seconds{1});
    CHECK(fresh > old);
    CHECK(old == Approx(expected(view, "never-seen", Start + std::chrono::seconds{1})));
}

TEST_CASE("a lying report loses to slow answers")
{
    // Calls to one upstream take fifty milliseconds, callers wait. Each of its reports says that it is
    // idle and answers within a tenth of a millisecond, because its load endpoint is broken.
    LoadView view;
    answerCalls(view, "honest", Milliseconds{5}, reportOf(4, 5000), 50);
    answerCalls(view, "liar", Milliseconds{50}, reportOf(0, 100), 10);
    CHECK(expected(view, "liar", Start) > 2 * expected(view, "honest", Start));
}

TEST_CASE("a lying report loses to calls that do not come back")
{
    // An upstream stalls: the last it said is that it is idle. Calls sent there hang, and no further
    // report comes, since reports ride on answers.
    LoadView view;
    answerCalls(view, "honest", Milliseconds{5}, reportOf(4), 50);
    answerCalls(view, "stalled", Milliseconds{5}, reportOf(0, 100), 10);
    CHECK(expected(view, "stalled", Start) < expected(view, "honest", Start));
    view.onSent(UpstreamName{"stalled"}, Start);
    const TimePoint later = Start + Milliseconds{60};
    CHECK(expected(view, "stalled", later) > 2 * expected(view, "honest", later));
}

TEST_CASE("quick errors make an upstream look worse, not better")
{
    // An upstream fails within a fifth of a millisecond, so it is always idle. A rule that counts calls in
    // flight would send it more and more work, and callers would see mostly errors.
    LoadView view;
    answerCalls(view, "healthy", Milliseconds{5}, reportOf(5), 20);
    for (int call = 0; call < 3; ++call) {
        view.onSent(UpstreamName{"failing"}, Start);
        view.onErrorAnswer(UpstreamName{"failing"}, reportOf(0, 200), Start);
    }
    CHECK(expected(view, "failing", Start) > 10 * expected(view, "healthy", Start));
    CHECK_FALSE(view.find(UpstreamName{"failing"})->hasLatency);
    const TimePoint minuteLater = Start + std::chrono::minutes{1};
    CHECK(expected(view, "failing", minuteLater) < 2 * expected(view, "healthy", minuteLater));
}

TEST_CASE("a report is asked for only when the last one is old")
{
    const UpstreamName upstream{"one"};
    LoadView view;
    CHECK(view.wantsReport(upstream, Start));
    answerCalls(view, "one", Milliseconds{5}, reportOf(1), 1);
    CHECK_FALSE(view.wantsReport(upstream, Start + Milliseconds{99}));
    view.onSent(upstream, Start);
    view.onAnswered(upstream, Milliseconds{5}, std::nullopt, Start + Milliseconds{50});
    CHECK(view.wantsReport(upstream, Start + Milliseconds{100}));
    view.onReplaced(upstream, Incarnation{1}, Start);
    view.onReplaced(upstream, Incarnation{2}, Start);
    CHECK(view.wantsReport(upstream, Start));
}

TEST_CASE("a refusal holds new calls back within its bounds")
{
    const UpstreamName upstream{"one"};
    LoadView view;
    const auto holdAfter = [&](Reason reason, Milliseconds retryAfter) {
        view.onSent(upstream, Start);
        view.onRefused(upstream, reason, retryAfter, std::nullopt, Start);
        return view.find(upstream)->refusedUntil - Start;
    };
    CHECK(holdAfter(Reason::Overloaded, Milliseconds{20}) == Milliseconds{20});
    CHECK(holdAfter(Reason::Overloaded, Milliseconds{0}) == LoadViewSettings{}.refusalHoldMinimum);
    CHECK(holdAfter(Reason::Overloaded, Milliseconds{60000}) == LoadViewSettings{}.refusalHoldMaximum);
    answerCalls(view, "one", Milliseconds{5}, reportOf(1), 1);
    CHECK(holdAfter(Reason::KeyInUse, Milliseconds{100}) == Milliseconds{0});
}

TEST_CASE("a replaced upstream starts from nothing, and late events of the old one do no harm")
{
    // A VM is replaced at the same address while calls are in flight. Their failures come in after the new
    // incarnation is known; the count of calls in flight must not wrap round.
    const UpstreamName upstream{"one"};
    LoadView view;
    view.onReplaced(upstream, Incarnation{1}, Start);
    answerCalls(view, "one", Milliseconds{50}, reportOf(6, 50000), 10);
    view.onSent(upstream, Start);
    view.onReplaced(upstream, Incarnation{2}, Start);
    CHECK(view.find(upstream)->warmingUp);
    CHECK_FALSE(view.find(upstream)->hasLatency);
    view.onFailed(upstream, Reason::ConnectionLost, Start);
    CHECK(view.find(upstream)->inFlight == 0);
}

TEST_CASE("learning the incarnation of a known upstream is no replacement")
{
    LoadView view;
    answerCalls(view, "one", Milliseconds{5}, reportOf(1), 1);
    view.onReplaced(UpstreamName{"one"}, Incarnation{7}, Start);
    CHECK_FALSE(view.find(UpstreamName{"one"})->warmingUp);
    CHECK(view.find(UpstreamName{"one"})->answered == 1);
    view.forget(UpstreamName{"one"});
    CHECK(view.size() == 0);
}
