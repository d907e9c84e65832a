#include "sidecarfixture.h"

#include <exception>
#include <stdexcept>
#include <utility>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
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

/// An address of this process alone.
///
/// Guards against a port that is taken between its choice and its use: a free one of the system's own choice was used
/// by one of the connections that the tests open all the time. Those begin at 127.0.0.1, where none of these addresses
/// is.
Endpoint ownEndpoint()
{
    constexpr int FirstPort = 21'000;
    static int used = 0;
    const int process = ::getpid();
    ++used;
    return Endpoint("127." + std::to_string(200 + process % 50) + "." + std::to_string(process / 50 % 250) + "."
                    + std::to_string(1 + used % 250) + ":" + std::to_string(FirstPort + used));
}

SidecarSettings settingsOf(const FakeNode &node, const FakeUpstream &upstream, const std::string &service,
                           const std::vector<Endpoint> &seeds)
{
    SidecarSettings settings;
    settings.name = "node-" + upstream.id();
    settings.service = ServiceName(service);
    settings.region = RegionName("north");
    settings.zone = ZoneName("north-a");
    settings.callers = node.callers;
    settings.ready = node.ready;
    settings.peers = node.peers;
    settings.upstream = upstream.address();
    settings.store = Endpoint("127.0.0.1:1");
    settings.seeds = seeds;
    settings.repeatSlack = 40;
    settings.grace = Milliseconds(1200);
    settings.logLevel = LogLevel::Error;
    return settings;
}

}

SidecarFixture::SidecarFixture()
    : pool_(loop_.context().get_executor(), HttpPoolLimits())
{
}

SidecarFixture::~SidecarFixture() = default;

FakeUpstream &SidecarFixture::addUpstream(const std::string &id)
{
    return *upstreams_.emplace_back(std::make_unique<FakeUpstream>(loop_.context().get_executor(), id));
}

FakeNode &SidecarFixture::addNode(const FakeUpstream &upstream, const std::string &service,
                                  const std::vector<Endpoint> &seeds)
{
    FakeNode &node = *nodes_.emplace_back(std::make_unique<FakeNode>());
    node.callers = ownEndpoint();
    node.ready = ownEndpoint();
    node.peers = ownEndpoint();
    catalog.add(upstream, node.peers, service);
    SidecarPlatform platform;
    platform.callers = std::make_unique<Platform::PlatformCallerDialect>();
    platform.upstreams = std::make_unique<Platform::PlatformUpstreamDialect>();
    platform.catalog = catalog.makeSource();
    node.sidecar =
        std::make_unique<Sidecar>(loop_.context(), settingsOf(node, upstream, service, seeds), std::move(platform));
    if (!node.sidecar->start()) {
        throw std::runtime_error("a node could not listen");
    }
    return node;
}

void SidecarFixture::putBehindLink(const FakeNode &node, const FakeUpstream &upstream, const std::string &service,
                                   std::uint64_t bytesPerSecond)
{
    StandinRelay &link = *links_.emplace_back(
        std::make_unique<StandinRelay>(loop_.context().get_executor(), toTcpEndpoint(node.peers).value()));
    RelayConditions conditions;
    conditions.bytesPerSecond = bytesPerSecond;
    link.setConditions(conditions);
    catalog.add(upstream, link.listen(toTcpEndpoint(ownEndpoint()).value()), service);
}

void SidecarFixture::run(const std::function<asio::awaitable<void>()> &scenario)
{
    constexpr std::chrono::seconds Limit{20};
    bool ended = false;
    std::exception_ptr thrown;
    asio::co_spawn(loop_.context(), scenario, [&](std::exception_ptr error) {
        ended = true;
        thrown = error;
        loop_.context().stop();
    });
    const TimePoint limit = std::chrono::steady_clock::now() + Limit;
    while (!ended && std::chrono::steady_clock::now() < limit) {
        // A node that has stopped stops the loop as well; the scenario goes on.
        loop_.context().restart();
        loop_.context().run_until(limit);
    }
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    if (!ended) {
        throw std::runtime_error("the scenario did not end");
    }
}

asio::awaitable<void> SidecarFixture::sleep(Milliseconds duration)
{
    asio::steady_timer timer(loop_.context(), duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> SidecarFixture::until(std::function<bool()> condition)
{
    constexpr int Attempts = 5000;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        if (condition()) {
            co_return true;
        }
        co_await sleep(Milliseconds(1));
    }
    co_return false;
}

asio::awaitable<Reply> SidecarFixture::send(Endpoint node, std::string method, std::string target, std::string request,
                                            Milliseconds patience, std::string body)
{
    Reply reply;
    const TimePoint deadline = std::chrono::steady_clock::now() + patience + std::chrono::seconds(2);
    auto opened = co_await pool_.open(node, deadline, HttpConnectionChoice::Fresh);
    if (!opened) {
        co_return reply;
    }
    HttpRequestHead head(std::move(method), std::move(target));
    head.headers.add("Host", "h");
    head.headers.add(std::string(AttemptId), std::move(request));
    head.headers.add("X-Egretpath-Deadline-Ms", std::to_string(patience.count()));
    head.headers.add("X-Egretpath-Caller-Service", "forged");
    (void)co_await opened.value()->sendRequest(std::move(head), std::move(body));
    auto answer = co_await opened.value()->readHead();
    if (!answer) {
        co_return reply;
    }
    auto content = co_await opened.value()->readCompleteBody(Bytes(1024UL * 1024));
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
