#include "sidecar/cataloglog.h"

#include <chrono>

namespace Egretpath
{

namespace
{

constexpr const char *NewsAge = "egretpath_news_age_seconds";

Milliseconds::rep millisecondsOf(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

std::string_view stateOf(const InstanceChange &change)
{
    if (!change.record) {
        return "gone";
    }
    return change.record->state == InstanceState::Ready ? "ready" : "draining";
}

}

void CatalogLog::routesInForce(const RouteTable &table, RouteVersion before, const NewsOrigin &origin)
{
    StructuredLine line("routes");
    line.add("version", table.version().value()).add("before", before.value());
    line.add("count", std::uint64_t{table.routeCount()});
    line.add("from", origin.from).add("bytes", std::uint64_t{origin.bytes}).add("age_ms", millisecondsOf(origin.age));
    log_.info(line);
    metrics_.set("egretpath_routes_version", {}, static_cast<double>(table.version().value()));
    if (before.value() > 0) {
        metrics_.record(NewsAge, R"(what="routes")", origin.age);
    }
}

void CatalogLog::upstreamChanged(const InstanceChange &change, const NewsOrigin &origin)
{
    StructuredLine line("upstream");
    line.add("id", change.id.value()).add("revision", change.revision.value()).add("state", stateOf(change));
    line.add("age_ms", millisecondsOf(origin.age));
    log_.info(line);
}

void CatalogLog::listRead(const NewsOrigin &origin)
{
    metrics_.record(NewsAge, R"(what="list")", origin.age);
}

void CatalogLog::wholeList(const InstanceDirectory &directory, std::string_view from, std::string_view what)
{
    StructuredLine line("upstreams");
    line.add("from", from).add("what", what).add("revision", directory.revision().value());
    line.add("count", std::uint64_t{directory.size()});
    log_.info(line);
}

void CatalogLog::followBegun(const Endpoint &reader, unsigned hops)
{
    log_.info(StructuredLine("follow").add("reader", reader.value()).add("hops", std::uint64_t{hops}));
}

void CatalogLog::followEnded(const Endpoint &reader, std::string_view why, Duration unheard)
{
    StructuredLine line("follow");
    line.add("reader", "none").add("was", reader.value()).add("why", why).add("unheard_ms", millisecondsOf(unheard));
    log_.info(line);
}

void CatalogLog::storeState(StoreState state)
{
    log_.info(StructuredLine("store").add("state", toString(state)));
    metrics_.set("egretpath_store_state", {}, static_cast<double>(state));
}

void CatalogLog::cutOff(bool cut)
{
    log_.warning(StructuredLine("cut-off").add("state", cut ? "cut" : "back"));
}

void CatalogLog::reads(bool reads)
{
    metrics_.set("egretpath_reads_store", {}, reads ? 1.0 : 0.0);
}

void CatalogLog::storeCalled(std::string_view call, std::string_view outcome)
{
    std::string labels = "call=\"";
    labels.append(call).append("\",outcome=\"").append(outcome).append("\"");
    metrics_.count("egretpath_store_calls_total", labels);
}

void CatalogLog::sourceLost(std::string_view why)
{
    log_.warning(StructuredLine("platform").add("state", "lost").add("why", why));
}

void CatalogLog::sourceBack(Duration away)
{
    log_.info(StructuredLine("platform").add("state", "back").add("away_ms", millisecondsOf(away)));
}

void CatalogLog::caughtUp(const Endpoint &peer)
{
    metrics_.count("egretpath_catalog_catch_ups_total");
    log_.warning(StructuredLine("catch-up").add("peer", peer.value()));
}

void CatalogLog::entryRefused(std::string_view key, std::string_view why)
{
    metrics_.count("egretpath_entries_refused_total");
    log_.warning(StructuredLine("entry-refused").add("key", key).add("why", why));
}

}
