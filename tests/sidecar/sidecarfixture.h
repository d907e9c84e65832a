#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "fakecatalog.h"
#include "fakeupstream.h"
#include "http/httpconnectionpool.h"
#include "http/httphead.h"
#include "rpc/asioeventport.h"
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
    Endpoint operators;
    std::unique_ptr<Sidecar> sidecar;
};

/// A deployment in one process: upstreams, the nodes beside them, and a store.
class SidecarFixture
{
public:
    SidecarFixture();
    ~SidecarFixture();
    SidecarFixture(const SidecarFixture &) = delete;
    SidecarFixture &operator=(const SidecarFixture &) = delete;

    FakeUpstream &addUpstream(const std::string &id);
    /// Starts a node beside @p upstream and adds the upstream to the list under @p service.
    TestNode &addNode(const FakeUpstream &upstream, const std::string &service, const std::vector<Endpoint> &seeds = {},
                      const Location &location = FakeCatalog::UsualLocation);
    /// Makes other nodes reach @p node, which is beside @p upstream, over a link of this bandwidth. Returns the link.
    StandinRelay &putBehindLink(const TestNode &node, const FakeUpstream &upstream, const std::string &service,
                                std::uint64_t bytesPerSecond);
    void run(const std::function<boost::asio::awaitable<void>()> &scenario);
    /// Runs @p action beside the scenario.
    void start(const std::function<boost::asio::awaitable<void>()> &action);
    [[nodiscard]] boost::asio::awaitable<void> sleep(Milliseconds duration);
    [[nodiscard]] boost::asio::awaitable<bool> waitUntil(std::function<bool()> condition);
    [[nodiscard]] boost::asio::awaitable<Reply> send(Endpoint node, std::string method, std::string target,
                                                     std::string attemptId, Milliseconds timeout = Milliseconds(1000),
                                                     std::string body = {});
    [[nodiscard]] boost::asio::awaitable<std::uint16_t> readiness(Endpoint ready);

    FakeCatalog catalog;

private:
    AsioEventPort eventLoop_;
    HttpConnectionPool pool_;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
    std::vector<std::unique_ptr<TestNode>> nodes_;
    std::vector<std::unique_ptr<StandinRelay>> links_;
};

}
