#include "calls/dependentroutereports.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

// Guards against one node's error that all nodes adopt, and against a report that is kept after the calls have ended.
TEST_CASE("a route counts as dependent while two ingresses of one calling service have said so within 60 s")
{
    const TimePoint start{std::chrono::seconds(1000)};
    const ServiceName ordering("ordering");
    const RouteName trace("trace");
    const NodeIdentity one{UpstreamName("i-1"), Incarnation(1)};
    const NodeIdentity two{UpstreamName("i-2"), Incarnation(2)};
    DependentRouteReports reports;
    reports.record(ordering, trace, one, start);
    reports.record(ordering, trace, one, start + std::chrono::seconds(1));
    CHECK_FALSE(reports.isDependent(ordering, trace, start + std::chrono::seconds(1)));
    reports.record(ordering, trace, two, start + std::chrono::seconds(2));
    CHECK(reports.isDependent(ordering, trace, start + std::chrono::seconds(2)));
    CHECK_FALSE(reports.isDependent(ServiceName("catalogue"), trace, start + std::chrono::seconds(2)));
    CHECK_FALSE(reports.isDependent(ordering, RouteName("order"), start + std::chrono::seconds(2)));
    reports.record(ordering, trace, two, start + std::chrono::seconds(50));
    CHECK(reports.isDependent(ordering, trace, start + std::chrono::seconds(61)));
    CHECK_FALSE(reports.isDependent(ordering, trace, start + std::chrono::seconds(62)));
}
