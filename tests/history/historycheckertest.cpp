#include <sstream>

#include <catch2/catch.hpp>

#include "history/historychecker.h"
#include "history/historyformat.h"

using namespace Egretpath;

namespace
{

const NodeIdentity Ingress{UpstreamName("statements-9"), Incarnation(9)};
const NodeIdentity Upstream{UpstreamName("arrangements-1"), Incarnation(1)};
const NodeIdentity OtherUpstream{UpstreamName("arrangements-2"), Incarnation(2)};
const BodySummary Answer{Bytes(7), digestOf("receipt")};
constexpr std::int64_t Second = 1'000'000;

/// Builds histories line by line; times are in microseconds.
class Script
{
public:
    Script &add(HistoryRecord record)
    {
        const std::string text = toJsonLine(record);
        lines_.push_back(HistoryLine{std::move(record), "script", lines_.size() + 1, text});
        return *this;
    }

    Script &invoke(const char *request, std::int64_t time, const char *key = "", bool repeatable = false)
    {
        return add(InvocationRecord{RequestId(request),
                                    HistoryKey(key),
                                    ServiceName("arrangements"),
                                    repeatable,
                                    Ingress,
                                    {},
                                    HistoryTime(time)});
    }

    Script &start(const char *request, std::int64_t time, const char *key = "", const NodeIdentity &at = Upstream)
    {
        return add(RunStartedRecord{RequestId(request), HistoryKey(key), at, std::nullopt, HistoryTime(time)});
    }

    Script &finish(const char *request, std::int64_t time, const NodeIdentity &at = Upstream)
    {
        return add(RunFinishedRecord{RequestId(request), at, 200, Answer, HistoryTime(time)});
    }

    Script &answer(const char *request, std::int64_t time, const char *echo, const BodySummary &body = Answer)
    {
        return add(OutcomeRecord{RequestId(request), Verdict::Answered, "", 200, body, RequestId(echo), false,
                                 HistoryTime(time)});
    }

    Script &fail(const char *request, std::int64_t time, Verdict verdict, const char *reason = "", bool cut = false)
    {
        return add(OutcomeRecord{RequestId(request), verdict, reason, 503, {}, {}, cut, HistoryTime(time)});
    }

    Script &status(std::int64_t time, std::uint64_t table, std::uint64_t bytes = 0, const char *content = "table",
                   const NodeIdentity &node = Ingress)
    {
        return add(StatusRecord{node, TableNumber(table), digestOf(content + std::to_string(table)), Bytes(bytes),
                                HistoryTime(time)});
    }

    Script &accept(std::int64_t time, std::uint64_t table)
    {
        return add(
            TableAcceptedRecord{TableNumber(table), digestOf("table" + std::to_string(table)), HistoryTime(time)});
    }

    Script &stop(const NodeIdentity &node, std::int64_t ordered, std::int64_t gone)
    {
        return add(PlannedStopRecord{node, HistoryTime(ordered), HistoryTime(gone)});
    }

    [[nodiscard]] HistoryReport check(const HistoryBounds &bounds = {}) const
    {
        return HistoryChecker(bounds).check(lines_);
    }

private:
    std::vector<HistoryLine> lines_;
};

void checkClean(const Script &script)
{
    std::ostringstream text;
    const HistoryReport report = script.check();
    text << report;
    INFO(text.str());
    CHECK(report.violations.empty());
}

void checkBroken(const Script &script, HistoryRule rule)
{
    std::ostringstream text;
    const HistoryReport report = script.check();
    text << report;
    INFO(text.str());
    REQUIRE(report.violations.size() == 1);
    CHECK(report.violations.front().rule == rule);
    CHECK_FALSE(report.violations.front().evidence.empty());
}

/// One request with a key that ran and was answered.
Script answered()
{
    return Script().invoke("r1", 1, "k").start("r1", 2, "k").finish("r1", 3).answer("r1", 4, "r1");
}

}

TEST_CASE("a not-run request must have no run, before or after the verdict")
{
    constexpr HistoryRule Rule = HistoryRule::NotRunIsTrue;
    checkClean(Script().invoke("r1", 1).fail("r1", 2, Verdict::NotRun));
    checkClean(Script().invoke("r1", 1).start("r1", 2).fail("r1", 3, Verdict::MayHaveRun));
    checkBroken(Script().invoke("r1", 1).start("r1", 2).fail("r1", 3, Verdict::NotRun), Rule);
    checkBroken(Script().invoke("r1", 1).fail("r1", 2, Verdict::NotRun).start("r1", 9), Rule);
}

TEST_CASE("a not-run verdict denies runs of its key from before the request, not later ones")
{
    checkBroken(answered().invoke("r2", 5, "k").fail("r2", 6, Verdict::NotRun), HistoryRule::NotRunIsTrue);
    checkClean(answered().invoke("r2", 5, "other").fail("r2", 6, Verdict::NotRun));
    const Script later =
        Script().invoke("r2", 0, "k").fail("r2", 1, Verdict::NotRun).invoke("r1", 2, "k").start("r1", 3, "k");
    checkClean(later);
    HistoryBounds retiring;
    retiring.refusedKeysRetire = true;
    CHECK(later.check(retiring).violations.size() == 1);
    checkClean(Script().invoke("r1", 0).start("r1", 1).invoke("r2", 2).fail("r2", 3, Verdict::NotRun));
}

TEST_CASE("a caller that could not connect may send its key to another node")
{
    // A node is killed. A caller cannot connect to it, knows by itself that nothing ran, and sends its payment with the
    // same key to the next node, where it runs. Or the key ran before, its answer was lost with the node, and the
    // caller found out by asking again. No node refused the key, so none denied its runs.
    HistoryBounds retiring;
    retiring.refusedKeysRetire = true;
    const Script unreached = Script().invoke("r1", 0, "k").fail("r1", 1, Verdict::NotRun, "connect-failed", true);
    CHECK(Script(unreached).invoke("r2", 2, "k").start("r2", 3, "k").check(retiring).violations.empty());
    const Script early = Script().start("r2", 0, "k").invoke("r1", 1, "k");
    CHECK(Script(early).fail("r1", 2, Verdict::NotRun, "connect-failed", true).check(retiring).violations.empty());
    CHECK(Script(early).fail("r1", 2, Verdict::NotRun, "no-table").check(retiring).violations.size() == 1);
    CHECK(Script(unreached).start("r1", 2, "k").check(retiring).violations.size() == 1);
    const Script both = Script(unreached).invoke("r2", 2, "k").fail("r2", 3, Verdict::NotRun);
    CHECK(Script(both).invoke("r3", 4, "k").start("r3", 5, "k").check(retiring).violations.size() == 1);
}

TEST_CASE("a request or key that may not be repeated runs once")
{
    checkClean(answered().invoke("r2", 5, "k2").start("r2", 6, "k2", OtherUpstream));
    checkClean(Script().invoke("r1", 1, "", true).start("r1", 2).start("r1", 3, "", OtherUpstream));
    checkBroken(Script().invoke("r1", 1).start("r1", 2).start("r1", 3, "", OtherUpstream), HistoryRule::RanOnce);
    checkBroken(answered().invoke("r2", 5, "k").start("r2", 6, "k", OtherUpstream), HistoryRule::RanOnce);
    checkBroken(Script().start("r1", 2, "k").start("r2", 3, "k"), HistoryRule::RanOnce);
}

TEST_CASE("an answer is whole and its request's own")
{
    constexpr HistoryRule Rule = HistoryRule::AnswerIsWholeAndOwn;
    checkClean(answered());
    const Script ran = Script().invoke("r1", 1).start("r1", 2).finish("r1", 3);
    checkBroken(Script(ran).answer("r1", 4, "r1", {Bytes(3), digestOf("rec")}), Rule);
    checkBroken(Script(ran).answer("r1", 4, ""), Rule);
    checkBroken(Script().invoke("r1", 1).start("r1", 2).answer("r1", 4, "r1"), Rule);
    checkBroken(Script(ran).invoke("r2", 4).answer("r2", 5, "r1"), Rule);
    const OutcomeRecord shed{RequestId("r1"), Verdict::Answered, "", 503, Answer, {}, false, HistoryTime(2)};
    checkClean(Script().invoke("r1", 1).add(shed));
    CHECK(Script().invoke("r1", 1).add(shed).check().uncheckedAnswers == 1);
}

TEST_CASE("an answer repeated from memory names the request that ran under the same key")
{
    checkClean(answered().invoke("r2", 5, "k").answer("r2", 6, "r1"));
    checkBroken(answered().invoke("r2", 5, "k2").answer("r2", 6, "r1"), HistoryRule::AnswerIsWholeAndOwn);
}

TEST_CASE("no run starts long after its upstream began to leave")
{
    const auto run = [](std::int64_t time) {
        return Script().add(RunStartedRecord{RequestId("r"), {}, Upstream, HistoryTime(0), HistoryTime(time)});
    };
    checkClean(run(3 * Second));
    checkBroken(run(3 * Second + 1), HistoryRule::NoWorkAfterLeaving);
}

TEST_CASE("a planned stop cuts no run, no answer and no caller")
{
    constexpr HistoryRule Rule = HistoryRule::StopCutsNothing;
    checkClean(answered().stop(Upstream, 2, 5));
    checkBroken(Script().invoke("r1", 1).start("r1", 2).stop(Upstream, 3, 5), Rule);
    checkClean(Script().invoke("r1", 1).start("r1", 2).stop(OtherUpstream, 3, 5));
    const Script cancelled =
        Script().invoke("r1", 1).start("r1", 2).fail("r1", 4, Verdict::MayHaveRun, "deadline-passed");
    checkClean(Script(cancelled).stop(Upstream, 3, 5));
    checkBroken(Script().invoke("r1", 1).start("r1", 2).stop({Upstream.upstream, Incarnation(0)}, 3, 5), Rule);
    const NodeIdentity node{Upstream.upstream, Incarnation(77)};
    const Script lost = Script().invoke("r1", 1).start("r1", 2).finish("r1", 4);
    checkBroken(Script(lost).fail("r1", 5, Verdict::MayHaveRun, "connection-lost").stop(node, 3, 5), Rule);
    checkClean(Script(lost).fail("r1", 5, Verdict::MayHaveRun, "connection-lost").stop(node, 6, 7));
    checkClean(Script(lost).fail("r1", 5, Verdict::MayHaveRun, "deadline-passed").stop(node, 3, 5));
    checkBroken(Script().invoke("r1", 1).fail("r1", 4, Verdict::MayHaveRun, "", true).stop(Ingress, 3, 5), Rule);
    checkClean(Script().invoke("r1", 1).fail("r1", 4, Verdict::MayHaveRun, "", true).stop(Upstream, 3, 5));
    checkClean(Script().invoke("r1", 4).fail("r1", 4, Verdict::NotRun, "connect-failed", true).stop(Ingress, 3, 5));
}

TEST_CASE("the table in force never falls, and one number has one content")
{
    constexpr HistoryRule Rule = HistoryRule::TableNeverFalls;
    checkClean(Script().status(1, 0).status(2, 5).status(3, 5).status(4, 6));
    checkBroken(Script().status(1, 5).status(2, 4), Rule);
    checkBroken(Script().status(1, 5).status(2, 0), Rule);
    checkBroken(Script().status(1, 5).status(2, 5, 0, "other", Upstream), Rule);
    checkBroken(Script().accept(1, 5).status(2, 5, 0, "other"), Rule);
}

TEST_CASE("of two tables accepted under one number, the larger digest is in force everywhere within the bound")
{
    // Two operators publish other rows under one number, half a second apart. A node that read the first one in
    // between shows it for a moment. From then on all show the same one, and none goes back.
    const TableAcceptedRecord left{TableNumber(5), {1, 1}, HistoryTime(0)};
    const TableAcceptedRecord right{TableNumber(5), {2, 2}, HistoryTime(1)};
    const Script race = Script().add(left).add(right);
    const auto show = [](const TableAcceptedRecord &table, std::int64_t time) {
        return StatusRecord{Ingress, table.table, table.tableDigest, Bytes(0), HistoryTime(time)};
    };
    checkClean(Script(race).add(show(left, 2)).add(show(right, 5)));
    checkBroken(Script(race).add(show(right, 2)).add(show(left, 5)), HistoryRule::TableNeverFalls);
    checkBroken(Script(race).add(show(left, 2)).add(show(left, 5 * Second)), HistoryRule::TableIsEverywhere);
    checkBroken(Script(race).status(2, 5), HistoryRule::TableNeverFalls);
}

TEST_CASE("an accepted table is in force at every node within the bound")
{
    constexpr HistoryRule Rule = HistoryRule::TableIsEverywhere;
    checkClean(Script().status(0, 1).accept(1, 2).status(4 * Second, 1).status(4 * Second + 2, 2));
    checkBroken(Script().status(0, 1).accept(1, 2).status(4 * Second + 2, 1), Rule);
    checkBroken(Script().status(0, 2).status(5 * Second, 1, 0, "table", Upstream), Rule);
    checkClean(Script().accept(0, 2).status(50 * Second, 0).status(54 * Second, 0));
    checkBroken(Script().accept(0, 2).status(50 * Second, 0).status(55 * Second, 0), Rule);
}

TEST_CASE("measuring stays within its budget over any stretch")
{
    constexpr HistoryRule Rule = HistoryRule::MeasuringWithinBudget;
    checkClean(Script().status(0, 1, 900'000).status(10 * Second, 1, 930'000));
    checkClean(Script().status(0, 1, 0).status(1 * Second, 1, 19'000));
    checkBroken(Script().status(0, 1, 0).status(100 * Second, 1, 0).status(101 * Second, 1, 20'000), Rule);
    checkBroken(Script().status(0, 1, 0).status(10 * Second, 1, 48'000), Rule);
    checkBroken(Script().status(0, 1, 100).status(1 * Second, 1, 50), Rule);
}

TEST_CASE("a request has one invocation and one outcome")
{
    constexpr HistoryRule Rule = HistoryRule::OneOutcome;
    checkBroken(answered().answer("r1", 5, "r1"), Rule);
    checkBroken(Script().invoke("r1", 1).invoke("r1", 2), Rule);
    checkBroken(Script().fail("r1", 1, Verdict::MayHaveRun), Rule);
}

TEST_CASE("the report counts what it looked at and shows the offending lines")
{
    std::ostringstream text;
    text << Script().invoke("r1", 1).start("r1", 2).start("x", 2).fail("r1", 3, Verdict::NotRun).check();
    CHECK(text.str().find("runs 2\nruns-without-invocation 1\n") != std::string::npos);
    CHECK(text.str().find("violations 1\nnot-run-is-true: the request ran\n  script:4: {") != std::string::npos);
    CHECK(text.str().find("  script:2: {") != std::string::npos);
}
