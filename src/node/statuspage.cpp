#include "node/statuspage.h"

#include <array>

#include <boost/json.hpp>

#include "core/currenttime.h"
#include "node/linklabel.h"

namespace Egretpath
{

namespace json = boost::json;

namespace
{

constexpr std::array<std::string_view, 3> StartStateWords{"asking", "fetching", "open"};
constexpr std::array<LinkKind, LinkKindCount> Links{LinkKind::InZone, LinkKind::BetweenZones, LinkKind::BetweenRegions};

json::value versionOf(const std::optional<TableVersion> &version)
{
    if (!version) {
        return nullptr;
    }
    return json::object{{"number", version->number.value()}, {"digest", toHex(version->digest)}};
}

std::optional<TableVersion> inForce(const Blackboard &board)
{
    if (!board.table) {
        return std::nullopt;
    }
    return board.table->version();
}

}

StatusPage::StatusPage(Blackboard &board, const EgressController &egress, const IngressController &ingress,
                       const TableController &tables, const VmListController &lists, const ProbeController &probes,
                       const PeerClient &peers, const PlatformClient &platform)
    : board_(board)
    , egress_(egress)
    , ingress_(ingress)
    , tables_(tables)
    , lists_(lists)
    , probes_(probes)
    , peers_(peers)
    , platform_(platform)
{
}

std::string StatusPage::json() const
{
    const LoadReport report = egress_.report();
    json::object probeBytes;
    for (const LinkKind link : Links) {
        probeBytes[toString(link)] = probes_.budget().count(link).bytes.value();
    }
    json::object status{
        {"upstream", board_.self.upstream.value()},
        {"incarnation", std::to_string(board_.self.incarnation.value())},
        {"region", board_.location.region.value()},
        {"zone", board_.location.zone.value()},
        {"start", StartStateWords.at(static_cast<std::size_t>(tables_.startState()))},
        {"table", versionOf(inForce(board_))},
        {"table_held", versionOf(tables_.heldVersion())},
        {"table_heard", versionOf(tables_.driver().exchange().heard())},
        {"table_refused", tables_.refusedTable()},
        {"table_conflict", tables_.driver().exchange().conflict().has_value()},
        {"vm_list", board_.membership.listVersion()},
        {"leaving", report.leaving},
        {"in_flight", report.inFlight},
        {"queued", report.queued},
        {"slots", report.slots},
        {"open_calls", ingress_.openCalls()},
        {"peer_connections", peers_.connectionCount()},
        {"peer_bytes", peers_.bytesTransferred()},
        {"table_bytes", tables_.driver().bytes()},
        {"vm_list_bytes", lists_.driver().bytes()},
        {"platform_reads", platform_.counts().reads},
        {"platform_watches", platform_.counts().watches},
        {"probe_bytes", std::move(probeBytes)},
    };
    if (const auto confirmed = tables_.driver().exchange().confirmedAt()) {
        const auto age = currentTime() - *confirmed;
        status["confirmed_ms"] = std::chrono::duration_cast<Milliseconds>(age).count();
    }
    return json::serialize(status) + "\n";
}

std::string StatusPage::metrics() const
{
    gatherMetrics();
    return board_.metrics.text();
}

void StatusPage::gatherMetrics() const
{
    const LoadReport report = egress_.report();
    Metrics &metrics = board_.metrics;
    metrics.set("egretpath_in_flight", "", report.inFlight);
    metrics.set("egretpath_queued", "", report.queued);
    metrics.set("egretpath_slots", "", report.slots);
    metrics.set("egretpath_leaving", "", report.leaving ? 1 : 0);
    metrics.set("egretpath_peer_connections", "", static_cast<double>(peers_.connectionCount()));
    metrics.set("egretpath_peer_bytes", "", static_cast<double>(peers_.bytesTransferred()));
    metrics.set("egretpath_table_bytes", "", static_cast<double>(tables_.driver().bytes()));
    metrics.set("egretpath_vm_list_bytes", "", static_cast<double>(lists_.driver().bytes()));
    metrics.set("egretpath_platform_reads", "", static_cast<double>(platform_.counts().reads));
    metrics.set("egretpath_platform_watches", "", static_cast<double>(platform_.counts().watches));
    metrics.set("egretpath_log_decisions_dropped", "", static_cast<double>(board_.log.droppedDecisions()));
    metrics.set("egretpath_membership_bytes", "", static_cast<double>(board_.membership.memoryBytes()));
    for (const LinkKind link : Links) {
        const std::string labels = linkLabel(link);
        metrics.set("egretpath_probe_bytes", labels, static_cast<double>(probes_.budget().count(link).bytes.value()));
        metrics.set("egretpath_probes_denied", labels, static_cast<double>(probes_.budget().count(link).denied));
    }
}

}
