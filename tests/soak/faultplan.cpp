#include "soak/faultplan.h"

#include <algorithm>
#include <random>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, FaultKindCount> KindNames{
    "node-kill",
    "node-pause",
    "node-stop",
    "node-reload",
    "nodes-killed-together",
    "link-delay",
    "link-reset",
    "link-one-way",
    "link-cut",
    "link-silence",
    "store-link-cut",
    "store-link-reset",
    "store-link-silence",
    "store-down",
    "store-busy",
    "store-slow",
    "store-answers-lost",
    "store-compact",
    "upstream-slow",
    "upstream-failing",
    "upstream-answers-lost",
    "upstream-cuts-answers",
    "upstream-unsigned",
    "upstream-refusing",
    "upstream-replaced",
    "upstream-crash",
    "caller-burst",
    "callers-leave",
    "routes-change",
    "routes-storm",
    "routes-grow",
    "upstream-hangs",
    "upstream-crashed-by-request",
    "zone-evacuated",
    "upstream-cold",
    "upstream-limits",
    "upstream-leaves-by-answer",
    "store-watches-hang",
    "store-watch-answers-lost",
};

/// Faults last 0.3 to 4 s. This range includes times shorter and longer than the timeouts between nodes and than a
/// planned stop.
constexpr Milliseconds MinFaultLength{300};
constexpr Milliseconds MaxFaultLength{4000};
constexpr double FollowUpShare = 0.2;
constexpr double SameNodeShare = 0.5;

FaultKind drawKind(const FaultPlanOptions &options, Random &random)
{
    if (options.kinds.empty()) {
        return static_cast<FaultKind>(std::uniform_int_distribution<std::size_t>(0, options.knownKinds - 1)(random));
    }
    return options.kinds[std::uniform_int_distribution<std::size_t>(0, options.kinds.size() - 1)(random)];
}

}

std::string_view toString(FaultKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

std::optional<FaultKind> faultKindFromString(std::string_view name)
{
    const auto *const found = std::find(KindNames.begin(), KindNames.end(), name);
    return found == KindNames.end() ? std::nullopt : std::optional(static_cast<FaultKind>(found - KindNames.begin()));
}

std::vector<PlannedFault> drawFaults(const FaultPlanOptions &options, Random random)
{
    const auto drawBetween = [&random](Milliseconds min, Milliseconds max) {
        return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(min.count(), max.count())(random));
    };
    const auto drawNode = [&random, &options] {
        return std::uniform_int_distribution<NodeNumber>(0, options.nodes - 1)(random);
    };
    std::vector<PlannedFault> plan;
    const Milliseconds end = options.length - options.faultFreeEnd;
    for (Milliseconds at = drawBetween(Milliseconds{0}, options.gap); at < end;
         at += drawBetween(options.gap / 2, options.gap * 2)) {
        PlannedFault fault{at, drawKind(options, random), drawNode(), drawBetween(MinFaultLength, MaxFaultLength)};
        fault.length = std::min(fault.length, end - at);
        plan.push_back(fault);
        if (std::bernoulli_distribution(FollowUpShare)(random)) {
            fault.node = std::bernoulli_distribution(SameNodeShare)(random) ? fault.node : drawNode();
            fault.at = std::min(at + fault.length + drawBetween(Milliseconds{0}, MinFaultLength), end);
            plan.push_back(fault);
        }
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const PlannedFault &left, const PlannedFault &right) { return left.at < right.at; });
    return plan;
}

}
