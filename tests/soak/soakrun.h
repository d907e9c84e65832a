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
    /// Requests per second at each node.
    double rate = 15;
    /// Whether the load runs without faults.
    bool withoutFaults = false;
    /// Minimum share of the attempts after all faults that has to succeed.
    double recoveredShare = 0.9;
};

/// One run of the soak: a deployment, its callers, the faults of a plan and the check of the promises. Thread safety:
/// none.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);

    /// Runs the soak to its end. Returns whether every promise was kept. Throws std::exception if the run can't start.
    [[nodiscard]] bool run();
    [[nodiscard]] std::string report() const;

private:
    boost::asio::awaitable<void> runScenario();
    boost::asio::awaitable<void> waitUntilReady();
    boost::asio::awaitable<bool> isReady(const Member &member);
    boost::asio::awaitable<void> injectAt(PlannedFault fault, TimePoint start);
    boost::asio::awaitable<void> watchStalls();
    boost::asio::awaitable<void> checkRecovery(TimePoint end);

    SoakOptions options_;
    boost::asio::io_context context_{1};
    Random random_;
    FaultHistory faultHistory_;
    StallDetector stallDetector_;
    PublishedVersions versions_;
    PromiseChecker checker_;
    StandinStore store_;
    RoutePublisher routePublisher_;
    SoakDeployment deployment_;
    SoakCallers callers_;
    FaultInjector injector_;
    HttpConnectionPool probes_;
    std::vector<PlannedFault> plan_;
    double recoveredShare_ = 0.0;
};

}
