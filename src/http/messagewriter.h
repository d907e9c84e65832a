#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/httphead.h"

namespace Egretpath
{

/// How the body after a head is delimited, and whether the connection stays open.
struct MessageFraming
{
    /// std::nullopt for a chunked body.
    std::optional<std::uint64_t> contentLength;
    bool keepAlive = true;
    /// The message has no body and states no length, for example a 204 response or a GET request.
    bool hasNoBody = false;
};

/// Returns the wire form of a head, with the framing fields from @p framing and all other fields from @p head.
/// writeRequestHead() sets Host to @p host if the head has none. Returns std::nullopt if a method, target, reason
/// phrase, field name or value is not valid HTTP, so that untrusted text can't add header fields or requests, and if
/// the status of a response is not final. Thread safety: safe.
[[nodiscard]] std::optional<std::string> writeRequestHead(const HttpRequestHead &head, const MessageFraming &framing,
                                                          std::string_view host);
[[nodiscard]] std::optional<std::string> writeResponseHead(const HttpResponseHead &head, const MessageFraming &framing);
/// Whether writeResponseHead() can write @p head. Thread safety: safe.
[[nodiscard]] bool isSendable(const HttpResponseHead &head);

/// Returns one chunk of a chunked body. Precondition: @p content is not empty. Thread safety: safe.
[[nodiscard]] std::string writeChunk(std::string_view content);
/// A piece of a body in wire form, in one or two writes.
struct BodyWrites
{
    std::string first;
    /// Empty if the first write has everything.
    std::string second;
};

/// Joins @p pendingHead, a head that was not sent yet, with @p content. A large piece that is not chunked gets a write
/// of its own, since copying it would cost more than the second write. Thread safety: safe.
[[nodiscard]] BodyWrites joinHeadAndBody(std::string pendingHead, std::string content, bool chunked);
/// Returns the last chunk, which ends a chunked body. Thread safety: safe.
[[nodiscard]] std::string writeLastChunk();

}
