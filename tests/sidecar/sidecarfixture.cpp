#include "sidecarfixture.h"

#include <exception>
#include <stdexcept>
#include <utility>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/tcpendpoint.h"
#include "platform/platformdialect.h"
#include "wirefields.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Returns an address that no other process uses.
///
/// Guards against a port that is taken between its choice and its use: one of the connections that the tests open all
/// the time could take a free port that the system chose. Those connections start from 127.0.0.1, which this function
/// never returns.
Endpoint uniqueEndpoint()
{
    constexpr int FirstPort = 21'000;
    static int count = 0;
    const int process = ::getpid();
    ++count;
    return Endpoint("127." + std::to_string(200 + process % 50) + "." + std::to_string(process / 50 % 250) + "."
                    + std::to_string(1 + count % 250) + ":" + std::to_string(FirstPort + count));
}

SidecarSettings settingsOf(const TestNode &node, const ListedUpstream &upstream, const std::string &service,
                           const std::vector<Endpoint> &seeds, const Location &location)
{
    SidecarSettings settings;
    settings.name = "node-" + upstream.id();
    settings.service = ServiceName(service);
    settings.region = location.region;
    settings.zone = location.zone;
    settings.callers = node.callers;
    settings.ready = node.ready;
    settings.peers = node.peers;
    settings.metrics = node.metrics;
    settings.upstream = upstream.address();
    settings.store = Endpoint("127.0.0.1:1");
    settings.seeds = seeds;
    settings.retrySlack = 40;
    settings.grace = Milliseconds(1200);
    settings.logLevel = LogLevel::Error;
    return settings;
}

}

SidecarFixture::SidecarFixture(std::uint32_t memoryMb, const DecisionSettings &decisions)
    : memoryMb_(memoryMb)
    , decisions_(decisions)
    , pool_(eventLoop_.context().get_executor(), HttpPoolLimits())
{
}

SidecarFixture::~SidecarFixture() = default;

FakeUpstream &SidecarFixture::addUpstream(const std::string &id)
{
    return *upstreams_.emplace_back(std::make_unique<FakeUpstream>(eventLoop_.context().get_executor(), id));
}

EndlessUpstream &SidecarFixture::addEndlessUpstream(const std::string &id, const EndlessAnswer &answer)
{
    return *endlessUpstreams_.emplace_back(
        std::make_unique<EndlessUpstream>(eventLoop_.context().get_executor(), id, answer));
}

TestNode &SidecarFixture::addNode(const ListedUpstream &upstream, const std::string &service,
                                  const std::vector<Endpoint> &seeds, const Location &location)
{
    TestNode &node = *nodes_.emplace_back(std::make_unique<TestNode>());
    node.callers = uniqueEndpoint();
    node.ready = uniqueEndpoint();
    node.peers = uniqueEndpoint();
    node.metrics = uniqueEndpoint();
    catalog.add(upstream, node.peers, service, location);
    SidecarPlatform platform;
    platform.callers = std::make_unique<Platform::PlatformCallerDialect>();
    platform.upstreams = std::make_unique<Platform::PlatformUpstreamDialect>();
    platform.catalog = catalog.makeSource();
    SidecarSettings settings = settingsOf(node, upstream, service, seeds, location);
    settings.linkMbps = linkMbps;
    settings.memoryMb = memoryMb_;
    node.sidecar = std::make_unique<Sidecar>(eventLoop_.context(), settings, std::move(platform), decisions_);
    if (!node.sidecar->start()) {
        throw std::runtime_error("a node could not listen");
    }
    return node;
}

StandinRelay &SidecarFixture::putBehindLink(const TestNode &node, const FakeUpstream &upstream,
                                            const std::string &service, std::uint64_t bytesPerSecond)
{
    StandinRelay &link = *links_.emplace_back(
        std::make_unique<StandinRelay>(eventLoop_.context().get_executor(), toTcpEndpoint(node.peers).value()));
    RelayConditions conditions;
    conditions.bytesPerSecond = bytesPerSecond;
    link.setConditions(conditions);
    catalog.add(upstream, link.listen(toTcpEndpoint(uniqueEndpoint()).value()), service);
    return link;
}

Endpoint SidecarFixture::addPeer(PeerService &service)
{
    constexpr std::size_t MaxConnections = 16;
    PeerServer &server =
        *peers_.emplace_back(std::make_unique<PeerServer>(eventLoop_.context(), service, MaxConnections));
    Endpoint endpoint = uniqueEndpoint();
    server.listen(endpoint);
    return endpoint;
}

void SidecarFixture::run(const std::function<asio::awaitable<void>()> &scenario)
{
    constexpr std::chrono::seconds ScenarioTimeout{20};
    bool hasEnded = false;
    std::exception_ptr thrown;
    asio::co_spawn(eventLoop_.context(), scenario, [&](std::exception_ptr error) {
        hasEnded = true;
        thrown = error;
        eventLoop_.context().stop();
    });
    const TimePoint deadline = std::chrono::steady_clock::now() + ScenarioTimeout;
    while (!hasEnded && std::chrono::steady_clock::now() < deadline) {
        // A node that has stopped stops the event loop as well. The loop is restarted, so that the scenario goes on.
        eventLoop_.context().restart();
        eventLoop_.context().run_until(deadline);
    }
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    if (!hasEnded) {
        throw std::runtime_error("the scenario did not end in time");
    }
}

void SidecarFixture::start(const std::function<asio::awaitable<void>()> &action)
{
    asio::co_spawn(eventLoop_.context(), action, asio::detached);
}

asio::awaitable<void> SidecarFixture::sleep(Milliseconds duration)
{
    asio::steady_timer timer(eventLoop_.context(), duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> SidecarFixture::waitUntil(std::function<bool()> condition)
{
    constexpr int MaxChecks = 5000;
    for (int check = 0; check < MaxChecks; ++check) {
        if (condition()) {
            co_return true;
        }
        co_await sleep(Milliseconds(1));
    }
    co_return false;
}

asio::awaitable<std::unique_ptr<HttpClientCall>> SidecarFixture::open(Endpoint node, std::string method,
                                                                      std::string target, std::string attemptId,
                                                                      Milliseconds timeout, std::string body)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout + std::chrono::seconds(2);
    auto opened = co_await pool_.open(node, deadline, HttpConnectionChoice::Fresh);
    if (!opened) {
        co_return nullptr;
    }
    HttpRequestHead head(std::move(method), std::move(target));
    head.headers.add("Host", "h");
    head.headers.add(std::string(AttemptId), std::move(attemptId));
    head.headers.add("X-Egretpath-Deadline-Ms", std::to_string(timeout.count()));
    head.headers.add("X-Egretpath-Caller-Service", "forged");
    (void)co_await opened.value()->sendRequest(std::move(head), std::move(body));
    co_return std::move(opened).value();
}

asio::awaitable<Reply> SidecarFixture::send(Endpoint node, std::string method, std::string target,
                                            std::string attemptId, Milliseconds timeout, std::string body)
{
    Reply reply;
    const auto call = co_await open(std::move(node), std::move(method), std::move(target), std::move(attemptId),
                                    timeout, std::move(body));
    if (!call) {
        co_return reply;
    }
    auto answer = co_await call->readHead();
    if (!answer) {
        co_return reply;
    }
    auto content = co_await call->readCompleteBody(Bytes(4096UL * 1024));
    if (content) {
        reply.status = answer.value().status;
        reply.headers = answer.value().headers;
        reply.body = content.value();
    }
    co_return reply;
}

asio::awaitable<std::uint16_t> SidecarFixture::readiness(Endpoint ready)
{
    const Reply reply = co_await send(std::move(ready), "GET", "/v1/readiness", "");
    co_return reply.status;
}

}
