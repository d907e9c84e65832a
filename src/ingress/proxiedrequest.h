#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/httpexchange.h"
#include "ingress/ingresscontext.h"
#include "ingress/requestparameters.h"
#include "ingress/requesttries.h"

namespace Egretpath
{

/// One request of a caller, from its head to the single answer that the caller gets.
///
/// RequestTries sends the request. A loop in this class decides what follows the end of each try. The verdict not-run
/// is given only if it is proved. Thread safety: none. Precondition: @p exchange outlives run().
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(std::shared_ptr<IngressContext> context, HttpExchange &exchange);
    ~ProxiedRequest();
    ProxiedRequest(const ProxiedRequest &) = delete;
    ProxiedRequest &operator=(const ProxiedRequest &) = delete;

    boost::asio::awaitable<void> run();

private:
    friend class StreamedAnswerRelay;

    /// Reads the head and the body. Returns why the request can't be sent, or nothing.
    boost::asio::awaitable<std::optional<Failure>> prepare();
    boost::asio::awaitable<std::optional<Failure>> readBody(std::string &body);
    void makeTries(std::string body);
    boost::asio::awaitable<void> tryUntilEnded();
    /// Delivers the answer, or decides whether another try follows. Returns whether the caller has its answer.
    boost::asio::awaitable<bool> handleTryEnd(TryEnd ended);
    void finishStreamedAnswer(const TryEnd &ended);
    boost::asio::awaitable<void> waitForTryEnd();
    void recordCallerDisconnected();

    boost::asio::awaitable<void> deliver(const RequestTry &requestTry, CallOutcome outcome);
    boost::asio::awaitable<void> giveUp(Failure failure);
    boost::asio::awaitable<void> respond(Failure failure);

    /// Records for DependentCalls how a call by the upstream beside the node ended.
    void recordCallEnd(const Failure &result);
    /// @p result: the failure, or a Failure that describes an answer. The detail of the latter names the upstream or
    /// says that the answer was sent in pieces.
    void logEnd(std::uint16_t status, const Failure &result);

    std::shared_ptr<IngressContext> context_;
    HttpExchange &exchange_;
    RequestParameters parameters_;
    ServiceName service_;
    /// Null until the request has been read.
    std::shared_ptr<RequestTries> tries_;
    /// Wakes the loop at the deadline, or earlier when the timer is cancelled.
    boost::asio::steady_timer wakeUp_;
    bool isCallerDisconnected_ = false;
    bool isStreamed_ = false;
};

}
