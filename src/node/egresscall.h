#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "http/httpclientcall.h"
#include "node/egresscontroller.h"

namespace Egretpath
{

/// One call at the egress, from its arrival to its outcome.
///
/// The order is begin(), then the request and readAnswer(); every way out goes through a method that returns
/// the CallOutcome. Thread safety: none.
class EgressCall : public std::enable_shared_from_this<EgressCall>
{
public:
    EgressCall(EgressController &controller, CallHead head, std::shared_ptr<AnswerReceiver> answer,
               std::shared_ptr<Cancellation> cancellation);
    ~EgressCall();
    EgressCall(const EgressCall &) = delete;
    EgressCall &operator=(const EgressCall &) = delete;

    /// Passes the guard, the leaving check and the slots and connects to the upstream; after nothing was returned, the
    /// call counts as handed over. @p body takes part in the fingerprint of the request.
    /// Returns the outcome of a call that goes no further.
    boost::asio::awaitable<std::optional<CallOutcome>> begin(const std::string &body);

    boost::asio::awaitable<void> sendWhole(std::string body);
    [[nodiscard]] bool beginStreaming();
    boost::asio::awaitable<bool> sendPiece(std::string piece);
    boost::asio::awaitable<void> finishStreaming();
    /// Reads the answer and passes it on; the end of the call.
    boost::asio::awaitable<CallOutcome> readAnswer();
    /// Stops the work at the upstream.
    void cancelUpstream();

private:
    boost::asio::awaitable<std::optional<CallOutcome>> admit(const std::string &body);
    boost::asio::awaitable<std::optional<CallOutcome>> connect();
    [[nodiscard]] IncomingCall describe(const std::string &body) const;
    [[nodiscard]] HttpRequestHead upstreamHead() const;
    [[nodiscard]] CallOutcome outcome(std::variant<Failure, WholeAnswer, StreamedAnswer> result) const;
    [[nodiscard]] CallOutcome refused(Failure failure);
    [[nodiscard]] CallOutcome lost(Failure failure);
    [[nodiscard]] CallOutcome answered(WholeAnswer answer);
    boost::asio::awaitable<Result<CallOutcome>> receive();
    boost::asio::awaitable<Result<CallOutcome>> stream(AnswerHead head, std::string first);
    void releaseSlot(bool wasAnswered);
    void logPlacement(std::string_view decision, const Failure *failure) const;

    EgressController &controller_;
    CallHead head_;
    std::shared_ptr<AnswerReceiver> answer_;
    std::shared_ptr<Cancellation> cancellation_;
    TryId tryId_;
    CallId slot_;
    TimePoint arrival_;
    TimePoint deadline_;
    bool holdsSlot_ = false;
    bool begun_ = false;
    std::unique_ptr<HttpClientCall> upstream_;
};

}
