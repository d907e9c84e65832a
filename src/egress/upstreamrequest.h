#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "egress/egressrole.h"
#include "http/httpclientcall.h"
#include "quarantine/requestname.h"

namespace Egretpath
{

/// One request at the egress, from its arrival to its outcome.
///
/// Thread safety: none. Precondition: the role outlives run(); a request that is destroyed in the middle of it, with
/// the event loop, may outlive the role.
class UpstreamRequest : public std::enable_shared_from_this<UpstreamRequest>
{
public:
    UpstreamRequest(EgressRole &role, CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                    std::shared_ptr<Cancellation> cancellation);
    ~UpstreamRequest();
    UpstreamRequest(const UpstreamRequest &) = delete;
    UpstreamRequest &operator=(const UpstreamRequest &) = delete;

    boost::asio::awaitable<CallOutcome> run();
    /// No answer of the upstream is waited for any more. Precondition: the upstream has the request.
    void endBecause(Failure failure);
    /// Why the request must not be run since it ends upstreams; nothing if it may be.
    [[nodiscard]] std::optional<Failure> quarantineRejection();

private:
    /// What the request asks of the upstream's slots.
    [[nodiscard]] WorkOffer makeOffer() const;
    /// Takes a slot. Returns why the request goes no further, or nothing.
    boost::asio::awaitable<std::optional<Failure>> admit();
    /// Connects and exchanges.
    boost::asio::awaitable<Result<CallOutcome>> attempt(HttpConnectionChoice choice);
    boost::asio::awaitable<std::optional<Failure>> connect(HttpConnectionChoice choice);
    /// Sends the request and reads its answer on one connection.
    boost::asio::awaitable<Result<CallOutcome>> exchange();
    boost::asio::awaitable<Result<CallOutcome>> readAnswer();
    boost::asio::awaitable<Result<CallOutcome>> stream(HttpResponseHead head, std::string first);
    boost::asio::awaitable<void> write(std::shared_ptr<UpstreamRequest> self);
    boost::asio::awaitable<void> stopWriting();
    [[nodiscard]] Result<CallOutcome> judge(HttpResponseHead head, std::string body,
                                            const UpstreamAnswerMetadata &metadata);
    [[nodiscard]] bool mayAskAgain(const Failure &failure) const;

    [[nodiscard]] HttpRequestHead upstreamHead() const;
    [[nodiscard]] CallOutcome outcome(std::variant<Failure, CompleteAnswer, StreamedAnswer> result) const;
    /// The upstream has the request, or has it no longer.
    void enterUpstream();
    void leaveUpstream(bool answered);
    [[nodiscard]] RequestContent content() const;
    /// Tells the role when the upstream takes much longer than it should.
    void watchDuration();
    void releaseSlot(bool answered);
    void logEnd(const CallOutcome &ended) const;

    EgressRole &role_;
    std::weak_ptr<const EgressRole::Life> roleLife_;
    CallHead head_;
    std::string body_;
    std::shared_ptr<AnswerReceiver> answer_;
    std::shared_ptr<Cancellation> cancellation_;
    CallId slot_;
    RequestName name_;
    TimePoint arrival_;
    TimePoint deadline_;
    TimePoint target_;
    TimePoint handedOver_;
    std::unique_ptr<HttpClientCall> upstream_;
    /// Never expires; cancelled when the request was written or its writing failed.
    boost::asio::steady_timer written_;
    /// Expires when the upstream takes much longer than it should.
    boost::asio::steady_timer overdueTimer_;
    bool holdsSlot_ = false;
    bool writing_ = false;
    bool atUpstream_ = false;
    bool overdue_ = false;
    /// Why the node itself ended it at the upstream.
    std::optional<Failure> ended_;
};

}
