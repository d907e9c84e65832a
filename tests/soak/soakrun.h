#pragma once

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "soak/faultinjector.h"
#include "soak/faultplan.h"
#include "soak/promisechecker.h"
#include "soak/soakcallers.h"
#include "soak/soakdeployment.h"

namespace Egretpath
{

struct SoakOptions
{
    DeploymentOptions deployment;
    FaultPlanOptions faults;
    PromiseBounds bounds;
    /// Requests a second at each node.
    double rate = 15;
    /// Without faults: a plain run under load.
    bool calm = false;
    /// Of the attempts after all faults, the share that has to succeed.
    double recoveredShare = 0.9;
};

/// One run: a deployment, its callers, the faults of a plan, and what came of the promises. Thread safety: none.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);

    /// Runs it whole. Returns whether every promise was kept. Throws std::exception if it can't begin.
    [[nodiscard]] bool run();
    [[nodiscard]] std::string report() const;

private:
    boost::asio::awaitable<void> play();
    boost::asio::awaitable<void> waitUntilReady();
    boost::asio::awaitable<bool> isReady(const Member &member);
    boost::asio::awaitable<void> injectAt(PlannedFault fault, TimePoint start);
    boost::asio::awaitable<void> watchStalls();
    boost::asio::awaitable<void> checkRecovery(TimePoint end);

    SoakOptions options_;
    boost::asio::io_context context_{1};
    Random random_;
    Disturbances disturbances_;
    StallWatch stalls_;
    PublishedVersions versions_;
    PromiseChecker checker_;
    StandinStore store_;
    Operators operators_;
    SoakDeployment deployment_;
    SoakCallers callers_;
    FaultInjector injector_;
    HttpConnectionPool probes_;
    std::vector<PlannedFault> plan_;
    double recovered_ = 0.0;
};

}
