#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "http/httpserver.h"
#include "soak/disturbances.h"
#include "soak/nodeprocess.h"
#include "soak/promisechecker.h"
#include "standins/slottedupstream.h"
#include "standins/standinrelay.h"
#include "standins/standinstore.h"

namespace Egretpath
{

struct DeploymentOptions
{
    std::filesystem::path program;
    /// Settings and logs of the nodes.
    std::filesystem::path directory;
    /// The first half of the loopback addresses, so that deployments can run side by side.
    std::string network = "127.90";
    std::size_t nodes = 9;
    std::uint64_t seed = 1;
    Milliseconds grace{6000};
    Milliseconds work{20};
    double repeatRatio = 0.2;
    double repeatSlack = 40;
};

/// One VM: a node's process, the upstream beside it, and relays on the ways to them.
struct Member
{
    NodeNumber number = 0;
    ServiceName service;
    std::string zone;
    /// The id under which its upstream is registered; each start has another one.
    UpstreamName upstreamId;
    unsigned upstreamStarts = 0;
    Endpoint callers;
    Endpoint ready;
    /// Where other nodes and the list find it; behind a relay for every other member.
    std::string listedIp;
    std::string nodeIp;
    std::unique_ptr<StandinRelay> peerLink;
    std::unique_ptr<StandinRelay> storeLink;
    std::unique_ptr<NodeProcess> process;
    std::unique_ptr<SlottedUpstream> upstream;
    /// The soak has told the process to end, or ended it; its end is no crash.
    bool endExpected = false;
};

/// Real nodes as processes, and around them what the platform brings: a store, upstreams, links. Thread safety: none.
class SoakDeployment
{
public:
    SoakDeployment(boost::asio::io_context &context, DeploymentOptions options, StandinStore &store,
                   PromiseChecker &checker);
    ~SoakDeployment();
    SoakDeployment(const SoakDeployment &) = delete;
    SoakDeployment &operator=(const SoakDeployment &) = delete;

    /// Makes an upstream's own call through its node.
    using MakeInnerCall = std::function<SlottedUpstream::InnerCall(NodeNumber)>;
    /// @p crashed is told of each member whose upstream a request has ended.
    void start(const MakeInnerCall &makeInnerCall, const std::function<void(Member &)> &crashed);
    /// Ends all processes.
    void stop();

    [[nodiscard]] std::vector<std::unique_ptr<Member>> &members() { return members_; }
    [[nodiscard]] Member &member(NodeNumber number) { return *members_.at(number); }

    /// Writes the settings of @p member; they are read at the next start or reload.
    void writeSettings(const Member &member, double repeatSlack);
    /// A settings file that is none.
    void breakSettings(const Member &member);
    void startUpstream(Member &member);
    /// Writes the entry of its upstream, ready or draining.
    void registerUpstream(const Member &member, bool draining);
    void unregisterUpstream(const UpstreamName &upstream);

private:
    void addMember(NodeNumber number);
    void listenForStore();
    void linkPeers(Member &member);
    void linkStore(Member &member);
    void collectEnds();
    void noteEnd(Member &member, const ProcessEnd &end);
    [[nodiscard]] std::string address(unsigned group, NodeNumber number) const;
    [[nodiscard]] std::string seedsText() const;
    [[nodiscard]] std::filesystem::path fileOf(const Member &member, const char *ending) const;

    boost::asio::io_context &context_;
    DeploymentOptions options_;
    StandinStore &store_;
    PromiseChecker &checker_;
    HttpServer storeServer_;
    boost::asio::signal_set childEnds_;
    std::vector<std::unique_ptr<Member>> members_;
    MakeInnerCall makeInnerCall_;
    std::function<void(Member &)> crashed_;
    bool stopping_ = false;
};

}
