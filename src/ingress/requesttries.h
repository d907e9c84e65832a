#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "http/httphead.h"
#include "idempotency/callstate.h"
#include "ingress/ingresscontext.h"
#include "ingress/requestterms.h"
#include "quarantine/requestname.h"
#include "rpc/cancellation.h"

namespace Egretpath
{

/// One sending of a request to the node beside an upstream.
struct RequestTry
{
    TryNumber number;
    UpstreamName upstream;
    Endpoint node;
    LinkKind link = LinkKind::InZone;
    /// The node may decline a request that it expects to take longer.
    Duration declineThreshold{0};
    std::shared_ptr<Cancellation> cancellation;
    bool sent = false;
};
using RequestTryPointer = std::shared_ptr<RequestTry>;

/// How a try ended.
struct TryEnd
{
    RequestTryPointer which;
    Result<CallOutcome> outcome;

    /// Why it brought no answer; null if it brought one.
    [[nodiscard]] const Failure *failure() const;
};

/// What tries send, and where their answers go if these are too large for one message.
struct TryContent
{
    ServiceName service;
    std::string body;
    std::function<std::shared_ptr<AnswerReceiver>(TryNumber)> makeReceiver;
};

/// The tries of one request: where each goes, how it is sent, and whether another may follow one that failed.
///
/// Tries run as coroutines of their own, which keep this alive, and report their ends. CallState keeps the promise that
/// nothing is sent after the caller was answered. Thread safety: none.
class RequestTries : public std::enable_shared_from_this<RequestTries>
{
public:
    /// @p ended is called after each end of a try.
    RequestTries(std::shared_ptr<IngressContext> context, RequestTerms terms, TryContent content, CallState state,
                 std::function<void()> ended);

    /// Starts a try for a request with @p head, which came from @p caller. Returns why none can be started, or nothing.
    [[nodiscard]] std::optional<Failure> start(const HttpRequestHead &head, const Endpoint &caller);
    [[nodiscard]] bool anyUnderWay() const { return !underWay_.empty(); }
    [[nodiscard]] bool anyEnded() const { return !ended_.empty(); }
    /// The oldest end that was not taken. Precondition: anyEnded().
    [[nodiscard]] TryEnd takeEnded();
    void cancelAll();

    /// Whether another upstream may still give a better answer than this one.
    [[nodiscard]] bool mayReplace(const CallOutcome &answer) const;
    /// The try brought nothing to give to the caller. @p shown: its failure, or what its answer counts for.
    [[nodiscard]] NextStep noteFailed(const RequestTry &which, const Failure &shown);
    /// Whether another try may follow one that failed; takes from the budget what it costs.
    [[nodiscard]] bool mayRepeat(const RequestTry &which, const Failure &failure);

    [[nodiscard]] CallState &state() { return state_; }
    /// Sendings, declined ones included, and upstreams that may have got the request.
    [[nodiscard]] std::uint32_t sendings() const { return asked_; }
    [[nodiscard]] std::size_t reached() const { return reached_.size(); }

private:
    [[nodiscard]] std::optional<PlacementChoice> choose(std::vector<PlacementCandidate> &candidates);
    [[nodiscard]] std::vector<PlacementCandidate> candidates() const;
    /// Why the request must not be run since it ends upstreams; nothing if it may be.
    [[nodiscard]] std::optional<Failure> quarantineRejection(const HttpRequestHead &head);
    [[nodiscard]] RequestTryPointer makeTry(TryNumber number, const InstanceRecord &record,
                                            const PlacementChoice &choice) const;
    boost::asio::awaitable<void> send(RequestTryPointer which, CallHead head, std::shared_ptr<RequestTries> self);
    boost::asio::awaitable<Result<CallOutcome>> sendHere(RequestTryPointer which, CallHead head);
    /// Sends to another node; a large body only after the node said that it would take the request.
    boost::asio::awaitable<Result<CallOutcome>> sendToPeer(RequestTryPointer which, CallHead head);
    /// Asks whether the node would take the request. Returns how the try ends if it would not.
    boost::asio::awaitable<std::optional<Result<CallOutcome>>> askFirst(RequestTryPointer which, CallHead query);
    [[nodiscard]] bool permitSending(RequestTry &which, CallHead &head);
    void stamp(CallHead &head) const;
    [[nodiscard]] CallHead makeHead(const RequestTry &which, const HttpRequestHead &request) const;
    [[nodiscard]] bool reachedUpstream(const RequestTry &which, const Failure &failure) const;
    void logPlacement(const RequestTry &which, const PlacementChoice &choice, const Endpoint &caller,
                      std::size_t candidateCount) const;

    std::shared_ptr<IngressContext> context_;
    RequestTerms terms_;
    TryContent content_;
    CallState state_;
    std::function<void()> endedListener_;
    std::vector<RequestTryPointer> underWay_;
    std::deque<TryEnd> ended_;
    /// Upstreams that may have got the request, and those that declined it or can't take it.
    std::vector<UpstreamName> reached_;
    std::vector<UpstreamName> declined_;
    std::uint32_t asked_ = 0;
    /// The upstream that last broke off while it ran the request; empty: none did.
    UpstreamName disconnectedUpstream_;
    RequestName name_;
};

}
