#include "ingress/ingressrole.h"

#include <algorithm>
#include <utility>

#include "core/currenttime.h"
#include "ingress/proxiedrequest.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// The tokens that a retry costs. A node that may save up fewer tokens could never send a retry.
constexpr double RetryCost = 1.0;

}

IngressRole::IngressRole(asio::any_io_executor executor, LocalNode localNode, IngressSources sources,
                         const CallerDialect &dialect, EgressRole &egress, PeerClient &peers, EventLog &log,
                         Metrics &metrics, Random random, const IngressDecisionSettings &decisions)
    : context_(std::make_shared<IngressContext>(std::move(executor), std::move(localNode), sources, dialect, egress,
                                                peers, log, metrics, random, decisions))
{
    updateRetryBudget();
}

IngressRole::~IngressRole() = default;

asio::awaitable<void> IngressRole::serve(HttpExchange &exchange)
{
    const auto request = std::make_shared<ProxiedRequest>(context_, exchange);
    co_await request->run();
}

void IngressRole::setRetryLimits(const RetryLimits &limits)
{
    retryLimits_ = limits;
    updateRetryBudget();
}

void IngressRole::catalogChanged()
{
    if (std::exchange(splitRoutes_, context_->sources.routes) != context_->sources.routes) {
        context_->split.clear();
    }
    context_->callerTimeouts.clear();
    context_->room.removeIdle(currentTime());
    updateRetryBudget();
    for (ProxiedRequest *request : context_->waitingForRoutes) {
        request->wake();
    }
}

void IngressRole::endRequests()
{
    for (ProxiedRequest *request : context_->openRequests) {
        context_->requestLog.recordCut(request->describeCut());
        request->endWithProcess();
    }
}

std::string IngressRole::shortServices() const
{
    std::string text;
    for (const RoomState &state : context_->room.shortServices(currentTime())) {
        text += (text.empty() ? "" : " ") + state.service.value() + "/" + std::to_string(state.priority) + "="
            + std::to_string(state.tries);
    }
    return text;
}

std::map<ServiceName, double> IngressRole::serviceRoom() const
{
    return context_->room.shares(currentTime());
}

/// All nodes share one retry limit, and keep it without exchanging messages. Each node may send retries for a share of
/// its own requests, plus the slack divided by the number of nodes. The number of listed upstreams is taken as the
/// number of nodes.
void IngressRole::updateRetryBudget()
{
    const double usedShare = context_->settings.usedRetryShare;
    const double nodeCount = std::max<double>(1.0, static_cast<double>(context_->sources.directory.size()));
    RetryBudgetSettings settings;
    settings.share = retryLimits_.ratio * usedShare;
    settings.serviceBurst = std::max(RetryCost, retryLimits_.slack * usedShare / nodeCount);
    // The limit applies to each service. An additional limit for the node would only leave a part of it unused.
    settings.nodeBurst = 1e9;
    context_->budget.setSettings(settings);
}

}
