#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "http/httpclientcall.h"
#include "http/httpconnectionpool.h"
#include "soak/promisechecker.h"
#include "soak/routepublisher.h"
#include "soak/soakdeployment.h"

namespace Egretpath
{

inline constexpr std::uint16_t OkStatus = 200;
inline constexpr std::uint16_t UnavailableStatus = 503;
inline constexpr std::uint16_t DeadlineStatus = 504;

struct StopRunOptions
{
    std::size_t nodes = 9;
    Milliseconds grace{6000};
    /// Median time of the upstreams' work.
    Milliseconds work{100};
    /// The slots of each upstream.
    std::uint32_t slots = 6;
    /// Gets the events of the upstreams; null: nobody does. Outlives the run.
    UpstreamObserver *observer = nullptr;
    /// Routes beside those that RoutePublisher always has.
    std::vector<CallerRoute> routes;
};

/// A deployment of real nodes, some of which are stopped, and callers of them. Every third node, from the second one
/// on, is beside an upstream of the service "arrangements". Thread safety: none.
class StopRun
{
public:
    explicit StopRun(const StopRunOptions &options);
    /// Kills the nodes that still run.
    ~StopRun();
    StopRun(const StopRun &) = delete;
    StopRun &operator=(const StopRun &) = delete;

    /// Runs @p scenario to its end. Throws what it throws.
    void run(boost::asio::awaitable<void> scenario);
    /// Runs @p action beside the scenario.
    void start(boost::asio::awaitable<void> action);
    /// Starts the deployment and waits until all nodes are ready.
    [[nodiscard]] boost::asio::awaitable<void> startNodes();
    /// Asks the node to stop.
    void stopNode(NodeNumber node);

    /// Opens a connection to where @p node takes callers; null if there is none. Its calls end at @p deadline.
    [[nodiscard]] boost::asio::awaitable<std::unique_ptr<HttpClientCall>> connect(NodeNumber node, TimePoint deadline);
    /// Returns a head of a request that no other has sent, with the time that its caller has.
    [[nodiscard]] HttpRequestHead makeHead(std::string method, std::string target, Milliseconds callerTimeout);
    /// Sends a request on an open connection. Returns the status of its complete answer; 0 without one.
    [[nodiscard]] boost::asio::awaitable<std::uint16_t> exchange(HttpClientCall &call, HttpRequestHead head,
                                                                 std::string body = {});
    /// The same on a connection of its own, or on one that is open to @p to.
    [[nodiscard]] boost::asio::awaitable<std::uint16_t> send(Endpoint to, HttpRequestHead head,
                                                             Milliseconds callerTimeout);

    [[nodiscard]] SoakDeployment &deployment() { return deployment_; }
    [[nodiscard]] std::string logOf(NodeNumber node) const;
    [[nodiscard]] bool hasLogged(NodeNumber node, const std::string &text) const;
    /// The processes that ended in another way than they were asked to. Other findings of the checker don't count here,
    /// since it is not told what was sent.
    [[nodiscard]] std::vector<std::string> badExits() const;

private:
    [[nodiscard]] static DeploymentOptions deploymentOptions(const StopRunOptions &options,
                                                             const std::filesystem::path &folder);

    boost::asio::io_context context_{1};
    std::filesystem::path folder_;
    FaultHistory faultHistory_{Milliseconds(3000)};
    StallDetector stallDetector_{faultHistory_};
    PublishedVersions versions_;
    PromiseChecker checker_{PromiseBounds(), faultHistory_, stallDetector_, versions_};
    StandinStore store_;
    RoutePublisher publisher_;
    SoakDeployment deployment_;
    HttpConnectionPool pool_;
    std::uint64_t lastId_ = 0;
};

}
