#include "http/messagewriter.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace Egretpath
{

namespace
{

namespace http = boost::beast::http;

constexpr int HttpVersion = 11;
constexpr std::array<std::string_view, 5> FramingFieldNames{
    "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "Expect",
};

bool isTokenCharacter(char letter)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    const bool digit = letter >= '0' && letter <= '9';
    const bool alphabetic = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    return digit || alphabetic || Symbols.find(letter) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isControl(char letter)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto code = static_cast<unsigned char>(letter);
    return (code < FirstPrintable && letter != '\t') || code == Delete;
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), isControl);
}

bool isTarget(std::string_view text)
{
    const auto bad = [](char letter) { return letter == ' ' || letter == '\t' || isControl(letter); };
    return !text.empty() && std::none_of(text.begin(), text.end(), bad);
}

bool isFramingField(std::string_view name)
{
    return std::any_of(FramingFieldNames.begin(), FramingFieldNames.end(),
                       [name](std::string_view framing) { return isSameHeaderName(framing, name); });
}

bool areValid(const HttpHeaders &headers)
{
    return std::all_of(headers.begin(), headers.end(),
                       [](const HttpHeader &field) { return isToken(field.name) && isFieldValue(field.value); });
}

template<typename Message>
void addFields(Message &message, const HttpHeaders &headers, const MessageFraming &framing)
{
    for (const HttpHeader &field : headers) {
        if (!isFramingField(field.name)) {
            message.insert(field.name, field.value);
        }
    }
    message.keep_alive(framing.keepAlive);
    if (framing.hasNoBody) {
        return;
    }
    if (framing.contentLength) {
        message.content_length(*framing.contentLength);
    } else {
        message.chunked(true);
    }
}

template<bool IsRequest>
std::string serialized(http::message<IsRequest, http::empty_body> &message)
{
    http::serializer<IsRequest, http::empty_body> serializer(message);
    serializer.split(true);
    std::string text;
    boost::beast::error_code error;
    while (!serializer.is_header_done() && !error) {
        serializer.next(error, [&](boost::beast::error_code &, const auto &buffers) {
            text += boost::beast::buffers_to_string(buffers);
            serializer.consume(boost::beast::buffer_bytes(buffers));
        });
    }
    return text;
}

}

std::optional<std::string> writeRequestHead(const HttpRequestHead &head, const MessageFraming &framing,
                                            std::string_view host)
{
    if (!isToken(head.method) || !isTarget(head.target) || !areValid(head.headers)) {
        return std::nullopt;
    }
    http::request<http::empty_body> message;
    message.version(HttpVersion);
    message.method_string(head.method);
    message.target(head.target);
    if (!head.headers.contains("Host")) {
        message.set(http::field::host, boost::beast::string_view(host.data(), host.size()));
    }
    addFields(message, head.headers, framing);
    return serialized(message);
}

bool isSendable(const HttpResponseHead &head)
{
    constexpr std::uint16_t FirstFinalStatus = 200;
    constexpr std::uint16_t LastStatus = 599;
    const bool isFinalStatus = head.status >= FirstFinalStatus && head.status <= LastStatus;
    return isFinalStatus && isFieldValue(head.reason) && areValid(head.headers);
}

std::optional<std::string> writeResponseHead(const HttpResponseHead &head, const MessageFraming &framing)
{
    if (!isSendable(head)) {
        return std::nullopt;
    }
    http::response<http::empty_body> message;
    message.version(HttpVersion);
    message.result(head.status);
    message.reason(head.reason);
    addFields(message, head.headers, framing);
    return serialized(message);
}

std::string writeChunk(std::string_view content)
{
    return boost::beast::buffers_to_string(http::make_chunk(boost::asio::buffer(content.data(), content.size())));
}

BodyWrites joinHeadAndBody(std::string pendingHead, std::string content, bool chunked)
{
    constexpr std::size_t MaxJoinedBytes = std::size_t{16} * 1024;
    if (!chunked && pendingHead.empty()) {
        return {std::move(content), {}};
    }
    if (!chunked && content.size() > MaxJoinedBytes) {
        return {std::move(pendingHead), std::move(content)};
    }
    pendingHead += chunked ? writeChunk(content) : content;
    return {std::move(pendingHead), {}};
}

std::string writeLastChunk()
{
    return boost::beast::buffers_to_string(http::make_chunk_last());
}

}
