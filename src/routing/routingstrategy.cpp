#include "routing/routingstrategy.h"

#include <array>

#include "routing/egretpathstrategy.h"
#include "routing/hotcoldstrategy.h"
#include "routing/leastinflightstrategy.h"
#include "routing/randomstrategy.h"
#include "routing/roundrobinstrategy.h"
#include "routing/twochoicesstrategy.h"

namespace Egretpath
{

namespace
{

using Constructor = std::unique_ptr<RoutingStrategy> (*)();

template<typename Strategy>
std::unique_ptr<RoutingStrategy> construct()
{
    return std::make_unique<Strategy>();
}

struct NamedConstructor
{
    std::string_view name;
    Constructor constructor;
};

constexpr std::array Constructors{
    NamedConstructor{RandomStrategy::Name, &construct<RandomStrategy>},
    NamedConstructor{RoundRobinStrategy::Name, &construct<RoundRobinStrategy>},
    NamedConstructor{LeastInFlightStrategy::Name, &construct<LeastInFlightStrategy>},
    NamedConstructor{TwoChoicesStrategy::Name, &construct<TwoChoicesStrategy>},
    NamedConstructor{HotColdStrategy::Name, &construct<HotColdStrategy>},
    NamedConstructor{EgretpathStrategy::Name, &construct<EgretpathStrategy>},
};

}

double RoutingStrategy::score(const Candidate & /*candidate*/, const LoadView & /*view*/, TimePoint /*now*/) const
{
    return 0.0;
}

std::vector<std::string_view> strategyNames()
{
    std::vector<std::string_view> names;
    names.reserve(Constructors.size());
    for (const NamedConstructor &entry : Constructors) {
        names.push_back(entry.name);
    }
    return names;
}

StrategyResult makeStrategy(std::string_view name)
{
    for (const NamedConstructor &entry : Constructors) {
        if (entry.name == name) {
            return entry.constructor();
        }
    }
    return UnknownStrategy{std::string(name), strategyNames()};
}

}
