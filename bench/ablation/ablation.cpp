#include "ablation/ablation.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace Egretpath
{

namespace
{

/// More than ever waits, or is waited for.
constexpr double Unlimited = 1000.0;

constexpr std::array Mechanisms{
    Mechanism{"spell-end", "work begins after a slow spell of its VM",
              [](DecisionSettings &decisions) { decisions.queue.waitsForSlowPeriodEnd = false; }},
    Mechanism{"compression", "what crosses regions is compressed",
              [](DecisionSettings &decisions) { decisions.compressesPaidLinks = false; }},
    Mechanism{"link-price", "bytes on paid links count against a choice",
              [](DecisionSettings &decisions) {
                  decisions.ingress.placement.prices = {0.0, 0.0};
              }},
    Mechanism{"declining", "a node may send a request on to a quicker upstream",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.maxQueries = 0; }},
    Mechanism{"comfortable-fill", "upstreams are kept below the fill at which they slow themselves",
              [](DecisionSettings &decisions) { decisions.queue.maxFill = 1.0; }},
    Mechanism{"jitter", "nodes with the same old news don't all choose the same upstream",
              [](DecisionSettings &decisions) { decisions.ingress.placement.jitter = 0.0; }},
    Mechanism{"warm-up", "upstreams that have just started count as slow",
              [](DecisionSettings &decisions) { decisions.ingress.placement.warmUpFactor = 1.0; }},
    Mechanism{"failure-penalty", "failures seen here count against an upstream",
              [](DecisionSettings &decisions) { decisions.ingress.view.failurePenalty = 0.0; }},
    Mechanism{"failure-share", "failures that its node tells of count against an upstream",
              [](DecisionSettings &decisions) {
                  decisions.ingress.view.failureShareFactor = 0.0;
                  decisions.queue.failureFactor = 0.0;
              }},
    Mechanism{"dependents", "callers of little patience go first, since a late answer is none to them",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.dependentPatienceFactor = 0; }},
    Mechanism{"delay", "the delay on the way to a node counts",
              [](DecisionSettings &decisions) { decisions.ingress.view.countsDelay = false; }},
    Mechanism{"ask-before-bodies", "large bodies are sent only when they will be taken",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.maxBodyWithoutDryRun = SIZE_MAX; }},
    Mechanism{"typical-load", "upstreams of which nothing is known count as typical",
              [](DecisionSettings &decisions) { decisions.ingress.view.assumesTypical = false; }},
    Mechanism{"shut-unreachable", "upstreams whose nodes can't be reached are left alone",
              [](DecisionSettings &decisions) { decisions.ingress.view.baseUnreachableHold = Duration{0}; }},
    Mechanism{"repeat-margin", "nodes use a part only of the shared allowance of repeats",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.usedRetryShare = 1.0; }},
    Mechanism{"return-spread", "callers that were refused together return apart",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.retryAfterSpread = 0.0; }},
    Mechanism{"late-backlog", "few requests that can't be in time may wait",
              [](DecisionSettings &decisions) {
                  decisions.queue.maxLateBacklog = Unlimited;
                  decisions.queue.maxLateWait = Unlimited;
              }},
    Mechanism{"queue-order", "requests that can still be in time begin first, by rank",
              [](DecisionSettings &decisions) { decisions.queue.ordersByUrgency = false; }},
    Mechanism{"readers", "few nodes read the store, the others follow them",
              [](DecisionSettings &decisions) { decisions.readers.nodesPerReader = 1; }},
    Mechanism{"gathering", "readers gather changes",
              [](DecisionSettings &decisions) { decisions.catalog.gatherTime = Milliseconds{0}; }},
    Mechanism{"patience-with-store", "peers are asked only when the store is away for a while",
              [](DecisionSettings &decisions) { decisions.catalog.storeLossTolerance = Milliseconds{0}; }},
    Mechanism{"companions-apart", "requests that an upstream broke off with are not tried together again",
              [](DecisionSettings &decisions) { decisions.queue.separatesCoSuspects = false; }},
    Mechanism{"upstream-account", "requests that an upstream has lost end, its other work takes slots",
              [](DecisionSettings &decisions) { decisions.keepsUpstreamAccount = false; }},
};

}

std::span<const Mechanism> mechanisms()
{
    return Mechanisms;
}

const Mechanism *findMechanism(std::string_view name)
{
    const auto found = std::find_if(Mechanisms.begin(), Mechanisms.end(),
                                    [name](const Mechanism &mechanism) { return mechanism.name == name; });
    return found == Mechanisms.end() ? nullptr : &*found;
}

}
