#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/httpexchange.h"
#include "ingress/ingresscontext.h"
#include "ingress/requestterms.h"
#include "ingress/requesttries.h"

namespace Egretpath
{

/// One request of a caller, from its head to the one answer that the caller gets.
///
/// RequestTries sends; one loop here decides what follows the end of each try. Not-run is said only if it is proved.
/// Thread safety: none. Precondition: @p exchange outlives run().
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

    /// Reads head and body. Returns why the request can't be sent, or nothing.
    boost::asio::awaitable<std::optional<Failure>> prepare();
    boost::asio::awaitable<std::optional<Failure>> readBody(std::string &body);
    void makeTries(std::string body);
    boost::asio::awaitable<void> tryUntilEnded();
    /// Returns whether the caller has its answer.
    boost::asio::awaitable<bool> evaluate(TryEnd ended);
    void endStreamed(const TryEnd &ended);
    boost::asio::awaitable<void> waitForTry();
    void recordCallerDisconnected();

    boost::asio::awaitable<void> deliver(const RequestTry &which, CallOutcome outcome);
    boost::asio::awaitable<void> giveUp(Failure failure);
    boost::asio::awaitable<void> respond(Failure failure);

    /// @p how: as a failure, or as an answer, whose detail names the upstream.
    void logEnd(std::uint16_t status, const Failure &how);

    std::shared_ptr<IngressContext> context_;
    HttpExchange &exchange_;
    RequestTerms terms_;
    ServiceName service_;
    /// Null until the request is read.
    std::shared_ptr<RequestTries> tries_;
    /// Wakes the loop at the deadline, or when it is cancelled.
    boost::asio::steady_timer wakeUp_;
    bool callerDisconnected_ = false;
    bool streamed_ = false;
};

}
