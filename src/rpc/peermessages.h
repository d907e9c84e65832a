#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"
#include "http/httpheaders.h"
#include "instances/instancedirectory.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// What kind of work a call is; the egress keeps long calls from starving short ones by it.
enum class PeerCallClass : std::uint8_t {
    Lookup,
    Internal,
    Write,
    Upload,
};

/// The head of a call as it travels from ingress to egress.
struct CallHead
{
    RequestId requestId;
    /// Counts the tries of this request, from 1.
    std::uint32_t attempt = 1;
    NodeIdentity ingress;
    /// Counts all tries sent by this ingress incarnation.
    std::uint64_t sequence = 0;
    /// The incarnation that must run the call; unknown (zero) allows any.
    Incarnation targetIncarnation;
    ServiceName service;
    std::string method;
    std::string target;
    HttpHeaders headers;
    /// Time left until the deadline when the call was sent.
    Microseconds remaining{0};
    /// Monotonic time of the ingress when the call was sent; only its differences mean anything elsewhere.
    Microseconds sentAt{0};
    /// The Idempotency-Key header of the caller, or empty.
    std::string idempotencyKey;
    PeerCallClass callClass = PeerCallClass::Lookup;
    /// Length of the request body; negative if unknown.
    std::int64_t contentLength = 0;
    /// Whether the table lets this service's calls be tried more than once.
    bool repeatable = false;
    /// Ask for a load report with the answer; refusals carry one anyway.
    bool wantsReport = false;
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
    Microseconds acceptable{0};
    /// The body is not here, and nothing is to be run: would the egress take the call now? Its outcome is a failure in
    /// any case, with the reason None if it would.
    bool question = false;
};

/// Status and header fields of an answer.
struct AnswerHead
{
    std::uint16_t status = 0;
    HttpHeaders headers;
};

/// A whole answer that travelled in one message.
struct WholeAnswer
{
    AnswerHead head;
    std::string body;
    /// The answer of an earlier run under the same idempotency key.
    bool replayed = false;
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
    std::variant<Failure, WholeAnswer, StreamedAnswer> result;
};

/// What a node that can't read the platform has of it.
struct CatalogRequest
{
    RouteVersion routes;
    StoreRevision revision;
};

/// What another node has that the asker lacks.
struct Catalog
{
    /// Zero: it has none.
    RouteVersion routesVersion;
    /// As the platform published them; empty if the asker has them.
    std::string routes;
    /// Nothing if the asker's list is as new.
    std::optional<InstanceSnapshot> instances;
    /// The sender reads the platform's store, and nothing may have lapsed from its list.
    bool storeInOrder = false;
};

/// What a probe brings.
struct PeerProbe
{
    NodeIdentity identity;
    LoadReport report;
};

}
