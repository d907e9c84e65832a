#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpexchange.h"
#include "ingress/ingresscontext.h"

namespace Egretpath
{

/// The limits on sending a request to a second upstream, which all nodes share.
struct RepeatLimits
{
    /// Repeats for each request.
    double ratio = 0.2;
    /// Repeats beside these, of all nodes together.
    double slack = 0.0;
};

/// The ingress role: takes requests from the callers of its VM, decides where each goes and gives each exactly one
/// answer.
///
/// Preconditions: references outlive the role and its requests. Thread safety: none.
class IngressRole
{
public:
    IngressRole(boost::asio::any_io_executor executor, IngressPlace place, IngressSources sources,
                const CallerDialect &dialect, EgressRole &egress, PeerClient &peers, EventLog &log, Metrics &metrics,
                Random random, const IngressDecisions &decisions = {});
    ~IngressRole();
    IngressRole(const IngressRole &) = delete;
    IngressRole &operator=(const IngressRole &) = delete;

    /// Serves one request of a caller; the handler of the callers' HTTP server.
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

    void setRepeatLimits(const RepeatLimits &limits);
    void setLinkPrices(const LinkPrices &prices) { context_->placement.setPrices(prices); }
    /// Call it after a change of the routes or the directory.
    void catalogChanged();
    /// Calls @p listener with each answer of another node, which tells what that has and refuses.
    void onOutcome(std::function<void(const Endpoint &, const CallOutcome &)> listener)
    {
        context_->outcomeListener = std::move(listener);
    }
    /// Calls @p listener when a caller is turned away since no routes are in force.
    void onNoRoutes(std::function<void()> listener) { context_->noRoutesListener = std::move(listener); }
    /// The process ends at @p end at the latest: refuses from now on what may outlast it.
    void beginStop(TimePoint end) { context_->stop.begin(end); }
    /// Refuses all new requests from now on.
    void close() { context_->stop.close(); }
    /// Requests that have not ended.
    [[nodiscard]] std::size_t openRequests() const { return context_->openRequests; }

private:
    void shareRepeatLimits();

    std::shared_ptr<IngressContext> context_;
    RepeatLimits repeatLimits_;
};

}
