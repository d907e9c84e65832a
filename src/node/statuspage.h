#pragma once

#include <string>

#include "node/blackboard.h"
#include "node/egresscontroller.h"
#include "node/ingresscontroller.h"
#include "node/probecontroller.h"
#include "node/tablecontroller.h"
#include "node/vmlistcontroller.h"

namespace Egretpath
{

/// What operators and scrapers may see of a node. Read-only.
///
/// Preconditions: references outlive the page. Thread safety: none. Errors: none.
class StatusPage
{
public:
    StatusPage(Blackboard &board, const EgressController &egress, const IngressController &ingress,
               const TableController &tables, const VmListController &lists, const ProbeController &probes,
               const PeerClient &peers, const PlatformClient &platform);

    /// One JSON object: who the node is, which table is in force, whether it takes work, and its counters.
    [[nodiscard]] std::string json() const;
    /// All metrics in the text format of Prometheus.
    [[nodiscard]] std::string metrics() const;

private:
    void gatherMetrics() const;

    Blackboard &board_;
    const EgressController &egress_;
    const IngressController &ingress_;
    const TableController &tables_;
    const VmListController &lists_;
    const ProbeController &probes_;
    const PeerClient &peers_;
    const PlatformClient &platform_;
};

}
