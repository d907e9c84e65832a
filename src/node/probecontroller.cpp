#include "node/probecontroller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "node/candidateset.h"
#include "node/sighting.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds PlanInterval{100};
constexpr Milliseconds ProbeLimit{500};
constexpr double SavedProbes = 2;
const double ProbeBytes = static_cast<double>(ProbePlannerSettings().probeSize.value());
/// A service without calls for this time is not probed.
constexpr Milliseconds UseMemory{2000};

ProbeBudgetSettings budgetOf(const Blackboard &board)
{
    ProbeBudgetSettings settings;
    settings.bytesPerSecond = static_cast<double>(board.settings.measuring.perSecond.value());
    double tableCap = 0;
    if (board.table) {
        for (const RegionPolicy &region : board.table->regions()) {
            if (region.region != board.location.region) {
                tableCap = std::max(tableCap, static_cast<double>(region.measureCap.value()));
            }
        }
    }
    settings.paidBytesPerSecond =
        std::min(tableCap, static_cast<double>(board.settings.measuring.paidPerSecond.value()));
    if (settings.bytesPerSecond > 0) {
        // Under a small budget the bucket must still hold a probe, or none could ever be sent.
        settings.burstSeconds = std::max(1.0, SavedProbes * ProbeBytes / settings.bytesPerSecond);
    }
    return settings;
}

}

ProbeController::ProbeController(asio::any_io_executor executor, Blackboard &board, PeerClient &peers)
    : executor_(std::move(executor))
    , board_(board)
    , peers_(peers)
    , budget_(budgetOf(board))
    , planner_(board.location, board.load, budget_)
{
}

asio::awaitable<void> ProbeController::run()
{
    asio::steady_timer timer(executor_);
    while (true) {
        if (board_.table) {
            planAll();
        }
        timer.expires_after(PlanInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void ProbeController::tableChanged()
{
    budget_.setSettings(budgetOf(board_));
}

void ProbeController::planAll()
{
    const TimePoint now = currentTime();
    std::erase_if(board_.serviceUse, [now](const auto &entry) { return now - entry.second > UseMemory; });
    for (const auto &[service, used] : board_.serviceUse) {
        planFor(service, now);
    }
}

void ProbeController::planFor(const ServiceName &service, TimePoint now)
{
    const CandidateSet set = candidatesOf(board_, service, now);
    for (const std::size_t index : planner_.plan(set.candidates, now)) {
        const UpstreamName &upstream = set.candidates[index].upstream;
        if (upstream == board_.self.upstream) {
            continue;
        }
        board_.load.onProbeSent(upstream, now);
        asio::co_spawn(executor_, probe(upstream, set.nodes[index]), asio::detached);
    }
}

asio::awaitable<void> ProbeController::probe(UpstreamName upstream, Endpoint node)
{
    const TimePoint sentAt = currentTime();
    const Result<PeerProbe> answer = co_await peers_.probe(node, sentAt + ProbeLimit);
    const TimePoint now = currentTime();
    if (!answer || answer.value().identity.upstream != upstream) {
        co_return;
    }
    recordSighting(board_, answer.value().identity, answer.value().report, sentAt, now);
    board_.load.onProbe(upstream, answer.value().report, now);
}

}
