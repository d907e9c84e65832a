#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "http/httpconnectionpool.h"
#include "http/httpserver.h"
#include "rpc/asioeventport.h"
#include "sidecar/sidecar.h"
#include "standins/standinrelay.h"

namespace Egretpath
{

/// A service's own program: answers by path, counts what it ran, and says what upstreams say on the platform.
class FakeUpstream
{
public:
    FakeUpstream(boost::asio::any_io_executor executor, std::string id);

    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] const Endpoint &address() const { return address_; }
    /// How often the request with this id was run.
    [[nodiscard]] int runs(const std::string &request) const;
    [[nodiscard]] int totalRuns() const;
    /// Fields of the last request.
    [[nodiscard]] std::string lastField(const std::string &name) const;
    [[nodiscard]] int cancelled() const { return cancelled_; }
    /// How often it has ended.
    [[nodiscard]] int ends() const { return ends_; }

    /// Status of the answers; 503 is a refusal before anything ran.
    std::uint16_t status = 200;
    /// Time that a run takes.
    Milliseconds work{5};
    /// The connection breaks once the request has run.
    bool breaks = false;
    /// Requests are never answered, nor anything more on their connections, and not counted.
    bool loses = false;
    /// A run of a request with this path ends the upstream with all that it holds; empty: none does.
    std::string endsOn;
    /// From such an end until it is back.
    Milliseconds restartTime{100};
    /// Answers lack what proves that they are the upstream's.
    bool unsigned_ = false;
    std::uint16_t pace = 100;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    /// Ends as a process does that crashes, and comes back.
    boost::asio::awaitable<void> crash();
    void listen();
    static boost::asio::awaitable<void> neverAnswer(HttpExchange &exchange);

    boost::asio::any_io_executor executor_;
    std::string id_;
    std::map<std::string, int> runs_;
    HttpHeaders lastHeaders_;
    int cancelled_ = 0;
    int running_ = 0;
    int ends_ = 0;
    Endpoint address_{"127.0.0.1:0"};
    /// Null while it is not there.
    std::unique_ptr<HttpServer> server_;
};

/// Routes and a list that a test publishes, or does not.
class FakeCatalog
{
public:
    void publishRoutes(std::uint64_t version);
    void publishList();
    void add(const FakeUpstream &upstream, const Endpoint &node, const std::string &service);
    void remove(const std::string &id);
    /// The upstream says that it leaves.
    void drain(const std::string &id);
    /// As above; only this node hears of it.
    void drainOnly(std::size_t node, const std::string &id);
    void lose();
    /// Only for the node that was made as number @p node.
    void lose(std::size_t node);
    void comeBack();
    /// Nobody can read it any more, or everybody can again.
    void setAway(bool away);
    /// The platform's side of a new node.
    [[nodiscard]] std::unique_ptr<CatalogSource> makeSource();
    /// Nodes that read it now.
    [[nodiscard]] std::size_t readers() const { return sinks_.size(); }
    /// Whether the node that was made as number @p node reads it.
    [[nodiscard]] bool reads(std::size_t node) const;
    /// The node that was made as number @p node reads on, and hears nothing more.
    void silence(std::size_t node) { silent_.insert(node); }
    /// Publishes routes that only this node gets, whether it reads or not.
    void tellOnly(std::size_t node, std::uint64_t version);
    /// Nodes that do not read it would find that they can't.
    bool cutOff = false;
    /// Nodes made from now on can't read it.
    bool unreachable = false;
    /// Routes that nobody uses, beside those of the tests.
    std::size_t idleRoutes = 0;

private:
    friend class FakeSource;

    [[nodiscard]] InstanceSnapshot snapshot() const;
    /// The change that makes the upstream leave.
    [[nodiscard]] InstanceChange draining(const std::string &id);
    [[nodiscard]] std::string routesText() const;
    void tell(const std::function<void(CatalogSink &)> &what);

    /// Those that read.
    std::vector<CatalogSink *> sinks_;
    /// Of all nodes, in the order in which they were made.
    std::vector<CatalogSink *> made_;
    std::set<std::size_t> silent_;
    std::map<std::string, InstanceRecord> records_;
    std::uint64_t version_ = 0;
    std::uint64_t revision_ = 0;
    bool listed_ = false;
    bool away_ = false;
};

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
