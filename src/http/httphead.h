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
/// When the head is sent, framing fields in `headers` (Content-Length, Transfer-Encoding, Connection, Keep-Alive,
/// Expect) are left out; Content-Length, Transfer-Encoding and Connection are written from the members below. Host is
/// added if it is missing.
struct HttpRequestHead
{
    // The constructors keep this class from being an aggregate: g++ 12 destroys a temporary aggregate in a co_await
    // expression twice, which fails with "free(): invalid pointer". Temporaries of classes with constructors are not
    // affected.
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
    /// The length of the body in bytes; 0 for no body, std::nullopt for a chunked body of unknown length.
    std::optional<std::uint64_t> contentLength = 0;
    bool keepAlive = true;
};

/// The status line and header fields of a response. Framing fields are treated as in HttpRequestHead.
struct HttpResponseHead
{
    // The constructors keep this class from being an aggregate, as in HttpRequestHead.
    HttpResponseHead() = default;
    explicit HttpResponseHead(std::uint16_t responseStatus)
        : status(responseStatus)
    {
    }

    std::uint16_t status = 200;
    /// The reason phrase. If it is empty, the standard phrase for the status is sent.
    std::string reason;
    HttpHeaders headers;
    /// In a received head: the length of the body in bytes; std::nullopt if the response states none, as for a chunked
    /// body. Ignored in a head to be sent.
    std::optional<std::uint64_t> contentLength = std::nullopt;
};

}
