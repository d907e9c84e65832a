#include "ablation/ablation.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace Egretpath
{

namespace
{

/// Larger than every backlog and every wait that occurs.
constexpr double Unlimited = 1000.0;

constexpr std::array Mechanisms{
    Mechanism{"spell-end", "work starts after a slow period of its VM if that is quicker",
              [](DecisionSettings &decisions) { decisions.queue.waitsForSlowPeriodEnd = false; }},
    Mechanism{"compression", "traffic between regions is compressed",
              [](DecisionSettings &decisions) { decisions.compressesPaidLinks = false; }},
    Mechanism{"link-price", "bytes on paid links count against an upstream",
              [](DecisionSettings &decisions) {
                  decisions.ingress.placement.prices = {0.0, 0.0};
              }},
    Mechanism{"declining", "a node may decline a request that another upstream can answer faster",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.maxDeclines = 0; }},
    Mechanism{"comfortable-fill", "upstreams are kept below the fill at which they become slower",
              [](DecisionSettings &decisions) { decisions.queue.maxFill = 1.0; }},
    Mechanism{"jitter", "nodes with the same old load reports don't all choose the same upstream",
              [](DecisionSettings &decisions) { decisions.ingress.placement.jitter = 0.0; }},
    Mechanism{"warm-up", "upstreams that have just started count as slow",
              [](DecisionSettings &decisions) { decisions.ingress.placement.warmUpFactor = 1.0; }},
    Mechanism{"failure-penalty", "failures seen by the node itself count against an upstream",
              [](DecisionSettings &decisions) { decisions.ingress.view.failurePenalty = 0.0; }},
    Mechanism{"failure-share", "failures that an upstream's node reports count against the upstream",
              [](DecisionSettings &decisions) {
                  decisions.ingress.view.failureShareFactor = 0.0;
                  decisions.queue.failureFactor = 0.0;
              }},
    Mechanism{"dependents", "callers with short timeouts go first, since a late answer is useless to them",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.dependentTimeoutFactor = 0; }},
    Mechanism{"delay", "the network delay to a node counts against its upstream",
              [](DecisionSettings &decisions) { decisions.ingress.view.countsDelay = false; }},
    Mechanism{"ask-before-bodies", "large bodies are sent only after a dry run was accepted",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.maxBodyWithoutDryRun = SIZE_MAX; }},
    Mechanism{"typical-load", "upstreams without a load report count as having a typical load",
              [](DecisionSettings &decisions) { decisions.ingress.view.assumesTypical = false; }},
    Mechanism{"shut-unreachable", "upstreams whose nodes can't be reached get no requests for a while",
              [](DecisionSettings &decisions) { decisions.ingress.view.baseUnreachableHold = Duration{0}; }},
    Mechanism{"repeat-margin", "nodes use only a part of the common retry limit",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.usedRetryShare = 1.0; }},
    Mechanism{"return-spread", "callers that were refused together retry at different times",
              [](DecisionSettings &decisions) { decisions.ingress.ingress.retryAfterSpread = 0.0; }},
    Mechanism{"service-room", "requests make fewer tries while their service is short of capacity",
              [](DecisionSettings &decisions) { decisions.ingress.room.isEnabled = false; }},
    Mechanism{"late-backlog", "only a few requests that can't be answered in time may wait",
              [](DecisionSettings &decisions) {
                  decisions.queue.maxLateBacklog = Unlimited;
                  decisions.queue.maxLateWait = Unlimited;
              }},
    Mechanism{"queue-order", "requests that can still be in time start first, by priority",
              [](DecisionSettings &decisions) { decisions.queue.ordersByUrgency = false; }},
    Mechanism{"turn-priority", "turns at an upstream with a limited rate go by priority",
              [](DecisionSettings &decisions) { decisions.turns.ordersByPriority = false; }},
    Mechanism{"above-limit", "urgent requests start above the fill limit while less urgent ones run",
              [](DecisionSettings &decisions) { decisions.queue.startsAboveLimit = false; }},
    Mechanism{"displacement", "a late request takes the queue place of a late one of lower priority",
              [](DecisionSettings &decisions) { decisions.queue.displacesLowerPriority = false; }},
    Mechanism{"priority-floor", "the lowest waiting priority gets at least one of eight starts",
              [](DecisionSettings &decisions) { decisions.queue.keepsPriorityFloor = false; }},
    Mechanism{"readers", "few nodes read the store, the others follow them",
              [](DecisionSettings &decisions) { decisions.readers.nodesPerReader = 1; }},
    Mechanism{"gathering", "readers read several changes with one call",
              [](DecisionSettings &decisions) { decisions.catalog.gatherTime = Milliseconds{0}; }},
    Mechanism{"patience-with-store", "peers are queried only when the store has been unavailable for a while",
              [](DecisionSettings &decisions) { decisions.catalog.storeLossTolerance = Milliseconds{0}; }},
    Mechanism{"companions-apart",
              "requests that were running when the same upstream disconnected are not run together again",
              [](DecisionSettings &decisions) { decisions.queue.separatesCoSuspects = false; }},
    Mechanism{"upstream-account",
              "requests that an upstream has lost are finished, and its requests that no call waits for occupy slots",
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
