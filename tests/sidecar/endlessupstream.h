#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/clock.h"
#include "listedupstream.h"

namespace Egretpath
{

/// Bytes in place of an answer, without end. "{id}" stands for the id of the request.
struct EndlessAnswer
{
    std::string name;
    std::string begin;
    /// Sent again and again after that, until the connection is closed. Empty: the upstream closes it at once.
    std::string repeated;
    /// The pause between two of them.
    Milliseconds pause{0};
    /// Whether requests get such an answer, or health checks; the others get a proper one.
    bool isForRequests = true;
    bool isForHealthChecks = false;
    /// Whether it says that the request was not run, so that this counts as no run.
    bool isRefusal = false;
    /// Whether the connection is closed by a reset, where it is closed at once.
    bool isReset = false;
};

/// A stand-in for an upstream in trouble, whose answers don't end. Thread safety: none.
class EndlessUpstream : public ListedUpstream
{
public:
    EndlessUpstream(boost::asio::any_io_executor executor, std::string id, EndlessAnswer answer);

    void setAnswer(EndlessAnswer answer) { answer_ = std::move(answer); }
    /// How often the request with this id was run.
    [[nodiscard]] int runs(const std::string &request) const;
    [[nodiscard]] int totalRuns() const;
    /// How long each connection was open on which an answer without end was sent, from its beginning. Those that are
    /// still open are included.
    [[nodiscard]] std::vector<Milliseconds> sendTimes() const;
    [[nodiscard]] bool isSending() const;

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    struct Sending
    {
        TimePoint began;
        TimePoint ended;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(Socket socket);
    static boost::asio::awaitable<void> sendAndClose(Socket socket, std::string bytes, bool isReset);
    boost::asio::awaitable<void> sendEndless(Socket socket, std::string request);

    boost::asio::any_io_executor executor_;
    EndlessAnswer answer_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::map<std::string, int> runs_;
    std::vector<std::shared_ptr<Sending>> sendings_;
};

}
