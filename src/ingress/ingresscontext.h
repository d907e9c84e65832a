#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>

#include "admission/stopadmission.h"
#include "core/random.h"
#include "dialect/callerdialect.h"
#include "egress/egressrole.h"
#include "ingress/callerpatience.h"
#include "ingress/ingresssettings.h"
#include "ingress/requestlog.h"
#include "instances/instancedirectory.h"
#include "quarantine/quarantine.h"
#include "routes/routetable.h"
#include "routes/trafficsplit.h"
#include "routing/exchangesizes.h"
#include "routing/placement.h"
#include "routing/placementview.h"
#include "routing/retrybudget.h"
#include "rpc/peerclient.h"

namespace Egretpath
{

/// Who and where this node is.
struct IngressPlace
{
    NodeIdentity self;
    Location location;
    /// The service of the upstream beside this node; requests from this VM are told to come from it.
    ServiceName service;
    /// Where this node listens for other nodes; requests for the upstream beside it need no connection.
    Endpoint node;
};

/// What the ingress role reads and never writes.
struct IngressSources
{
    const RouteTablePointer &routes;
    const InstanceDirectory &directory;
    const Quarantine &quarantine;
};

/// What the ingress role decides with.
struct IngressDecisions
{
    IngressSettings ingress;
    PlacementSettings placement;
    PlacementViewSettings view;
};

/// What all requests of one ingress role share: what it knows, what it decides with, and whom it calls.
///
/// Thread safety: none. Precondition: references are valid for as long as a request runs.
struct IngressContext
{
    IngressContext(boost::asio::any_io_executor executorOfRole, IngressPlace ownPlace, IngressSources whatIsKnown,
                   const CallerDialect &callers, EgressRole &ownEgress, PeerClient &otherNodes, EventLog &log,
                   Metrics &metrics, Random generator, const IngressDecisions &decisions);

    /// What a request of @p route takes when nothing is in the way.
    [[nodiscard]] Duration baselineTime(const Route &route) const;
    /// Takes what the end of a try at @p upstream, sent to the node at @p node, tells of both.
    void learn(const RouteName &route, const UpstreamName &upstream, const Endpoint &node,
               const Result<CallOutcome> &outcome);

    boost::asio::any_io_executor executor;
    IngressPlace place;
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
    ExchangeSizes sizes;
    RetryBudget budget;
    CallerPatience patience;
    StopAdmission stop;
    std::function<void(const Endpoint &, const CallOutcome &)> outcomeListener;
    std::function<void()> noRoutesListener;
    std::uint64_t lastSequence = 0;
    std::size_t openRequests = 0;

private:
    void recordBaselineTime(const RouteName &route, const LoadReport &report);
    void learnFailure(const UpstreamName &upstream, Reason reason);

    std::unordered_map<RouteName, double> baselineMicroseconds_;
};

}
