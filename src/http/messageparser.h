#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "http/httphead.h"
#include "http/readbuffer.h"

namespace Egretpath
{

/// Why a message was refused.
enum class MessageProblem : std::uint8_t {
    None,
    /// Not HTTP/1.x, a bad header field, ambiguous framing or bad chunking.
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// A version other than HTTP/1.1.
    VersionNotSupported,
};

/// Parses one request with Beast's parser. In addition it refuses requests that Beast accepts but that proxies
/// interpret differently: folded header fields, a Transfer-Encoding other than "chunked", and a missing or repeated
/// Host. Thread safety: none.
class RequestParser
{
public:
    RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);
    ~RequestParser();

    /// Parses and consumes as many bytes of @p buffer as possible. After a problem the parser must not be used again.
    [[nodiscard]] MessageProblem feed(ReadBuffer &buffer);
    [[nodiscard]] bool isHeadDone() const;
    [[nodiscard]] bool isDone() const;
    /// Precondition: isHeadDone().
    [[nodiscard]] const HttpRequestHead &head() const;
    /// Body bytes parsed since the last call.
    [[nodiscard]] std::string takeBody();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/// Parses one response with Beast's parser. Thread safety: none.
class ResponseParser
{
public:
    /// @p isHeadResponse says that the request was a HEAD request, whose response has no body.
    ResponseParser(std::uint32_t maxHeaderBytes, bool isHeadResponse);
    ~ResponseParser();

    /// As RequestParser::feed().
    [[nodiscard]] MessageProblem feed(ReadBuffer &buffer);
    [[nodiscard]] bool isHeadDone() const;
    [[nodiscard]] bool isDone() const;
    /// Whether the connection may serve another request. Precondition: isHeadDone().
    [[nodiscard]] bool keepAlive() const;
    /// Whether the body ends only when the server closes the connection. Precondition: isHeadDone().
    [[nodiscard]] bool needsEof() const;
    /// Finishes the message after an orderly close by the server, which ends a body without a length. Returns whether
    /// the message is complete.
    [[nodiscard]] bool finishAtEof();
    /// Precondition: isHeadDone().
    [[nodiscard]] HttpResponseHead takeHead();
    [[nodiscard]] std::uint16_t status() const;
    /// Body bytes parsed since the last call.
    [[nodiscard]] std::string takeBody();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
