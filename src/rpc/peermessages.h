#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"
#include "http/httpheaders.h"
#include "instances/evacuatedzones.h"
#include "instances/instancedirectory.h"
#include "instances/nodehash.h"
#include "instances/storestate.h"
#include "quarantine/suspectedrequest.h"
#include "routes/packedroutes.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// The versions of the routes, of the instance list and of the evacuated zones that a node has.
///
/// Every answer carries the versions of its sender, so that a node whose own source stopped sending updates learns from
/// any other node that it missed a change.
struct CatalogVersions
{
    RouteVersion routes;
    StoreRevision list;
    /// The latest change of an evacuation that the sender knows. In a request: the revision up to which it knows all.
    StoreRevision evacuations;

    friend bool operator==(const CatalogVersions &, const CatalogVersions &) = default;
};

/// The head of a call as it travels from ingress to egress.
struct CallHead
{
    RequestId requestId;
    /// The number of this try of the request, counted from 1.
    std::uint32_t attempt = 1;
    NodeIdentity ingress;
    ServiceName service;
    std::string method;
    std::string target;
    HttpHeaders headers;
    /// Time left until the deadline when the call was sent.
    Microseconds remaining{0};
    /// Boot clock of the ingress when the call was sent. Other nodes can only use differences between such times.
    Microseconds sentAt{0};
    /// Whether running the call more than once is safe.
    bool isRepeatable = false;
    /// The upstream that must run the call; empty allows any.
    UpstreamName targetUpstream;
    /// The service on the VM where the request began.
    ServiceName callerService;
    RouteName route;
    /// 0 is the most urgent.
    std::uint8_t priority = 0;
    /// Time left of the latency target when the call was sent. An answer after the target has lost most of its value;
    /// negative if the target has passed.
    Microseconds targetLatencyLeft{0};
    /// The egress declines a call that it expects to take longer. Zero: it takes every call that can meet its deadline.
    Microseconds declineThreshold{0};
    /// Asks whether the egress would take the call now. The message has no body, and nothing is run. The outcome is
    /// always a failure, with the reason None if the egress would take the call.
    bool dryRun = false;
    /// The upstream that last disconnected while it ran this call in an earlier try; empty if none did. This call, or
    /// another one that ran at the same time, may have crashed the upstream.
    UpstreamName disconnectedUpstream;
    /// The version of the routes by which the ingress chose the upstream.
    RouteVersion routesVersion;
    /// Whether an upstream waits for the answer and needs it for its own work.
    bool isDependent = false;
};

/// Status and header fields of an answer.
struct AnswerHead
{
    std::uint16_t status = 0;
    HttpHeaders headers;
};

/// A complete answer that was sent in one message.
struct CompleteAnswer
{
    AnswerHead head;
    std::string body;
};

/// Says that the complete answer was sent to the AnswerReceiver.
struct StreamedAnswer
{
};

/// How a call ended at the egress.
struct CallOutcome
{
    NodeIdentity identity;
    std::optional<LoadReport> report;
    std::variant<Failure, CompleteAnswer, StreamedAnswer> result;
    CatalogVersions catalog;
    /// The set of requests that the node refuses because they crash upstreams.
    QuarantineDigest quarantine;
    /// Whether the node knows that calls of this route from the calling service are dependent; see CallHead.
    bool isRouteDependent = false;
};

/// Asks another node for the routes and instances that the requesting node lacks.
struct CatalogRequest
{
    /// What the requesting node has; zero for what it lacks.
    CatalogVersions have;
    /// How long the other node may hold the request while it has nothing newer.
    Milliseconds wait{0};
    /// The store state of the other node as the requesting node knows it. A different state counts as something newer.
    StoreState knownState = StoreState::Available;
    /// Whether a confirmation of what the other node has counts as something newer.
    bool wantsConfirmation = false;
    /// Whether the requesting node can read changes of routes. Nodes of an earlier version can't.
    bool takesChanges = true;
};

/// The routes and instances that the requesting node lacks, as the other node sends them.
struct Catalog
{
    /// What the sender has; zero for what it lacks.
    CatalogVersions versions;
    /// What packChanges() wrote; empty if the requesting node has the sender's routes.
    PackedRoutes routes;
    /// The version to which these changes apply; zero if they are all routes, nothing if the sender does not tell.
    std::optional<RouteVersion> routesFrom;
    /// All routes as the platform published them; only from nodes of an earlier version.
    PackedRoutes publishedRoutes;
    /// Whether the changes are the complete list. Otherwise they are the changes after the requesting node's revision.
    bool isSnapshot = false;
    std::vector<InstanceChange> changes;
    /// All evacuations, which are few; nothing if the sender does not know them.
    std::optional<EvacuationSnapshot> evacuations;
    /// The state of the platform's store as the sender knows it.
    StoreState store = StoreState::Unavailable;
    /// Whether the sender neither reads the store now nor has a source that is known to. The state of the store is then
    /// the last that it knew.
    bool isSearching = false;
    /// Whether neither the sender nor the node that it follows knows a node that calls the store now.
    bool isStoreUnwatched = false;
    /// Number of nodes between the sender and the store: 0 for a sender that reads the store itself.
    std::uint8_t hops = 0;
    /// The node that reads the store for the sender; empty if none does.
    Endpoint reader;
    /// The nodes between the sender and that node, the nearest first.
    std::vector<NodeHash> via;
    /// Time since that node last read the store.
    Milliseconds storeAge{0};
    /// How long that node has been able to read the store without interruption.
    Milliseconds storeAvailableFor{0};
    /// Time since a moment up to which the sender has all that the store had accepted; nothing if it knows none.
    std::optional<Milliseconds> confirmedAge;
    /// Time since a node read the sender's routes from the store.
    Milliseconds routesAge{0};
    /// Time since a node read the newest change of the sender's list from the store.
    Milliseconds listAge{0};
    /// The set of requests that the sender refuses because they crash upstreams.
    QuarantineDigest quarantine;
    /// How long the sender held the request because it had nothing newer.
    Milliseconds heldFor{0};
};

/// The answer to a probe.
struct PeerProbe
{
    NodeIdentity identity;
    LoadReport report;
};

}
