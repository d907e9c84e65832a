#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpserver.h"

namespace Egretpath
{

/// A service's own program: answers by path, counts what it ran, and says what upstreams say on the platform.
class FakeUpstream
{
public:
    FakeUpstream(boost::asio::any_io_executor executor, std::string id);

    [[nodiscard]] const std::string &id() const { return id_; }
    [[nodiscard]] const Endpoint &address() const { return address_; }
    /// How often the request with this id was run.
    [[nodiscard]] int runs(const std::string &request) const;
    [[nodiscard]] int totalRuns() const;
    /// Fields of the last request.
    [[nodiscard]] std::string lastField(const std::string &name) const;
    [[nodiscard]] int cancelled() const { return cancelled_; }
    /// How often it has ended.
    [[nodiscard]] int ends() const { return ends_; }

    /// Status of the answers; 503 is a refusal before anything ran.
    std::uint16_t status = 200;
    /// Time that a run takes.
    Milliseconds work{5};
    /// The connection breaks once the request has run.
    bool breaks = false;
    /// Requests are never answered, nor anything more on their connections, and not counted.
    bool loses = false;
    /// A run of a request with this path ends the upstream with all that it holds; empty: none does.
    std::string endsOn;
    /// From such an end until it is back.
    Milliseconds restartTime{100};
    /// Answers lack what proves that they are the upstream's.
    bool unsigned_ = false;
    std::uint16_t slowdown = 100;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    /// Ends as a process does that crashes, and comes back.
    boost::asio::awaitable<void> crash();
    void listen();
    static boost::asio::awaitable<void> neverAnswer(HttpExchange &exchange);

    boost::asio::any_io_executor executor_;
    std::string id_;
    std::map<std::string, int> runs_;
    HttpHeaders lastHeaders_;
    int cancelled_ = 0;
    int running_ = 0;
    int ends_ = 0;
    Endpoint address_{"127.0.0.1:0"};
    /// Null while it is not there.
    std::unique_ptr<HttpServer> server_;
};

}
