#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/httphead.h"

namespace Egretpath
{

/// How the body after a head is delimited.
struct MessageFraming
{
    /// Nothing for a chunked body.
    std::optional<std::uint64_t> contentLength;
    bool keepAlive = true;
    /// The message has no body at all and says no length, for example a 204 response or a GET request.
    bool bodiless = false;
};

/// The wire form of a head, with the framing fields from @p framing and all others from @p head. Host is set to
/// @p host when the head has none. Nothing when a name, value, method or target holds what no message may carry, so
/// that text from outside can't add header fields or requests. Thread safety: safe.
[[nodiscard]] std::optional<std::string> writeRequestHead(const HttpRequestHead &head, const MessageFraming &framing,
                                                          std::string_view host);
[[nodiscard]] std::optional<std::string> writeResponseHead(const HttpResponseHead &head, const MessageFraming &framing);

/// One chunk of a chunked body. Precondition: @p content is not empty. Thread safety: safe.
[[nodiscard]] std::string writeChunk(std::string_view content);
/// A piece of a body in wire form, in one or two writes.
struct BodyWrites
{
    std::string first;
    /// Empty when all went into the first.
    std::string second;
};

/// Joins @p pending, a head that has not left yet, with @p content. A large piece that is not chunked goes into a write
/// of its own, since copying it would cost more than the second write. Thread safety: safe.
[[nodiscard]] BodyWrites joinBodyPiece(std::string pending, std::string content, bool chunked);
/// What ends a chunked body. Thread safety: safe.
[[nodiscard]] std::string writeLastChunk();

}
