#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/strongtype.h"
#include "http/httpexchange.h"
#include "http/httpserver.h"

namespace Egretpath
{

/// The single-threaded event loop of a stand-in program, with what all of them do: listen, print the address, stop on
/// SIGTERM. Thread safety: none.
class StandinProgram
{
public:
    [[nodiscard]] boost::asio::any_io_executor executor() { return context_.get_executor(); }

    /// Serves @p handler at @p endpoint, prints "listening ADDRESS" and runs until SIGTERM or SIGINT. Then requests
    /// that are in flight may finish within a limit of some seconds. Returns the exit code of the program.
    int serve(const Endpoint &endpoint, HttpServer::Handler handler);

private:
    boost::asio::io_context context_{1};
};

/// Resumes the caller after @p duration.
[[nodiscard]] boost::asio::awaitable<void> sleepFor(Duration duration);
/// Reads the complete request body. Errors: as HttpExchange::readBody().
[[nodiscard]] boost::asio::awaitable<Result<std::string>> readCompleteBody(HttpExchange &exchange);
/// Sends a short text; ignores a caller that has disconnected.
[[nodiscard]] boost::asio::awaitable<void> respondText(HttpExchange &exchange, std::uint16_t status, std::string text);

}
