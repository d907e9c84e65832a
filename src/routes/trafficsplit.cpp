#include "routes/trafficsplit.h"

#include <algorithm>
#include <numeric>
#include <random>

#include "core/random.h"

namespace Egretpath
{

namespace
{

double totalWeight(const Route &route)
{
    return std::accumulate(route.destinations.begin(), route.destinations.end(), 0.0,
                           [](double sum, const Destination &destination) { return sum + destination.weight; });
}

}

TrafficSplit::TrafficSplit(std::uint64_t seed)
    : seed_(seed)
{
}

const ServiceName &TrafficSplit::next(const Route &route)
{
    if (route.destinations.size() == 1) {
        return route.destinations.front().service;
    }
    Credits &credits = credits_[route.name];
    if (credits.size() != route.destinations.size()) {
        credits = initialCredits(route);
    }
    for (std::size_t index = 0; index < credits.size(); ++index) {
        credits[index] += route.destinations[index].weight;
    }
    const auto chosen = std::max_element(credits.begin(), credits.end());
    *chosen -= totalWeight(route);
    return route.destinations[static_cast<std::size_t>(chosen - credits.begin())].service;
}

TrafficSplit::Credits TrafficSplit::initialCredits(const Route &route) const
{
    Random random(seed_ ^ std::hash<RouteName>{}(route.name));
    const double total = totalWeight(route);
    Credits credits;
    double sum = 0.0;
    for (std::size_t index = 0; index < route.destinations.size(); ++index) {
        credits.push_back(std::uniform_real_distribution<double>(0.0, total)(random));
        sum += credits.back();
    }
    // Each call of next() leaves the sum of the credits unchanged; it has to start at zero.
    for (double &credit : credits) {
        credit -= sum / static_cast<double>(credits.size());
    }
    return credits;
}

}
