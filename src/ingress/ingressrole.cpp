#include "ingress/ingressrole.h"

#include <algorithm>
#include <utility>

#include "ingress/proxiedrequest.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// What a repeat costs. A node that may save up less could never send one.
constexpr double OneRepeat = 1.0;

}

IngressRole::IngressRole(asio::any_io_executor executor, IngressPlace place, IngressSources sources,
                         const CallerDialect &dialect, EgressRole &egress, PeerClient &peers, EventLog &log,
                         Metrics &metrics, Random random, const IngressDecisions &decisions)
    : context_(std::make_shared<IngressContext>(std::move(executor), std::move(place), sources, dialect, egress, peers,
                                                log, metrics, random, decisions))
{
    shareRepeatLimits();
}

IngressRole::~IngressRole() = default;

asio::awaitable<void> IngressRole::serve(HttpExchange &exchange)
{
    const auto request = std::make_shared<ProxiedRequest>(context_, exchange);
    co_await request->run();
}

void IngressRole::setRepeatLimits(const RepeatLimits &limits)
{
    repeatLimits_ = limits;
    shareRepeatLimits();
}

void IngressRole::catalogChanged()
{
    context_->split.clear();
    context_->patience.clear();
    shareRepeatLimits();
}

/// The nodes keep a limit that they share without talking: each spends a share of its own requests, and of the slack
/// what falls to one of as many nodes as there are upstreams.
void IngressRole::shareRepeatLimits()
{
    const double used = context_->settings.repeatsUsed;
    const double nodes = std::max<double>(1.0, static_cast<double>(context_->sources.directory.size()));
    RetryBudgetSettings settings;
    settings.share = repeatLimits_.ratio * used;
    settings.serviceBurst = std::max(OneRepeat, repeatLimits_.slack * used / nodes);
    // The limit is one for each service; a limit of the node beside it would only waste it.
    settings.nodeBurst = 1e9;
    context_->budget.setSettings(settings);
}

}
