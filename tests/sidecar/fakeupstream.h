#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpserver.h"
#include "listedupstream.h"

namespace Egretpath
{

/// A stand-in for the program of a service: it answers by path, counts its runs, and sends the platform's header
/// fields.
class FakeUpstream : public ListedUpstream
{
public:
    FakeUpstream(boost::asio::any_io_executor executor, std::string id);

    /// How often the request with this id was run.
    [[nodiscard]] int runs(const std::string &request) const;
    [[nodiscard]] int totalRuns() const;
    /// The value of the header field @p name of the last request; "none" if it was missing.
    [[nodiscard]] std::string lastHeader(const std::string &name) const;
    [[nodiscard]] int cancelledRuns() const { return cancelledRuns_; }
    /// How often the upstream has crashed.
    [[nodiscard]] int crashes() const { return crashes_; }

    /// Status of the answers; 503 is a refusal before anything ran.
    std::uint16_t status = 200;
    /// The duration of a run.
    Milliseconds runDuration{5};
    /// The connection is aborted once the request has run.
    bool disconnectsAfterRun = false;
    /// The same for each run whose number is a multiple of this; zero: for none.
    int disconnectsAfterEach = 0;
    /// Requests are neither answered nor counted, and their connections stay silent.
    bool neverAnswers = false;
    /// A run of a request for this path crashes the upstream with all requests that it holds. Empty: no request does.
    std::string crashesOn;
    /// The time from such a crash until the upstream listens again.
    Milliseconds restartTime{100};
    /// The size of the answers. Zero: they are short and repeat the request.
    std::size_t answerBytes = 0;
    /// The pause between two pieces of such an answer.
    Milliseconds piecePause{0};
    /// Whether such an answer announces its length.
    bool announcesLength = true;
    /// The connection is aborted after this many bytes of such an answer, as often as abortsLeft tells.
    std::size_t abortsAfter = 0;
    /// Upstreams may share it.
    std::shared_ptr<int> abortsLeft = std::make_shared<int>(0);
    /// The number of such answers that were sent completely.
    int finishedAnswers = 0;
    /// The content of such an answer.
    static std::string contentBetween(std::size_t begin, std::size_t end);
    /// Answers lack the digest that proves that they are the upstream's.
    bool omitsDigest = false;
    /// The requests a second that the upstream says it takes; empty if it names no limit.
    std::string namedLimit;
    /// How much longer the upstream is cold, as its health answers say; empty if they don't tell.
    std::string warmUpLeft;
    /// Whether the upstream says that it leaves.
    bool saysItLeaves = false;
    /// The slowdown that the upstream reports, in percent of the baseline.
    std::uint16_t slowdown = 100;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> sendLargeAnswer(HttpExchange &exchange, HttpResponseHead head);
    /// Closes everything as a crashing process does, and listens again after restartTime.
    boost::asio::awaitable<void> crash();
    void listen();
    static boost::asio::awaitable<void> waitForDisconnect(HttpExchange &exchange);

    boost::asio::any_io_executor executor_;
    std::map<std::string, int> runs_;
    HttpHeaders lastHeaders_;
    int cancelledRuns_ = 0;
    int runningRequests_ = 0;
    int crashes_ = 0;
    /// Null from a crash until the restart.
    std::unique_ptr<HttpServer> server_;
};

}
