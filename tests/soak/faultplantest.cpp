#include "soak/faultplan.h"

#include <set>

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("the same seed plans the same faults, and another seed plans others")
{
    const FaultPlanOptions options;
    const auto first = drawFaults(options, Random(7));
    const auto again = drawFaults(options, Random(7));
    const auto other = drawFaults(options, Random(8));
    REQUIRE(first.size() == again.size());
    bool differs = other.size() != first.size();
    for (std::size_t index = 0; index < first.size(); ++index) {
        CHECK(first[index].at == again[index].at);
        CHECK(first[index].kind == again[index].kind);
        differs = differs || first[index].at != other[index].at;
    }
    CHECK(differs);
}

TEST_CASE("faults overlap, start before the fault-free end, and include every kind")
{
    FaultPlanOptions options;
    options.length = Milliseconds(200'000);
    const auto plan = drawFaults(options, Random(3));
    std::set<FaultKind> kinds;
    int overlaps = 0;
    for (std::size_t index = 0; index < plan.size(); ++index) {
        kinds.insert(plan[index].kind);
        CHECK(plan[index].at <= options.length - options.faultFreeEnd);
        overlaps += index > 0 && plan[index].at < plan[index - 1].at + plan[index - 1].length ? 1 : 0;
    }
    CHECK(kinds.size() == FaultKindCount);
    CHECK(overlaps > 50);
}

TEST_CASE("each kind has a name of its own")
{
    for (std::size_t kind = 0; kind < FaultKindCount; ++kind) {
        const auto name = toString(static_cast<FaultKind>(kind));
        CHECK(faultKindFromString(name) == static_cast<FaultKind>(kind));
    }
    CHECK_FALSE(faultKindFromString("earthquake").has_value());
}
