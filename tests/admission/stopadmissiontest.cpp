#include "admission/stopadmission.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const RouteName Lookup("lookup");
const RouteName Report("report");

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

/// Records lookups of 50 to 90 ms and reports of half a second; one in fifty reports takes two seconds.
StopAdmission trainedAdmission()
{
    StopAdmission admission;
    for (int round = 0; round < 200; ++round) {
        admission.recordAnswer(Lookup, Milliseconds(50 + round % 5 * 10));
        admission.recordAnswer(Report, Milliseconds(round % 50 == 0 ? 2000 : 500));
    }
    return admission;
}

}

TEST_CASE("a node that is not stopping accepts all requests")
{
    const StopAdmission admission = trainedAdmission();
    CHECK(admission.accepts(Report, at(60'000), at(0)));
    CHECK(admission.accepts(RouteName("unknown"), at(60'000), at(0)));
    CHECK(admission.timeLeft(at(0)) == Duration{0});
}

// Guards against requests that are cut off by the stop since their upstream is slower than it ever was.
TEST_CASE("once callers can know that a node stops, it takes only requests whose deadline passes before its end")
{
    StopAdmission admission = trainedAdmission();
    admission.begin(at(5550), at(2400));
    for (int now = 2400; now < 5600; now += 10) {
        for (const int timeout : {40, 150, 1500, 3000, 8000}) {
            INFO("at " << now << " ms, timeout " << timeout << " ms");
            CHECK(admission.accepts(Lookup, at(now + timeout), at(now)).has_value() == (now + timeout <= 5550));
            CHECK(admission.accepts(Report, at(now + timeout), at(now)).has_value() == (now + timeout <= 5550));
        }
    }
    CHECK(admission.timeLeft(at(4100)) == Milliseconds(1450));
}

// Guards against refusing requests that could still be answered while their callers have nowhere else to go.
TEST_CASE("until callers can know that a node stops, it takes requests that are usually short")
{
    StopAdmission admission = trainedAdmission();
    admission.begin(at(5550), at(2400));
    // The longest of the reports that this node has seen lately took 1.9 s.
    CHECK(admission.accepts(Report, at(9000), at(1500)) == StopBasis::Estimate);
    CHECK_FALSE(admission.accepts(Report, at(9000), at(2300)));
    CHECK(admission.accepts(Lookup, at(9000), at(2399)) == StopBasis::Estimate);
    CHECK_FALSE(admission.accepts(Lookup, at(9000), at(2400)));
    CHECK(admission.accepts(Lookup, at(5550), at(2400)) == StopBasis::Deadline);
}

TEST_CASE("quick requests are accepted although the grace time is short")
{
    StopAdmission admission = trainedAdmission();
    admission.begin(at(1000), at(500));
    CHECK(admission.accepts(Lookup, at(3000), at(0)));
    CHECK_FALSE(admission.accepts(Report, at(3000), at(0)));
}

TEST_CASE("a stopping node judges a route without answers by the deadline")
{
    StopAdmission admission;
    admission.begin(at(6000), at(2400));
    CHECK(admission.accepts(Report, at(5900), at(2300)));
    CHECK_FALSE(admission.accepts(Report, at(6100), at(2300)));
}

TEST_CASE("a closed node accepts no request")
{
    StopAdmission admission = trainedAdmission();
    admission.begin(at(6000), at(2400));
    admission.close();
    CHECK_FALSE(admission.accepts(Lookup, at(1000), at(0)));
}
