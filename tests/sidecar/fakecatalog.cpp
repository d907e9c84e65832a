#include "fakecatalog.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "core/digest.h"
#include "platform/publishedroutes.h"

namespace Egretpath
{

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

}
