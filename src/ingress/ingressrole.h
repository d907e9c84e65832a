#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpexchange.h"
#include "ingress/ingresscontext.h"

namespace Egretpath
{

/// The limits on retries, which are requests sent to a second upstream. All nodes share these limits.
struct RetryLimits
{
    /// Maximum number of retries for each request, on average over all requests.
    double ratio = 0.2;
    /// Maximum number of additional retries of all nodes together.
    double slack = 0.0;
};

/// The ingress role of a node. It takes requests from the callers on its VM, chooses an upstream for each, and gives
/// each request exactly one answer.
///
/// Preconditions: references outlive the role and its requests. Thread safety: none.
class IngressRole
{
public:
    IngressRole(boost::asio::any_io_executor executor, LocalNode localNode, IngressSources sources,
                const CallerDialect &dialect, EgressRole &egress, PeerClient &peers, EventLog &log, Metrics &metrics,
                Random random, const IngressDecisionSettings &decisions = {});
    ~IngressRole();
    IngressRole(const IngressRole &) = delete;
    IngressRole &operator=(const IngressRole &) = delete;

    /// Serves one request of a caller. This is the handler of the HTTP server for callers.
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

    void setRetryLimits(const RetryLimits &limits);
    void setLinkPrices(const LinkPrices &prices) { context_->placement.setPrices(prices); }
    /// Large answers to callers are sent through @p pacer, which has to outlive the role's requests. Null: all answers
    /// are sent at once.
    void setLinkPacer(LinkPacer *pacer) { context_->linkPacer = pacer; }
    /// Sets what limits the answers that the node holds for readers. Without it nothing does.
    void setHeldAnswers(std::weak_ptr<HeldAnswers> held) { context_->heldAnswers = std::move(held); }
    /// Sets what counts and limits the bodies and answers that the node holds. Without it a node holds up to 4 GiB.
    void setHeldMessages(std::shared_ptr<HeldMessages> held) { context_->heldMessages = std::move(held); }
    /// Call this after the routes or the instance directory changed.
    void catalogChanged();
    /// Calls @p listener with each answer of another node. The answer carries the versions of that node's catalog and
    /// the digest of its quarantine.
    void onOutcome(std::function<void(const Endpoint &, const CallOutcome &)> listener)
    {
        context_->outcomeListener = std::move(listener);
    }
    /// @p mayLackRoutes tells whether other nodes may have routes that this node lacks. While it returns true, a
    /// request that no route takes is refused as not run, with a retry delay, since a caller takes "not found" as
    /// final.
    void setMayLackRoutes(std::function<bool()> mayLackRoutes) { context_->mayLackRoutes = std::move(mayLackRoutes); }
    /// Calls @p listener when a request is refused because no routes are active yet.
    void onNoRoutes(std::function<void()> listener) { context_->noRoutesListener = std::move(listener); }
    /// Calls @p listener with a node that has newer routes than this one. Requests wait for them.
    void onOlderRoutes(std::function<void(const Endpoint &)> listener)
    {
        context_->olderRoutesListener = std::move(listener);
    }
    /// Begins a planned stop. From now on, requests that may not be answered at @p answersDue are refused; see
    /// StopAdmission::begin().
    void beginStop(TimePoint answersDue, TimePoint estimatesUntil) { context_->stop.begin(answersDue, estimatesUntil); }
    /// Refuses all new requests from now on.
    void close() { context_->stop.close(); }
    /// Returns the services that are short of capacity, in the form "ordering/1=2": its requests of priority 1 make at
    /// most two tries each, and those of lower priorities no more. Zero tries: they are refused at once.
    [[nodiscard]] std::string shortServices() const;
    /// Returns the share of the recent tries that found capacity for each service; 1 without tries.
    [[nodiscard]] std::map<ServiceName, double> serviceRoom() const;
    /// Ends all requests since the process ends, and writes a log line for each. Their answers are written within some
    /// turns of the event loop.
    void endRequests();
    /// Returns the number of requests that have not ended.
    [[nodiscard]] std::size_t openRequests() const { return context_->openRequests.size(); }

private:
    void updateRetryBudget();

    std::shared_ptr<IngressContext> context_;
    RetryLimits retryLimits_;
    /// The routes whose splits are under way.
    RouteTablePointer splitRoutes_;
};

}
