#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/httpexchange.h"
#include "ingress/answerwriter.h"
#include "ingress/ingresscontext.h"
#include "ingress/requestparameters.h"
#include "ingress/requesttries.h"
#include "messages/receivedbody.h"

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
    /// Answers the caller at once, as not run where that is proved, because the process ends. An answer that is under
    /// way goes on.
    void endWithProcess();
    /// Makes the request look again at what it waits for.
    void wake() { wakeUp_.cancel(); }
    /// Describes the request for the log of a process that ends before the request has.
    [[nodiscard]] CutRequest describeCut() const;

private:
    friend class StreamedAnswerRelay;

    /// Reads the head and the body. Returns why the request can't be sent, or nothing.
    boost::asio::awaitable<std::optional<Failure>> prepare();
    /// Returns why the node takes no new download, or nothing if it does or if this is none.
    [[nodiscard]] std::optional<Failure> downloadRejection();
    /// Waits for the requests before this one where its route asks for that. Returns why the request can't be sent, or
    /// nothing.
    boost::asio::awaitable<std::optional<Failure>> waitUntilSendable();
    void makeTries(RequestBody body);
    boost::asio::awaitable<void> tryUntilEnded();
    /// Delivers the answer, or decides whether another try follows. Returns whether the caller has its answer.
    boost::asio::awaitable<bool> handleTryEnd(TryEnd ended);
    /// Goes on after @p failure says that the node of @p requestTry has newer routes. Returns whether the caller has
    /// its answer.
    ///
    /// Guards against a request that is run by the former service of its route, or although its route was removed: the
    /// routes of this node are late.
    boost::asio::awaitable<bool> placeByNewerRoutes(const RequestTry &requestTry, const Failure &failure);
    boost::asio::awaitable<void> waitForNewerRoutes(const Endpoint &node);
    /// Sets the parameters by the active routes, if they have one for the request. Returns why it can't be sent by
    /// them, or nothing.
    [[nodiscard]] std::optional<Failure> adoptNewerRoutes();
    void finishStreamedAnswer(const TryEnd &ended);
    boost::asio::awaitable<void> waitForTryEnd();
    /// Waits until nothing is written to the exchange any more. Precondition: hasEnded_, and the writing fails or ends
    /// soon.
    boost::asio::awaitable<void> waitForWriters();
    void recordCallerDisconnected();

    boost::asio::awaitable<void> deliver(const RequestTry &requestTry, CallOutcome outcome);
    /// Whether the caller would read an answer of @p status as a promise that the request did not run, which nobody has
    /// proved: an upstream that has not run a request says so, and that is no answer.
    [[nodiscard]] bool isUnprovenPromise(std::uint16_t status) const;
    boost::asio::awaitable<void> giveUp(Failure failure);
    boost::asio::awaitable<void> respond(Failure failure);

    /// Records for DependentCalls how a call by the upstream beside the node ended.
    void recordCallEnd(const Failure &result);
    /// @p result: the failure, or a Failure that describes an answer. The detail of the latter names the upstream or
    /// says that the answer was sent in pieces.
    void logEnd(std::uint16_t status, const Failure &result, std::optional<std::uint64_t> answerBytes = std::nullopt);

    std::shared_ptr<IngressContext> context_;
    HttpExchange &exchange_;
    RequestParameters parameters_;
    ServiceName service_;
    /// Null until the request has been read.
    std::shared_ptr<RequestTries> tries_;
    std::shared_ptr<AnswerWriter> writer_;
    /// Wakes the loop at the deadline, or earlier when the timer is cancelled.
    boost::asio::steady_timer wakeUp_;
    bool isCallerDisconnected_ = false;
    bool isProcessEnding_ = false;
    /// Whether a part of a streamed answer was accepted. No other try may follow, and the deadline has no effect any
    /// more: an answer that is under way is delivered for as long as the caller takes it.
    bool isStreamed_ = false;
    std::uint64_t streamedBytes_ = 0;
    /// Set before the exchange is left to the server. From then on nothing may be written to it.
    bool hasEnded_ = false;
    /// The number of coroutines of StreamedAnswerRelay that write to the exchange.
    unsigned writerCount_ = 0;
};

}
