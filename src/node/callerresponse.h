#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/verdict.h"
#include "http/httpexchange.h"

namespace Egretpath
{

/// The HTTP status that fits @p failure. Thread safety: safe.
[[nodiscard]] std::uint16_t statusOf(const Failure &failure);

/// The head of the answer that tells a caller of @p failure: verdict, reason and when to come back.
/// Thread safety: safe.
[[nodiscard]] HttpResponseHead failureHead(const Failure &failure);

/// What a person reads of @p failure: verdict, reason and detail in one line. Thread safety: safe.
[[nodiscard]] std::string failureBody(const Failure &failure);

/// Sends failureHead() with failureBody(). Precondition: no response was begun.
boost::asio::awaitable<void> respondFailure(HttpExchange &exchange, Failure failure);

}
