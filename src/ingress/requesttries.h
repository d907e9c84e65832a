#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "http/httphead.h"
#include "idempotency/callstate.h"
#include "ingress/ingresscontext.h"
#include "ingress/requestparameters.h"
#include "messages/receivedbody.h"
#include "quarantine/lazyfingerprint.h"
#include "rpc/cancellation.h"

namespace Egretpath
{

/// A try: one sending of a request to the node beside an upstream.
struct RequestTry
{
    TryNumber number;
    UpstreamName upstream;
    Endpoint node;
    LinkKind link = LinkKind::InZone;
    /// The node may decline the request if it expects the answer to take longer than this. Zero: it may not decline.
    Duration declineThreshold{0};
    std::shared_ptr<Cancellation> cancellation;
    bool wasSent = false;
};
using RequestTryPointer = std::shared_ptr<RequestTry>;

/// How a try ended.
struct TryEnd
{
    RequestTryPointer requestTry;
    Result<CallOutcome> outcome;

    /// Returns why the try brought no answer; null if it brought one.
    [[nodiscard]] const Failure *failure() const;
};

/// The content that tries send, and the receiver of answers that are too large for one message.
struct TryContent
{
    ServiceName service;
    RequestBody body;
    std::function<std::shared_ptr<AnswerReceiver>(const RequestTry &)> makeReceiver;
};

/// The tries of one request. This class chooses an upstream for each try, sends the request, and decides whether
/// another try may follow a failed one.
///
/// Each try runs as a coroutine of its own. The coroutine keeps this object alive and reports the end of the try.
/// CallState guarantees that nothing is sent after the caller was answered. Thread safety: none.
class RequestTries : public std::enable_shared_from_this<RequestTries>
{
public:
    /// @p endedListener is called whenever a try has ended.
    RequestTries(std::shared_ptr<IngressContext> context, RequestParameters parameters, TryContent content,
                 CallState state, std::function<void()> endedListener);

    /// Starts a try of the request with @p head from @p caller. Returns why no try can be started, or nothing.
    [[nodiscard]] std::optional<Failure> start(const HttpRequestHead &head, const Endpoint &caller);
    [[nodiscard]] bool hasRunningTry() const { return !runningTries_.empty(); }
    [[nodiscard]] bool hasEndedTry() const { return !endedTries_.empty(); }
    /// Removes and returns the oldest end of a try. Precondition: hasEndedTry().
    [[nodiscard]] TryEnd takeEndedTry();
    void cancelAll();

    /// Whether a try at another upstream may still bring a better answer than @p answer.
    [[nodiscard]] bool mayRetryAfterAnswer(const CallOutcome &answer) const;
    /// Records that the try brought no answer for the caller. @p failure: the failure of the try, or the failure that
    /// its answer counts as.
    [[nodiscard]] NextStep recordFailure(const RequestTry &requestTry, const Failure &failure);
    /// Whether another try may follow a failed one. If so, its cost is taken from the retry budget.
    [[nodiscard]] bool mayRetry(const RequestTry &requestTry, const Failure &failure);

    [[nodiscard]] CallState &state() { return state_; }
    /// The number of tries, including declined ones. It may exceed the number of tries that were started; see
    /// tryCount_.
    [[nodiscard]] std::uint32_t tryCount() const { return tryCount_; }
    /// The upstream of the latest try that has not ended; empty if there is none.
    [[nodiscard]] UpstreamName lastUpstream() const
    {
        return runningTries_.empty() ? UpstreamName() : runningTries_.back()->upstream;
    }
    /// Whether the request can be placed anew as if it had not been tried: no upstream got it, and none will.
    [[nodiscard]] bool mayBePlacedAnew() const
    {
        return runningTries_.empty() && endedTries_.empty() && reachedUpstreams_.empty();
    }
    /// Returns the body, for other tries. Precondition: mayBePlacedAnew(). No try can be started afterwards.
    [[nodiscard]] RequestBody takeBody() { return std::exchange(content_.body, {}); }
    /// Releases the body once no other try can follow.
    void dropBody() { content_.body = {}; }
    /// The number of upstreams that may have got the request.
    [[nodiscard]] std::size_t reachedCount() const { return reachedUpstreams_.size(); }

private:
    [[nodiscard]] std::optional<PlacementChoice> choose(const std::vector<PlacementCandidate> &candidates);
    /// Returns why the request is refused because it crashes upstreams, or nothing if it may run.
    [[nodiscard]] std::optional<Failure> quarantineRejection(const HttpRequestHead &head);
    /// Returns why the request is refused without a try, or nothing if it is tried.
    [[nodiscard]] std::optional<Failure> shortageRejection();
    /// The number of tries after which the request is not tried again if it was refused as overloaded.
    [[nodiscard]] std::uint32_t maxTries() const;
    [[nodiscard]] RequestTryPointer makeTry(TryNumber number, const InstanceRecord &record,
                                            const PlacementChoice &choice) const;
    boost::asio::awaitable<void> send(RequestTryPointer requestTry, CallHead head, std::shared_ptr<RequestTries> self);
    boost::asio::awaitable<Result<CallOutcome>> sendLocally(RequestTryPointer requestTry, CallHead head);
    /// Sends the request to another node. A large body is sent only after the node accepted the request in a dry run.
    boost::asio::awaitable<Result<CallOutcome>> sendToPeer(RequestTryPointer requestTry, CallHead head);
    /// Asks the node whether it would take the request. Returns the end of the try if the node would not take it.
    boost::asio::awaitable<std::optional<Result<CallOutcome>>> sendDryRun(RequestTryPointer requestTry,
                                                                          CallHead dryRunHead);
    [[nodiscard]] bool permitSending(RequestTry &requestTry, CallHead &head);
    void setTimes(CallHead &head) const;
    [[nodiscard]] CallHead makeHead(const RequestTry &requestTry, const HttpRequestHead &request) const;
    void recordReached(const UpstreamName &upstream);
    [[nodiscard]] bool reachedUpstream(const RequestTry &requestTry, const Failure &failure) const;
    void logPlacement(const RequestTry &requestTry, const PlacementChoice &choice, const Endpoint &caller,
                      std::size_t candidateCount) const;

    std::shared_ptr<IngressContext> context_;
    RequestParameters parameters_;
    TryContent content_;
    CallState state_;
    std::function<void()> endedListener_;
    std::vector<RequestTryPointer> runningTries_;
    std::deque<TryEnd> endedTries_;
    /// Upstreams that may have got the request, those of them that failed it, and upstreams that declined it or can't
    /// take it.
    std::vector<UpstreamName> reachedUpstreams_;
    std::vector<UpstreamName> failedUpstreams_;
    std::vector<UpstreamName> declinedUpstreams_;
    /// The number of tries. It is raised to maxTries() - 1 when only upstreams that declined are left, so that no later
    /// try may be declined.
    std::uint32_t tryCount_ = 0;
    /// The upstream that last disconnected while it ran the request; empty if none did.
    UpstreamName disconnectedUpstream_;
    /// Whether a connection that was kept open was lost, so that further tries don't use one.
    bool needsNewConnection_ = false;
    LazyFingerprint fingerprint_;
};

}
