#pragma once

#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "soak/faulthistory.h"
#include "soak/faultplan.h"
#include "soak/routepublisher.h"
#include "soak/soakcallers.h"
#include "soak/soakdeployment.h"

namespace Egretpath
{

/// Injects the faults of a plan into a deployment. Thread safety: none. Precondition: references outlive the injector.
class FaultInjector
{
public:
    FaultInjector(boost::asio::io_context &context, SoakDeployment &deployment, StandinStore &store,
                  RoutePublisher &routePublisher, SoakCallers &callers, FaultHistory &faultHistory,
                  PromiseChecker &checker, DeploymentOptions options);

    /// Applies the fault, waits until its end, and restores what it changed.
    [[nodiscard]] boost::asio::awaitable<void> inject(PlannedFault fault);
    /// Restarts the upstream of @p member after a request crashed it.
    void onUpstreamCrashed(Member &member);

private:
    using Action = boost::asio::awaitable<void> (FaultInjector::*)(PlannedFault);

    /// How one kind of fault is injected, and its category.
    struct Definition
    {
        FaultKind kind;
        Action action;
        FaultCategory category;
        /// The fault hits something that all nodes share, so it counts for all nodes.
        bool affectsAllNodes;
    };
    static const std::vector<Definition> Definitions;

    boost::asio::awaitable<void> killNode(PlannedFault fault);
    boost::asio::awaitable<void> pauseNode(PlannedFault fault);
    boost::asio::awaitable<void> stopNode(PlannedFault fault);
    boost::asio::awaitable<void> reloadNode(PlannedFault fault);
    boost::asio::awaitable<void> killNodesTogether(PlannedFault fault);
    boost::asio::awaitable<void> impairLink(PlannedFault fault);
    boost::asio::awaitable<void> resetLink(PlannedFault fault);
    boost::asio::awaitable<void> silenceLink(PlannedFault fault);
    boost::asio::awaitable<void> cutStoreLink(PlannedFault fault);
    boost::asio::awaitable<void> resetStoreLink(PlannedFault fault);
    boost::asio::awaitable<void> silenceStoreLink(PlannedFault fault);
    boost::asio::awaitable<void> impairStore(PlannedFault fault);
    boost::asio::awaitable<void> compactStore(PlannedFault fault);
    boost::asio::awaitable<void> hangWatches(PlannedFault fault);
    boost::asio::awaitable<void> loseWatchAnswers(PlannedFault fault);
    boost::asio::awaitable<void> impairUpstream(PlannedFault fault);
    boost::asio::awaitable<void> replaceUpstream(PlannedFault fault);
    boost::asio::awaitable<void> crashUpstream(PlannedFault fault);
    boost::asio::awaitable<void> crashByRequest(PlannedFault fault);
    boost::asio::awaitable<void> evacuateZone(PlannedFault fault);
    boost::asio::awaitable<void> coolUpstream(PlannedFault fault);
    boost::asio::awaitable<void> limitUpstream(PlannedFault fault);
    boost::asio::awaitable<void> stateLeaving(PlannedFault fault);
    void startWarmUp(Member &member, Milliseconds length);
    boost::asio::awaitable<void> burstCallers(PlannedFault fault);
    boost::asio::awaitable<void> disconnectCallers(PlannedFault fault);
    boost::asio::awaitable<void> changeRoutes(PlannedFault fault);
    boost::asio::awaitable<void> publishRouteStorm(PlannedFault fault);
    boost::asio::awaitable<void> growRoutes(PlannedFault fault);

    boost::asio::awaitable<void> restartUpstream(Member &member);
    boost::asio::awaitable<void> killAndWait(Member &member);
    boost::asio::awaitable<void> waitUntilRunning(const Member &member, unsigned startCount);

    boost::asio::io_context &context_;
    SoakDeployment &deployment_;
    StandinStore &store_;
    RoutePublisher &routePublisher_;
    SoakCallers &callers_;
    FaultHistory &faultHistory_;
    PromiseChecker &checker_;
    DeploymentOptions options_;
    /// Members whose upstream is being replaced or restarted. Another such fault at the same member does nothing.
    std::set<NodeNumber> replacedUpstreams_;
    /// Zones that are being evacuated. Another evacuation of the same zone does nothing.
    std::set<std::string> evacuatedZones_;
    /// Members whose process is being stopped.
    std::set<NodeNumber> stoppingNodes_;
};

}
