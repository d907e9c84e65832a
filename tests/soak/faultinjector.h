#pragma once

#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "soak/disturbances.h"
#include "soak/faultplan.h"
#include "soak/operators.h"
#include "soak/soakcallers.h"
#include "soak/soakdeployment.h"

namespace Egretpath
{

/// Does to a deployment what a plan says. Thread safety: none. Precondition: references outlive the injector.
class FaultInjector
{
public:
    FaultInjector(boost::asio::io_context &context, SoakDeployment &deployment, StandinStore &store,
                  Operators &operators, SoakCallers &callers, Disturbances &disturbances, PromiseChecker &checker,
                  DeploymentOptions options);

    /// From the beginning of the fault to its end; what it changed is as before then.
    [[nodiscard]] boost::asio::awaitable<void> inject(PlannedFault fault);
    /// A request has ended the upstream of @p member.
    void upstreamCrashed(Member &member);

private:
    using Action = boost::asio::awaitable<void> (FaultInjector::*)(PlannedFault);

    /// One kind of fault: what it does, and whose promises it suspends.
    struct Entry
    {
        FaultKind kind;
        Action action;
        Disturbance disturbs;
        /// It hits what all nodes share.
        bool everywhere;
    };
    static const std::vector<Entry> Entries;

    boost::asio::awaitable<void> killNode(PlannedFault fault);
    boost::asio::awaitable<void> pauseNode(PlannedFault fault);
    boost::asio::awaitable<void> stopNode(PlannedFault fault);
    boost::asio::awaitable<void> reloadNode(PlannedFault fault);
    boost::asio::awaitable<void> killTogether(PlannedFault fault);
    boost::asio::awaitable<void> harmLink(PlannedFault fault);
    boost::asio::awaitable<void> resetLink(PlannedFault fault);
    boost::asio::awaitable<void> silenceLink(PlannedFault fault);
    boost::asio::awaitable<void> cutStoreLink(PlannedFault fault);
    boost::asio::awaitable<void> resetStoreLink(PlannedFault fault);
    boost::asio::awaitable<void> silenceStoreLink(PlannedFault fault);
    boost::asio::awaitable<void> disturbStore(PlannedFault fault);
    boost::asio::awaitable<void> compactStore(PlannedFault fault);
    boost::asio::awaitable<void> disturbUpstream(PlannedFault fault);
    boost::asio::awaitable<void> replaceUpstream(PlannedFault fault);
    boost::asio::awaitable<void> crashUpstream(PlannedFault fault);
    boost::asio::awaitable<void> crashByRequest(PlannedFault fault);
    boost::asio::awaitable<void> pressCallers(PlannedFault fault);
    boost::asio::awaitable<void> haveCallersLeave(PlannedFault fault);
    boost::asio::awaitable<void> changeRoutes(PlannedFault fault);
    boost::asio::awaitable<void> stormRoutes(PlannedFault fault);
    boost::asio::awaitable<void> growRoutes(PlannedFault fault);

    boost::asio::awaitable<void> restartUpstream(Member &member);
    boost::asio::awaitable<void> killAndWait(Member &member);
    boost::asio::awaitable<void> waitUntilRunning(const Member &member, unsigned boot);

    boost::asio::io_context &context_;
    SoakDeployment &deployment_;
    StandinStore &store_;
    Operators &operators_;
    SoakCallers &callers_;
    Disturbances &disturbances_;
    PromiseChecker &checker_;
    DeploymentOptions options_;
    /// Members whose upstream is just being replaced: a second fault of the kind does nothing.
    std::set<NodeNumber> replaced_;
    /// Members whose process is being stopped.
    std::set<NodeNumber> stopping_;
};

}
