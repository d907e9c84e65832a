#include "telemetry/metrics.h"

#include <catch2/catch.hpp>

#include "telemetry/eventlog.h"

using namespace Egretpath;

TEST_CASE("text of a caller cannot add pairs or lines to the log")
{
    const StructuredLine line = StructuredLine("route").add("target", "/a b=\"c\"\nevent=forged");
    CHECK(line.text() == R"(event=route target="/a b=\"c\"\x0aevent=forged")");
}

TEST_CASE("plain values are not quoted")
{
    const StructuredLine line =
        StructuredLine("route").add("chosen", "statements-1").add("wait", 1.5).add("tries", std::uint64_t{2});
    CHECK(line.text() == "event=route chosen=statements-1 wait=1.5 tries=2");
}

TEST_CASE("decisions over the limit per second are dropped and counted")
{
    EventLogSettings settings;
    settings.file = "/dev/null";
    settings.decisionsPerSecond = 2;
    EventLog log(settings);
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    CHECK(log.admitsDecision(start, DecisionKind::Failure));
    CHECK(log.admitsDecision(start, DecisionKind::Failure));
    CHECK_FALSE(log.admitsDecision(start, DecisionKind::Failure));
    CHECK(log.droppedDecisions() == 1);
    CHECK(log.admitsDecision(start + std::chrono::seconds(1), DecisionKind::Failure));
}

TEST_CASE("a part of the lines is reserved for requests that fail")
{
    // Guards against missing lines about failures. Under load nearly all lines are about requests that succeed. If they
    // used up the limit, an engineer on call would not find the failed request that a user reported.
    EventLogSettings settings;
    settings.file = "/dev/null";
    settings.decisionsPerSecond = 10;
    EventLog log(settings);
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    int admittedRoutine = 0;
    for (int count = 0; count < 20; ++count) {
        admittedRoutine += log.admitsDecision(start, DecisionKind::Routine) ? 1 : 0;
    }
    CHECK(admittedRoutine == 7);
    CHECK(log.admitsDecision(start, DecisionKind::Failure));
}

TEST_CASE("a quantile is the upper edge of its bucket")
{
    LatencyHistogram histogram;
    for (int count = 0; count < 99; ++count) {
        histogram.record(Milliseconds(1));
    }
    histogram.record(Milliseconds(500));
    CHECK(histogram.quantile(0.5) < Milliseconds(2));
    CHECK(histogram.quantile(1.0) > Milliseconds(400));
}

TEST_CASE("metrics are printed in the format of Prometheus")
{
    Metrics metrics;
    metrics.count("egretpath_calls_total", "verdict=\"answered\"", 3);
    metrics.set("egretpath_table_number", "", 7);
    metrics.record("egretpath_call_seconds", "", Milliseconds(2));
    const std::string text = metrics.text();
    CHECK(text.find("egretpath_calls_total{verdict=\"answered\"} 3\n") != std::string::npos);
    CHECK(text.find("# TYPE egretpath_table_number gauge\n") != std::string::npos);
    CHECK(text.find("egretpath_call_seconds_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find("egretpath_call_seconds_count 1\n") != std::string::npos);
}
