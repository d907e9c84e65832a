#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/any_io_executor.hpp>

#include "admission/stopadmission.h"
#include "answers/heldanswers.h"
#include "core/random.h"
#include "dialect/callerdialect.h"
#include "egress/egressrole.h"
#include "ingress/callertimeouts.h"
#include "ingress/ingresssettings.h"
#include "ingress/requestlog.h"
#include "instances/evacuatedzones.h"
#include "instances/instancedirectory.h"
#include "quarantine/quarantine.h"
#include "routes/routetable.h"
#include "routes/trafficsplit.h"
#include "routing/answersizes.h"
#include "routing/placement.h"
#include "routing/placementview.h"
#include "routing/retrybudget.h"
#include "routing/serviceroom.h"
#include "rpc/peerclient.h"
#include "transfer/linkpacer.h"

namespace Egretpath
{

class ProxiedRequest;

/// The identity and location of this node.
struct LocalNode
{
    NodeIdentity self;
    Location location;
    /// The service of the upstream beside this node. Requests from this VM carry it as their calling service.
    ServiceName service;
    /// The address at which this node listens for other nodes. Requests for the upstream beside it need no connection.
    Endpoint endpoint;
};

/// The data that the ingress role reads and never writes.
struct IngressSources
{
    const RouteTablePointer &routes;
    const InstanceDirectory &directory;
    const EvacuatedZones &evacuatedZones;
    const Quarantine &quarantine;
};

/// The constants of the ingress role's own decisions and of the choice of an upstream.
struct IngressDecisionSettings
{
    IngressSettings ingress;
    PlacementSettings placement;
    PlacementViewSettings view;
    /// ServiceRoomSettings::usualTries follows from IngressSettings::maxDeclines.
    ServiceRoomSettings room;
};

/// The state that all requests of one ingress role share: its data, its decisions, and the roles and clients it calls.
///
/// Thread safety: none. Precondition: the references stay valid while a request runs.
struct IngressContext
{
    IngressContext(boost::asio::any_io_executor roleExecutor, LocalNode thisNode, IngressSources roleSources,
                   const CallerDialect &callerDialect, EgressRole &egressRole, PeerClient &peerClient, EventLog &log,
                   Metrics &metrics, Random generator, const IngressDecisionSettings &decisions);

    /// Returns the time that a request of @p route takes without queueing or slowdown.
    [[nodiscard]] Duration baselineTime(const Route &route) const;
    /// Records what the @p outcome of a try shows about @p upstream and about the node beside it. @p node: the address
    /// of that node.
    void recordOutcome(const RouteName &route, const UpstreamName &upstream, const Endpoint &node,
                       const Result<CallOutcome> &outcome);
    /// Records what the @p outcome of a try that was sent at @p sentAt shows about the capacity of @p service.
    void recordCapacity(const ServiceName &service, std::uint32_t priority, TimePoint sentAt,
                        const Result<CallOutcome> &outcome);

    boost::asio::any_io_executor executor;
    LocalNode localNode;
    IngressSources sources;
    const CallerDialect &dialect;
    EgressRole &egress;
    PeerClient &peers;
    IngressSettings settings;
    RequestLog requestLog;
    Random random;
    TrafficSplit split;
    PlacementView view;
    Placement placement;
    AnswerSizes sizes;
    RetryBudget budget;
    ServiceRoom room;
    CallerTimeouts callerTimeouts;
    StopAdmission stop;
    /// Paces large answers to callers; null if the rate of the link is not known.
    LinkPacer *linkPacer = nullptr;
    /// What limits the answers that the node holds for readers; gone if nothing does.
    std::weak_ptr<HeldAnswers> heldAnswers;
    /// Counts the bodies of requests, and the answers that are written. Never null.
    std::shared_ptr<HeldMessages> heldMessages;
    std::function<void(const Endpoint &, const CallOutcome &)> outcomeListener;
    std::function<void()> noRoutesListener;
    /// Called with a node that has newer routes than this one.
    std::function<void(const Endpoint &)> olderRoutesListener;
    /// Whether other nodes may have routes that this node lacks.
    std::function<bool()> mayLackRoutes = [] { return false; };
    std::uint64_t lastSequence = 0;
    /// The requests that have not ended.
    std::unordered_set<ProxiedRequest *> openRequests;
    /// Those of them that wait for newer routes.
    std::unordered_set<ProxiedRequest *> waitingForRoutes;

private:
    void recordBaselineTime(const RouteName &route, const LoadReport &report);
    void recordFailure(const UpstreamName &upstream, Reason reason);

    std::unordered_map<RouteName, double> baselineMicroseconds_;
};

}
