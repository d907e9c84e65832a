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

/// What a caller got.
struct Reply
{
    std::uint16_t status = 0;
    HttpHeaders headers;
    std::string body;
};

/// One node of a deployment in this process.
struct FakeNode
{
    Endpoint callers;
    Endpoint ready;
    Endpoint peers;
    std::unique_ptr<Sidecar> sidecar;
};

/// A deployment in one process: upstreams, the nodes beside them, and a catalog.
class SidecarFixture
{
public:
    SidecarFixture();
    ~SidecarFixture();
    SidecarFixture(const SidecarFixture &) = delete;
    SidecarFixture &operator=(const SidecarFixture &) = delete;

    FakeUpstream &addUpstream(const std::string &id);
    /// A node beside @p upstream, listed under @p service.
    FakeNode &addNode(const FakeUpstream &upstream, const std::string &service,
                      const std::vector<Endpoint> &seeds = {});
    /// Other nodes reach @p node, which stands beside @p upstream, by a link of this bandwidth.
    void putBehindLink(const FakeNode &node, const FakeUpstream &upstream, const std::string &service,
                       std::uint64_t bytesPerSecond);
    void run(const std::function<boost::asio::awaitable<void>()> &scenario);
    [[nodiscard]] boost::asio::awaitable<void> sleep(Milliseconds duration);
    [[nodiscard]] boost::asio::awaitable<bool> until(std::function<bool()> condition);
    [[nodiscard]] boost::asio::awaitable<Reply> send(Endpoint node, std::string method, std::string target,
                                                     std::string request, Milliseconds patience = Milliseconds(1000),
                                                     std::string body = {});
    [[nodiscard]] boost::asio::awaitable<std::uint16_t> readiness(Endpoint ready);

    FakeCatalog catalog;

private:
    AsioEventPort loop_;
    HttpConnectionPool pool_;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
    std::vector<std::unique_ptr<FakeNode>> nodes_;
    std::vector<std::unique_ptr<StandinRelay>> links_;
};

}
