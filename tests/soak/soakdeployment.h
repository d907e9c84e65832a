#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "http/httpserver.h"
#include "soak/faulthistory.h"
#include "soak/nodeprocess.h"
#include "soak/promisechecker.h"
#include "standins/standinrelay.h"
#include "standins/standinstore.h"
#include "standins/standinupstream.h"

namespace Egretpath
{

struct DeploymentOptions
{
    std::filesystem::path program;
    /// Folder for the settings and logs of the nodes.
    std::filesystem::path directory;
    /// The first half of the loopback addresses. Deployments with different values can run side by side.
    std::string network = "127.90";
    std::size_t nodes = 9;
    std::uint64_t seed = 1;
    Milliseconds grace{6000};
    Milliseconds work{20};
    double retryRatio = 0.2;
    double retrySlack = 40;
    /// Whether other nodes reach every second one through a relay. A relay accepts connections also while there is no
    /// node behind it, and resets them.
    bool hasPeerLinks = true;
    /// The slots of each upstream.
    std::uint32_t slots = 6;
    /// Gets the events of the upstreams in place of the checker; null: the checker gets them. Outlives the deployment.
    UpstreamObserver *observer = nullptr;
};

/// One VM: the process of a node, the upstream beside it, and relays on the links to them.
struct Member
{
    NodeNumber number = 0;
    ServiceName service;
    std::string zone;
    /// The id under which the upstream is registered. Each start of an upstream uses a new one.
    UpstreamName upstreamId;
    unsigned upstreamStarts = 0;
    Endpoint callers;
    Endpoint ready;
    /// The address at which other nodes connect to this node, and at which its upstream listens and is registered. For
    /// every second member, other nodes connect to a relay at this address.
    std::string listedIp;
    std::string nodeIp;
    std::unique_ptr<StandinRelay> peerLink;
    std::unique_ptr<StandinRelay> storeLink;
    std::unique_ptr<NodeProcess> process;
    std::unique_ptr<StandinUpstream> upstream;
    /// Whether the soak asked the process to exit or killed it, so that its exit is no crash.
    bool isExitExpected = false;
};

/// Runs real nodes as processes, with stand-ins for the platform around them: a store, upstreams and links. Thread
/// safety: none.
class SoakDeployment
{
public:
    SoakDeployment(boost::asio::io_context &context, DeploymentOptions options, StandinStore &store,
                   PromiseChecker &checker);
    ~SoakDeployment();
    SoakDeployment(const SoakDeployment &) = delete;
    SoakDeployment &operator=(const SoakDeployment &) = delete;

    /// Returns the function by which the upstream beside a node makes its own calls through that node.
    using InnerCallFactory = std::function<StandinUpstream::InnerCall(NodeNumber)>;
    /// Starts the nodes, their upstreams and the store. Calls @p onUpstreamCrashed with each member whose upstream a
    /// request has crashed.
    void start(const InnerCallFactory &makeInnerCall, const std::function<void(Member &)> &onUpstreamCrashed);
    /// Kills all processes and stops all upstreams.
    void stop();

    [[nodiscard]] std::vector<std::unique_ptr<Member>> &members() { return members_; }
    [[nodiscard]] Member &member(NodeNumber number) { return *members_.at(number); }

    /// Writes the settings of @p member. The node reads them at its next start or reload.
    void writeSettings(const Member &member, double retrySlack);
    /// Writes a settings file that can't be parsed.
    void writeInvalidSettings(const Member &member);
    void startUpstream(Member &member);
    /// Writes the store entry of the member's upstream, as ready or draining.
    void registerUpstream(const Member &member, bool draining);
    void unregisterUpstream(const UpstreamName &upstream);

private:
    void addMember(NodeNumber number);
    void listenForStore();
    void linkPeers(Member &member);
    void linkStore(Member &member);
    void reapChildren();
    void onProcessExit(Member &member, const ProcessExit &childExit);
    [[nodiscard]] std::string address(unsigned group, NodeNumber number) const;
    [[nodiscard]] std::string seedsText() const;
    [[nodiscard]] std::filesystem::path filePath(const Member &member, const char *ending) const;

    boost::asio::io_context &context_;
    DeploymentOptions options_;
    StandinStore &store_;
    PromiseChecker &checker_;
    HttpServer storeServer_;
    boost::asio::signal_set childExits_;
    std::vector<std::unique_ptr<Member>> members_;
    InnerCallFactory makeInnerCall_;
    std::function<void(Member &)> onUpstreamCrashed_;
    bool isStopping_ = false;
};

}
