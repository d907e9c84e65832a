#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "node/blackboard.h"
#include "routing/probebudget.h"
#include "routing/probeplanner.h"
#include "rpc/peerclient.h"

namespace Egretpath
{

/// Sends the few probes that can change a decision, within the budgets of settings and table.
///
/// Preconditions: references outlive the controller. Thread safety: none.
class ProbeController
{
public:
    ProbeController(boost::asio::any_io_executor executor, Blackboard &board, PeerClient &peers);

    /// Probes until the node ends; spawn it once.
    boost::asio::awaitable<void> run();
    /// Takes the caps of the table in force.
    void tableChanged();

    [[nodiscard]] const ProbeBudget &budget() const { return budget_; }

private:
    void planAll();
    void planFor(const ServiceName &service, TimePoint now);
    boost::asio::awaitable<void> probe(UpstreamName upstream, Endpoint node);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    PeerClient &peers_;
    ProbeBudget budget_;
    ProbePlanner planner_;
};

}
