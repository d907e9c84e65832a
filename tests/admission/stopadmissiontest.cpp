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

// Guards against requests that are cut off by the stop. A report is accepted 2.4 s before the end of the process. The
// longest of the forty reports that this node has seen took 1.9 s, but a slow VM needs 2.5 s. The process ends before
// the answer is complete, and the caller's connection breaks.
TEST_CASE("a stopping node refuses requests that may outlive it and accepts the others until its end")
{
    StopAdmission admission = trainedAdmission();
    admission.begin(at(6000));
    CHECK(admission.accepts(Report, at(7500), at(1500)));
    CHECK_FALSE(admission.accepts(Report, at(9000), at(3500)));
    CHECK_FALSE(admission.accepts(Report, at(10'100), at(4100)));
    CHECK(admission.accepts(Lookup, at(10'100), at(4100)));
    CHECK(admission.accepts(Lookup, at(11'800), at(5800)));
    CHECK_FALSE(admission.accepts(Lookup, at(11'950), at(5950)));
    CHECK(admission.timeLeft(at(4100)) == Milliseconds(1900));
}

// Guards against refusing requests that could still be answered. The grace time is shorter than the route's timeout,
// but nearly all requests of the route are much shorter.
TEST_CASE("quick requests are accepted although the grace time is short")
{
    StopAdmission admission = trainedAdmission();
    admission.begin(at(1000));
    CHECK(admission.accepts(Lookup, at(3000), at(0)));
    CHECK_FALSE(admission.accepts(Report, at(3000), at(0)));
}

TEST_CASE("a stopping node judges a route without answers by the deadline")
{
    StopAdmission admission;
    admission.begin(at(6000));
    CHECK(admission.accepts(Report, at(5900), at(2900)));
    CHECK_FALSE(admission.accepts(Report, at(6100), at(3100)));
}

TEST_CASE("a closed node accepts no request")
{
    StopAdmission admission = trainedAdmission();
    admission.begin(at(6000));
    admission.close();
    CHECK_FALSE(admission.accepts(Lookup, at(1000), at(0)));
}
