#include "routing/weighteddraw.h"

#include <algorithm>

namespace Egretpath
{

double drawUnit(Random &random)
{
    constexpr int MantissaBits = 53;
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << MantissaBits);
    return static_cast<double>(random() >> (64 - MantissaBits)) * Scale;
}

std::size_t drawWeighted(std::span<const double> weights, Random &random)
{
    double total = 0.0;
    for (const double weight : weights) {
        total += std::max(weight, 0.0);
    }
    double left = drawUnit(random) * total;
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        if (weights[index] <= 0.0) {
            continue;
        }
        chosen = index;
        left -= weights[index];
        if (left < 0.0) {
            break;
        }
    }
    return chosen;
}

}
