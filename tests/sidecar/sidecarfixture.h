#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "endlessupstream.h"
#include "fakecatalog.h"
#include "fakeupstream.h"
#include "http/httpclientcall.h"
#include "http/httpconnectionpool.h"
#include "http/httphead.h"
#include "rpc/asioeventport.h"
#include "rpc/peerserver.h"
#include "sidecar/sidecar.h"
#include "standins/standinrelay.h"

namespace Egretpath
{

/// The answer that a caller got; the status is 0 if it got none.
struct Reply
{
    std::uint16_t status = 0;
    HttpHeaders headers;
    std::string body;
};

/// One node of the deployment, with the addresses of its listeners.
struct TestNode
{
    Endpoint callers;
    Endpoint ready;
    Endpoint peers;
    Endpoint metrics;
    std::unique_ptr<Sidecar> sidecar;
};

/// A deployment in one process: upstreams, the nodes beside them, and a store.
class SidecarFixture
{
public:
    /// @p memoryMb: the memory that the settings of the nodes tell; zero if they tell none.
    /// @p decisions: the constants of the nodes.
    explicit SidecarFixture(std::uint32_t memoryMb = 0, const DecisionSettings &decisions = {});
    ~SidecarFixture();
    SidecarFixture(const SidecarFixture &) = delete;
    SidecarFixture &operator=(const SidecarFixture &) = delete;

    FakeUpstream &addUpstream(const std::string &id);
    /// Returns a stand-in for an upstream that sends @p answer.
    EndlessUpstream &addEndlessUpstream(const std::string &id, const EndlessAnswer &answer);
    /// Starts a node beside @p upstream and adds the upstream to the list under @p service.
    TestNode &addNode(const ListedUpstream &upstream, const std::string &service,
                      const std::vector<Endpoint> &seeds = {}, const Location &location = FakeCatalog::UsualLocation);
    /// Makes other nodes reach @p node, which is beside @p upstream, over a link of this bandwidth. Returns the link.
    StandinRelay &putBehindLink(const TestNode &node, const FakeUpstream &upstream, const std::string &service,
                                std::uint64_t bytesPerSecond);
    /// Lets @p service, which has to outlive the fixture, take the calls of nodes. Returns its address.
    [[nodiscard]] Endpoint addPeer(PeerService &service);
    void run(const std::function<boost::asio::awaitable<void>()> &scenario);
    /// Runs @p action beside the scenario.
    void start(const std::function<boost::asio::awaitable<void>()> &action);
    [[nodiscard]] boost::asio::awaitable<void> sleep(Milliseconds duration);
    [[nodiscard]] boost::asio::awaitable<bool> waitUntil(std::function<bool()> condition);
    /// Sends a request and leaves the reading of its answer to the test. Returns null if the node can't be reached.
    [[nodiscard]] boost::asio::awaitable<std::unique_ptr<HttpClientCall>>
    open(Endpoint node, std::string method, std::string target, std::string attemptId,
         Milliseconds timeout = Milliseconds(1000), std::string body = {});
    [[nodiscard]] boost::asio::awaitable<Reply> send(Endpoint node, std::string method, std::string target,
                                                     std::string attemptId, Milliseconds timeout = Milliseconds(1000),
                                                     std::string body = {});
    [[nodiscard]] boost::asio::awaitable<std::uint16_t> readiness(Endpoint ready);

    FakeCatalog catalog;
    /// The rate of the link that the settings of nodes added from now on name; 0: none.
    double linkMbps = 0.0;

private:
    AsioEventPort eventLoop_;
    std::uint32_t memoryMb_;
    DecisionSettings decisions_;
    HttpConnectionPool pool_;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
    std::vector<std::unique_ptr<EndlessUpstream>> endlessUpstreams_;
    std::vector<std::unique_ptr<TestNode>> nodes_;
    std::vector<std::unique_ptr<StandinRelay>> links_;
    std::vector<std::unique_ptr<PeerServer>> peers_;
};

}
