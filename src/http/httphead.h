#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "http/httpheaders.h"

namespace Egretpath
{

/// The start line and header fields of a request.
///
/// When sent, the framing fields (Content-Length, Transfer-Encoding, Connection, Expect) in `headers` are left out and
/// written from the members below; Host is added when it is missing.
struct HttpRequestHead
{
    // Declared, so that this is no aggregate: g++ 12 destroys a temporary aggregate in a co_await expression twice,
    // which shows as "free(): invalid pointer". Temporaries of class types with constructors are not affected.
    HttpRequestHead() = default;
    HttpRequestHead(std::string requestMethod, std::string requestTarget)
        : method(std::move(requestMethod))
        , target(std::move(requestTarget))
    {
    }

    std::string method = "GET";
    /// Path and query, for example "/statements/17?year=2".
    std::string target = "/";
    HttpHeaders headers;
    /// The length of the body in bytes; 0 for none, nothing for a chunked body of unknown length.
    std::optional<std::uint64_t> contentLength = 0;
    bool keepAlive = true;
};

/// The status line and header fields of a response. Framing fields are treated as in HttpRequestHead.
struct HttpResponseHead
{
    // No aggregate, as HttpRequestHead.
    HttpResponseHead() = default;
    explicit HttpResponseHead(std::uint16_t responseStatus)
        : status(responseStatus)
    {
    }

    std::uint16_t status = 200;
    /// When empty, the usual phrase for the status is sent.
    std::string reason;
    HttpHeaders headers;
    /// As received: the length of the body in bytes, nothing for a chunked body. Ignored when sent.
    std::optional<std::uint64_t> contentLength = std::nullopt;
};

}
