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
#include "instances/instancedirectory.h"
#include "instances/storestate.h"
#include "quarantine/suspectedrequest.h"
#include "routes/packedroutes.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Which routes and which list a node has. Every answer carries one, so that a node whose own source fell silent
/// learns from any other that it missed a change.
struct CatalogVersions
{
    RouteVersion routes;
    StoreRevision list;
};

/// The head of a call as it travels from ingress to egress.
struct CallHead
{
    RequestId requestId;
    /// Counts the tries of this request, from 1.
    std::uint32_t attempt = 1;
    NodeIdentity ingress;
    ServiceName service;
    std::string method;
    std::string target;
    HttpHeaders headers;
    /// Time left until the deadline when the call was sent.
    Microseconds remaining{0};
    /// Boot clock of the ingress when the call was sent; only its differences mean anything elsewhere.
    Microseconds sentAt{0};
    /// Whether the call may run more than once.
    bool repeatable = false;
    /// The upstream that must run the call; empty allows any.
    UpstreamName targetUpstream;
    /// The service beside whose VM the request began.
    ServiceName callerService;
    RouteName route;
    /// 0 is the most urgent.
    std::uint8_t priority = 0;
    /// Time left, when the call was sent, until an answer loses most of its worth; may be negative.
    Microseconds targetLatencyLeft{0};
    /// The egress declines a call that it expects to take longer; zero: it takes what can meet its deadline.
    Microseconds declineThreshold{0};
    /// The body is not here, and nothing is to be run: would the egress take the call now? Its outcome is a failure in
    /// any case, with the reason None if it would.
    bool dryRun = false;
    /// The upstream that last broke off while it ran the call, in an earlier try; empty: none did. This call may have
    /// ended it, or one beside it.
    UpstreamName disconnectedUpstream;
};

/// Status and header fields of an answer.
struct AnswerHead
{
    std::uint16_t status = 0;
    HttpHeaders headers;
};

/// A whole answer that travelled in one message.
struct CompleteAnswer
{
    AnswerHead head;
    std::string body;
};

/// The whole answer went to the AnswerReceiver.
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
    /// Which requests the node refuses, since they end upstreams.
    QuarantineDigest quarantine;
};

/// What the asker has of the platform.
struct CatalogRequest
{
    CatalogVersions have;
    /// The answer may take so long when there is nothing newer.
    Milliseconds wait{0};
    /// What the asker takes the other node's store to be; another state is news.
    StoreState known = StoreState::Available;
};

/// What another node has that the asker lacks.
struct Catalog
{
    /// What the sender has; zero for what it lacks itself.
    CatalogVersions has;
    /// As the platform published them; empty if the asker has them.
    PackedRoutes routes;
    /// The changes make up the whole list; else they are those after the asker's revision.
    bool whole = false;
    std::vector<InstanceChange> changes;
    /// Where this comes from.
    StoreState store = StoreState::Unavailable;
    /// Nodes between the sender and the store: 0 for one that reads it.
    std::uint8_t hops = 0;
    /// The node that reads the store for the sender; empty if none does.
    Endpoint reader;
    /// Since that node last did.
    Milliseconds storeAge{0};
    /// For how long that node has read the store without a loss.
    Milliseconds storeAvailableFor{0};
    /// Since a node read the sender's routes, and the newest change of its list, from the store.
    Milliseconds routesAge{0};
    Milliseconds listAge{0};
    /// Which requests the sender refuses, since they end upstreams.
    QuarantineDigest quarantine;
    /// For so long the sender kept the question, since it had nothing newer.
    Milliseconds held{0};
};

/// What a probe brings.
struct PeerProbe
{
    NodeIdentity identity;
    LoadReport report;
};

}
