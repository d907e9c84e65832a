#include "sidecarfixture.h"

#include <algorithm>
#include <exception>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/digest.h"
#include "http/tcpendpoint.h"
#include "platform/platformdialect.h"
#include "platform/publishedroutes.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view AttemptId = "X-Egretpath-Attempt-Id";

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

FakeUpstream::FakeUpstream(asio::any_io_executor executor, std::string id)
    : executor_(std::move(executor))
    , id_(std::move(id))
{
    listen();
}

void FakeUpstream::listen()
{
    server_ = std::make_unique<HttpServer>(executor_, HttpLimits(),
                                           [this](HttpExchange &exchange) { return serve(exchange); });
    address_ = server_->listen(address_).value();
}

asio::awaitable<void> FakeUpstream::crash()
{
    if (!server_) {
        co_return;
    }
    ++ends_;
    server_->closeAll();
    server_.reset();
    asio::steady_timer timer(executor_, restartTime);
    co_await timer.async_wait(asio::use_awaitable);
    listen();
}

int FakeUpstream::runs(const std::string &request) const
{
    const auto found = runs_.find(request);
    return found == runs_.end() ? 0 : found->second;
}

int FakeUpstream::totalRuns() const
{
    return std::accumulate(runs_.begin(), runs_.end(), 0, [](int sum, const auto &item) { return sum + item.second; });
}

std::string FakeUpstream::lastField(const std::string &name) const
{
    return std::string(lastHeaders_.find(name).value_or("none"));
}

asio::awaitable<void> FakeUpstream::serve(HttpExchange &exchange)
{
    HttpResponseHead head(status);
    const std::string request(exchange.head().headers.find(AttemptId).value_or(std::string_view()));
    head.headers.add("X-Egretpath-Instance-Load", std::to_string(running_) + ",0,6," + std::to_string(pace));
    if (exchange.head().target == "/health") {
        head.status = 200;
        (void)co_await exchange.respond(head, "");
        co_return;
    }
    std::string body;
    while (true) {
        auto piece = co_await exchange.readBody();
        if (!piece || piece.value().empty()) {
            break;
        }
        body += piece.value();
    }
    lastHeaders_ = exchange.head().headers;
    head.headers.add(std::string(AttemptId), request);
    const std::string target(lastHeaders_.find("X-Egretpath-Target-Instance").value_or(std::string_view()));
    if (target != id_) {
        head.status = 421;
        (void)co_await exchange.respond(head, "");
        co_return;
    }
    if (status == 503) {
        head.headers.add("X-Egretpath-Not-Executed", "1");
        (void)co_await exchange.respond(head, "");
        co_return;
    }
    if (loses) {
        co_await neverAnswer(exchange);
        co_return;
    }
    ++runs_[request];
    ++running_;
    exchange.onCallerGone([this] { ++cancelled_; });
    asio::steady_timer timer(co_await asio::this_coro::executor, work);
    co_await timer.async_wait(asio::use_awaitable);
    --running_;
    if (!endsOn.empty() && exchange.head().target == endsOn) {
        if (!exchange.callerGone()) {
            asio::co_spawn(executor_, crash(), asio::detached);
        }
        co_return;
    }
    if (breaks) {
        exchange.abort();
        co_return;
    }
    if (!unsigned_) {
        head.headers.add("X-Egretpath-Server-Signature", "3e1b." + request);
    }
    (void)co_await exchange.respond(head,
                                    id_ + ":" + exchange.head().method + ":" + exchange.head().target + ":" + body);
}

asio::awaitable<void> FakeUpstream::neverAnswer(HttpExchange &exchange)
{
    constexpr Milliseconds Step{5};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!exchange.callerGone()) {
        timer.expires_after(Step);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// Hands what the catalog publishes to the node that was made with it.
class FakeSource final : public CatalogSource
{
public:
    explicit FakeSource(FakeCatalog &catalog)
        : catalog_(catalog)
        , reachable_(!catalog.unreachable)
    {
    }

    void attach(CatalogSink &sink) override
    {
        sink_ = &sink;
        catalog_.made_.push_back(&sink);
    }

    void resume(StoreRevision /*listReached*/, bool lost, Milliseconds /*longestPause*/) override
    {
        auto &sinks = catalog_.sinks_;
        if (!reachable_) {
            sink_->sourceLost("the test says so");
            return;
        }
        if (std::find(sinks.begin(), sinks.end(), sink_) != sinks.end()) {
            return;
        }
        if (catalog_.away_) {
            sinks.push_back(sink_);
            sink_->sourceLost("the test says so");
            return;
        }
        if (lost) {
            sink_->sourceBack();
        }
        sinks.push_back(sink_);
        if (catalog_.version_ > 0) {
            sink_->routesRead(readRoutes(catalog_.routesText()).value());
        }
        if (catalog_.listed_) {
            sink_->listRead(catalog_.snapshot());
        }
    }

    void suspend() override { std::erase(catalog_.sinks_, sink_); }

    boost::asio::awaitable<bool> isReachable() override { co_return reachable_ && !catalog_.cutOff && !catalog_.away_; }

    ~FakeSource() override { std::erase(catalog_.sinks_, sink_); }
    FakeSource(const FakeSource &) = delete;
    FakeSource &operator=(const FakeSource &) = delete;

    [[nodiscard]] Result<PublishedRoutes> readRoutes(std::string text) const override
    {
        Result<RouteTablePointer> table = Platform::routesFromJson(text);
        if (!table) {
            return table.error();
        }
        return PublishedRoutes{std::move(table).value(), std::move(text)};
    }

private:
    FakeCatalog &catalog_;
    CatalogSink *sink_ = nullptr;
    bool reachable_;
};

std::unique_ptr<CatalogSource> FakeCatalog::makeSource()
{
    return std::make_unique<FakeSource>(*this);
}

std::string FakeCatalog::routesText() const
{
    std::ostringstream idle;
    for (std::size_t number = 0; number < idleRoutes; ++number) {
        // Digits that look like chance, as names do.
        const std::uint64_t name = stableHash(std::to_string(number));
        idle << R"({"name":"r-)" << name << R"(","kind":"safe","target_latency":"300ms","priority":2,)"
             << R"("match":{"prefix":"/)" << name << R"(/"},)"
             << R"("action":{"service":"statements","timeout":"800ms","max_attempts":3}},)";
    }
    return R"({"version":")" + std::to_string(version_) + R"(","listeners":[{"hostname":"h","rules":[)" + idle.str()
        + R"({"name":"read","kind":"safe","target_latency":"300ms","priority":2,"match":{"prefix":"/read/"},)"
          R"("action":{"service":"statements","timeout":"800ms","max_attempts":3}},)"
          R"({"name":"pay","kind":"unsafe","target_latency":"300ms","priority":1,"match":{"prefix":"/pay/"},)"
          R"("action":{"service":"statements","timeout":"800ms","max_attempts":3}},)"
          R"({"name":"v","kind":"safe","target_latency":"300ms","match":{"prefix":"/v)"
        + std::to_string(version_) + R"(/"},"action":{"service":"statements","timeout":"800ms"}}]}],"clusters":[]})";
}

void FakeCatalog::publishRoutes(std::uint64_t version)
{
    version_ = version;
    tell([this](CatalogSink &sink) {
        sink.routesRead({Platform::routesFromJson(routesText()).value(), routesText()});
    });
}

void FakeCatalog::publishList()
{
    ++revision_;
    listed_ = true;
    tell([this](CatalogSink &sink) { sink.listRead(snapshot()); });
}

void FakeCatalog::add(const FakeUpstream &upstream, const Endpoint &node, const std::string &service)
{
    InstanceRecord record;
    record.id = UpstreamName(upstream.id());
    record.service = ServiceName(service);
    record.location = {RegionName("north"), ZoneName("north-a")};
    record.address = upstream.address();
    record.node = node;
    record.slots = 6;
    record.revision = StoreRevision(++revision_);
    records_[upstream.id()] = record;
}

void FakeCatalog::remove(const std::string &id)
{
    records_.erase(id);
    ++revision_;
    tell([&](CatalogSink &sink) {
        sink.changesRead({{UpstreamName(id), StoreRevision(revision_), std::nullopt}}, StoreRevision(revision_));
    });
}

InstanceChange FakeCatalog::draining(const std::string &id)
{
    InstanceRecord &record = records_.at(id);
    record.state = InstanceState::Draining;
    record.revision = StoreRevision(++revision_);
    return {record.id, record.revision, record};
}

void FakeCatalog::drain(const std::string &id)
{
    const InstanceChange change = draining(id);
    tell([&](CatalogSink &sink) { sink.changesRead({change}, change.revision); });
}

void FakeCatalog::drainOnly(std::size_t node, const std::string &id)
{
    const InstanceChange change = draining(id);
    made_.at(node)->changesRead({change}, change.revision);
}

bool FakeCatalog::reads(std::size_t node) const
{
    return std::find(sinks_.begin(), sinks_.end(), made_.at(node)) != sinks_.end();
}

void FakeCatalog::tellOnly(std::size_t node, std::uint64_t version)
{
    version_ = version;
    made_.at(node)->routesRead({Platform::routesFromJson(routesText()).value(), routesText()});
}

void FakeCatalog::lose()
{
    tell([](CatalogSink &sink) { sink.sourceLost("the test says so"); });
}

void FakeCatalog::lose(std::size_t node)
{
    made_.at(node)->sourceLost("the test says so");
}

void FakeCatalog::comeBack()
{
    tell([](CatalogSink &sink) { sink.sourceBack(); });
}

void FakeCatalog::setAway(bool away)
{
    away_ = away;
    if (away) {
        lose();
        return;
    }
    comeBack();
    publishRoutes(version_);
    publishList();
}

InstanceSnapshot FakeCatalog::snapshot() const
{
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(revision_);
    for (const auto &[id, record] : records_) {
        snapshot.records.push_back(record);
    }
    return snapshot;
}

void FakeCatalog::tell(const std::function<void(CatalogSink &)> &what)
{
    for (std::size_t node = 0; node < made_.size(); ++node) {
        if (reads(node) && !silent_.contains(node)) {
            what(*made_[node]);
        }
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
    auto content = co_await opened.value()->readWholeBody(Bytes(1024UL * 1024));
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
