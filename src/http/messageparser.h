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

/// Parses one request with Beast's parser and refuses what Beast takes but proxies disagree on: folded header fields,
/// Transfer-Encoding other than "chunked", and a missing or repeated Host. Thread safety: none.
class RequestParser
{
public:
    RequestParser(std::uint32_t headerLimit, std::uint64_t bodyLimit);
    ~RequestParser();

    /// Consumes what it can from @p buffer. Returns the problem; after one the parser is of no more use.
    [[nodiscard]] MessageProblem feed(ReadBuffer &buffer);
    [[nodiscard]] bool headDone() const;
    [[nodiscard]] bool done() const;
    /// Precondition: headDone().
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
    /// @p bodiless: the response to a HEAD request.
    ResponseParser(std::uint32_t headerLimit, bool bodiless);
    ~ResponseParser();

    /// As RequestParser::feed().
    [[nodiscard]] MessageProblem feed(ReadBuffer &buffer);
    [[nodiscard]] bool headDone() const;
    [[nodiscard]] bool done() const;
    /// Whether the connection may serve another request. Precondition: headDone().
    [[nodiscard]] bool keepAlive() const;
    /// Whether only the end of the connection would end the body. Precondition: headDone().
    [[nodiscard]] bool endsWithConnection() const;
    /// The connection ended in good order: the end of a body without a length. Returns whether the message is whole.
    [[nodiscard]] bool finishAtEnd();
    /// Precondition: headDone().
    [[nodiscard]] HttpResponseHead takeHead();
    [[nodiscard]] std::uint16_t status() const;
    /// Body bytes parsed since the last call.
    [[nodiscard]] std::string takeBody();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
