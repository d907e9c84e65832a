#include "sidecar/cataloglog.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

constexpr const char *UpdateAgeMetric = "egretpath_news_age_seconds";
/// An entry may be as large as a value of the store, and be written again every second.
constexpr std::size_t MaxReasonBytes = 300;
constexpr std::size_t MaxRefusedEntries = 1000;
/// A timer that fires this late delays answers to other nodes by as much.
constexpr Milliseconds MinCountedHoldUp{50};
constexpr std::chrono::minutes RepeatedLogInterval{1};

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

void CatalogLog::logRoutes(const RouteTable &table, RouteVersion versionBefore, const UpdateOrigin &origin)
{
    StructuredLine line("routes");
    line.add("version", table.version().value()).add("before", versionBefore.value());
    line.add("count", std::uint64_t{table.routeCount()});
    line.add("from", origin.from).add("bytes", std::uint64_t{origin.bytes}).add("age_ms", millisecondsOf(origin.age));
    line.add("transfer_ms", millisecondsOf(origin.transferTime)).add("parse_ms", millisecondsOf(origin.parseTime));
    line.add("held_up_ms", millisecondsOf(std::exchange(longestHoldUp_, Duration{0})));
    log_.info(line);
    metrics_.set("egretpath_routes_version", {}, static_cast<double>(table.version().value()));
    if (versionBefore.value() > 0) {
        metrics_.record(UpdateAgeMetric, R"(what="routes")", origin.age);
    }
}

void CatalogLog::logUnknownKinds(const RouteTable &table)
{
    std::size_t count = 0;
    std::string first;
    table.forEachRoute([&](const std::string &host, const Route &route) {
        if (route.isKindUnknown && count++ == 0) {
            first = host + route.prefix;
        }
    });
    if (count > 0) {
        StructuredLine line("kind-unknown");
        line.add("routes", std::uint64_t{count}).add("first", first).add("read_as", toString(RequestKind::Unsafe));
        log_.warning(line);
    }
}

void CatalogLog::logUnknownRegions(const RouteTable &table, const std::vector<ZoneRegion> &zones)
{
    std::set<RegionName> known;
    for (const ZoneRegion &zone : zones) {
        known.insert(zone.region);
    }
    table.forEachRoute([this, &known](const std::string &host, const Route &route) {
        for (const RegionName &region : route.regions.names()) {
            if (known.insert(region).second) {
                StructuredLine line("region-unknown");
                line.add("region", region.value()).add("route", route.name.value()).add("host", host);
                log_.warning(line);
            }
        }
    });
}

void CatalogLog::logEvacuations(const EvacuatedZones &evacuated, const std::vector<ZoneRegion> &zones,
                                std::string_view from)
{
    for (const Evacuation &evacuation : evacuated.snapshot().evacuations) {
        const ZoneName &zone = evacuation.zone;
        const bool isKnown =
            std::any_of(zones.begin(), zones.end(), [&](const auto &entry) { return entry.zone == zone; });
        if (!isKnown) {
            log_.warning(StructuredLine("zone-unknown").add("zone", zone.value()).add("why", "it is evacuated"));
        }
    }
    StructuredLine line("evacuated");
    line.add("zones", toString(evacuated)).add("from", from).add("revision", evacuated.lastChange().value());
    log_.info(line);
    metrics_.set("egretpath_zones_evacuated", {}, static_cast<double>(evacuated.size()));
}

void CatalogLog::logUpstreamChange(const InstanceChange &change, const UpdateOrigin &origin)
{
    StructuredLine line("upstream");
    line.add("id", change.id.value()).add("revision", change.revision.value()).add("state", stateOf(change));
    line.add("age_ms", millisecondsOf(origin.age));
    log_.info(line);
}

void CatalogLog::recordListAge(const UpdateOrigin &origin)
{
    metrics_.record(UpdateAgeMetric, R"(what="list")", origin.age);
}

void CatalogLog::logList(const InstanceDirectory &directory, std::string_view from, std::string_view change)
{
    StructuredLine line("upstreams");
    line.add("from", from).add("what", change).add("revision", directory.revision().value());
    line.add("count", std::uint64_t{directory.size()});
    log_.info(line);
}

void CatalogLog::logFollowStarted(const Endpoint &followed, unsigned hops, const Endpoint &reader,
                                  Duration sinceStoreRead)
{
    StructuredLine line("follow");
    line.add("reader", followed.value()).add("hops", std::uint64_t{hops});
    line.add("reads_store", reader.value()).add("store_read_ms", millisecondsOf(sinceStoreRead));
    log_.info(line);
}

void CatalogLog::logFollowEnded(const Endpoint &followed, std::string_view reason, Duration silentFor)
{
    StructuredLine line("follow");
    line.add("reader", "none")
        .add("was", followed.value())
        .add("why", reason)
        .add("unheard_ms", millisecondsOf(silentFor));
    log_.info(line);
}

void CatalogLog::logOverdueAnswer(const Endpoint &overdue, const Endpoint &queried)
{
    log_.info(StructuredLine("overdue").add("source", overdue.value()).add("queried", queried.value()));
    metrics_.count("egretpath_source_overdue_total");
}

void CatalogLog::logStoreProbe(bool isReachable)
{
    log_.info(StructuredLine("probe").add("reachable", isReachable ? "yes" : "no"));
}

void CatalogLog::logSearchBegan(const Endpoint &lastReader)
{
    log_.info(StructuredLine("search").add("state", "began").add("reads_store", lastReader.value()));
}

void CatalogLog::logSearchEnded(std::string_view source, Duration lasted)
{
    StructuredLine line("search");
    line.add("state", "ended").add("source", source).add("for_ms", millisecondsOf(lasted));
    log_.info(line);
    metrics_.record("egretpath_source_search_seconds", {}, lasted);
}

void CatalogLog::logStoreState(StoreState state)
{
    log_.info(StructuredLine("store").add("state", toString(state)));
    metrics_.set("egretpath_store_state", {}, static_cast<double>(state));
}

void CatalogLog::logCutOff(bool isCutOff)
{
    log_.warning(StructuredLine("cut-off").add("state", isCutOff ? "cut" : "back"));
}

void CatalogLog::setReadsStore(bool readsStore)
{
    metrics_.set("egretpath_reads_store", {}, readsStore ? 1.0 : 0.0);
}

void CatalogLog::countStoreCall(std::string_view call, std::string_view outcome)
{
    std::string labels = "call=\"";
    labels.append(call).append("\",outcome=\"").append(outcome).append("\"");
    metrics_.count("egretpath_store_calls_total", labels);
}

void CatalogLog::logSourceLost(std::string_view reason, Duration silentFor)
{
    StructuredLine line("platform");
    line.add("state", "lost").add("why", reason).add("unheard_ms", millisecondsOf(silentFor));
    log_.warning(line);
}

void CatalogLog::logStoreOverdue(Duration silentFor)
{
    log_.info(StructuredLine("platform").add("state", "overdue").add("unheard_ms", millisecondsOf(silentFor)));
    metrics_.count("egretpath_store_overdue_total");
}

void CatalogLog::logWatchSilent(const SilentWatch &silent)
{
    log_.info(StructuredLine("platform")
                  .add("state", "watch-silent")
                  .add("keys", silent.keys)
                  .add("found_by", silent.foundBy)
                  .add("waited_ms", millisecondsOf(silent.waited)));
    metrics_.count("egretpath_store_watch_silent_total");
}

void CatalogLog::logSourceRestored(Duration lostFor)
{
    log_.info(StructuredLine("platform").add("state", "back").add("away_ms", millisecondsOf(lostFor)));
}

void CatalogLog::logCatchUp(const Endpoint &peer)
{
    metrics_.count("egretpath_catalog_catch_ups_total");
    log_.warning(StructuredLine("catch-up").add("peer", peer.value()));
}

void CatalogLog::recordHoldUp(Duration length)
{
    longestHoldUp_ = std::max(longestHoldUp_, length);
    if (length >= MinCountedHoldUp) {
        metrics_.record("egretpath_loop_held_up_seconds", {}, length);
    }
}

void CatalogLog::logRefusedEntry(std::string_view key, std::string_view reason)
{
    metrics_.count("egretpath_entries_refused_total");
    const std::string shortReason(reason.substr(0, MaxReasonBytes));
    if (refusedEntries_.size() >= MaxRefusedEntries) {
        refusedEntries_.clear();
    }
    RefusedEntry &last = refusedEntries_[std::string(key)];
    const TimePoint now = currentTime();
    if (last.reason == shortReason && now - last.loggedAt < RepeatedLogInterval) {
        return;
    }
    last = {shortReason, now};
    log_.warning(StructuredLine("entry-refused").add("key", key).add("why", shortReason));
}

}
