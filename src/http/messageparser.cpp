#include "http/messageparser.h"

#include <functional>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace Egretpath
{

namespace
{

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using BeastView = boost::beast::string_view;

MessageProblem toMessageProblem(const ErrorCode &error)
{
    if (!error || error == http::error::need_more) {
        return MessageProblem::None;
    }
    if (error == http::error::header_limit) {
        return MessageProblem::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return MessageProblem::BodyTooLarge;
    }
    return MessageProblem::Malformed;
}

/// Collects the output of Beast's parser: the header fields in order, and the body without its framing.
template<bool IsRequest>
class CollectingParser : public http::basic_parser<IsRequest>
{
public:
    explicit CollectingParser(std::uint32_t maxHeaderBytes)
        : maxHeaderBytes_(maxHeaderBytes)
    {
        this->header_limit(maxHeaderBytes);
        this->eager(true);
    }

    MessageProblem feed(ReadBuffer &buffer)
    {
        if (this->is_done() || buffer.empty() || mayHoldPartialLastChunk(buffer)) {
            return MessageProblem::None;
        }
        input_ = buffer.unread();
        lastFieldEnd_ = 0;
        const bool headWasDone = this->is_header_done();
        ErrorCode error;
        const std::size_t used = this->put(boost::asio::buffer(input_.data(), input_.size()), error);
        buffer.consume(used);
        needsMore_ = error == http::error::need_more;
        if (!headWasDone && isHeaderTooLarge(used, buffer)) {
            return MessageProblem::HeaderTooLarge;
        }
        return toMessageProblem(error);
    }

    std::string takeBody() { return std::exchange(body_, {}); }

    HttpHeaders headers_;
    int version_ = 0;

protected:
    void on_field_impl(http::field, BeastView name, BeastView value, ErrorCode &error) override
    {
        if (this->is_header_done()) {
            return; // Trailer fields are not forwarded.
        }
        if (isFolded(name, value)) {
            error = http::error::bad_value;
            return;
        }
        lastFieldEnd_ = static_cast<std::size_t>(value.data() + value.size() - input_.data());
        headers_.add(std::string(name), std::string(value));
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &error) override { error = {}; }

    std::size_t on_body_impl(BeastView body, ErrorCode &error) override
    {
        error = {};
        body_.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, BeastView, ErrorCode &error) override { error = {}; }

    std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, ErrorCode &error) override
    {
        return on_body_impl(body, error);
    }

    void on_finish_impl(ErrorCode &error) override { error = {}; }

private:
    /// Whether the header field was folded over several lines. Beast unfolds such a value into its own memory, or skips
    /// a fold before the value. Proxies that treat the lines as separate would read a different message, so both forms
    /// are refused.
    bool isFolded(BeastView name, BeastView value) const
    {
        const std::less<const char *> before;
        const char *inputEnd = input_.data() + input_.size();
        if (before(value.data(), input_.data()) || before(inputEnd, value.data())) {
            return true;
        }
        const std::string_view gap(name.data() + name.size(), value.data() - (name.data() + name.size()));
        return gap.find_first_of("\r\n") != std::string_view::npos;
    }

    /// Whether the unread bytes are too few for a last chunk. After Beast has asked for more bytes of a last chunk, it
    /// asserts that at least the five bytes of "0\r\n\r\n" are present. A peer that sends them one by one violates the
    /// assertion, and a process built with assertions would abort. No chunk that the parser waits for is complete in
    /// fewer than five bytes, so waiting for five causes no delay.
    bool mayHoldPartialLastChunk(const ReadBuffer &buffer) const
    {
        constexpr std::size_t LastChunkBytes = 5;
        return needsMore_ && this->is_header_done() && buffer.unread().size() < LastChunkBytes;
    }

    /// Checks the limit over all bytes of the head. Beast compares its limit only with the bytes not yet parsed, so a
    /// head that arrives in pieces would never reach it.
    bool isHeaderTooLarge(std::size_t used, const ReadBuffer &buffer)
    {
        if (this->is_header_done()) {
            return headerBytes_ + lastFieldEnd_ > maxHeaderBytes_;
        }
        headerBytes_ += used;
        return headerBytes_ + buffer.unread().size() > maxHeaderBytes_;
    }

    std::uint32_t maxHeaderBytes_;
    bool needsMore_ = false;
    /// Bytes of the head consumed by earlier calls of feed().
    std::size_t headerBytes_ = 0;
    /// Offset in input_ at which the last header field ends.
    std::size_t lastFieldEnd_ = 0;
    std::string_view input_;
    std::string body_;
};

bool hasSupportedTransferEncoding(const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers) {
        if (isSameHeaderName(field.name, "Transfer-Encoding") && !isSameHeaderName(field.value, "chunked")) {
            return false;
        }
    }
    return true;
}

bool hasOneHost(const HttpHeaders &headers)
{
    std::size_t count = 0;
    for (const HttpHeader &field : headers) {
        count += isSameHeaderName(field.name, "Host") ? 1 : 0;
    }
    return count == 1;
}

template<typename Length>
std::optional<std::uint64_t> toStdOptional(const Length &length)
{
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

}

class RequestParser::Implementation : public CollectingParser<true>
{
public:
    Implementation(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
        : CollectingParser(maxHeaderBytes)
    {
        this->body_limit(maxBodyBytes);
    }

    HttpRequestHead head_;

private:
    void on_request_impl(http::verb, BeastView method, BeastView target, int version, ErrorCode &error) override
    {
        error = {};
        version_ = version;
        head_.method = std::string(method);
        head_.target = std::string(target);
    }

    void on_response_impl(int, BeastView, int, ErrorCode &) override { }

    void on_header_impl(ErrorCode &error) override
    {
        error = {};
        if (!hasSupportedTransferEncoding(headers_)) {
            error = http::error::bad_transfer_encoding;
        } else if (!hasOneHost(headers_)) {
            error = http::error::bad_field;
        }
        head_.headers = std::move(headers_);
        head_.contentLength = this->chunked() ? std::nullopt : std::optional<std::uint64_t>(0);
        if (const auto length = toStdOptional(this->content_length())) {
            head_.contentLength = length;
        }
        head_.keepAlive = this->keep_alive();
    }
};

RequestParser::RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
    : implementation_(std::make_unique<Implementation>(maxHeaderBytes, maxBodyBytes))
{
}

RequestParser::~RequestParser() = default;

MessageProblem RequestParser::feed(ReadBuffer &buffer)
{
    constexpr int SupportedVersion = 11;
    const MessageProblem problem = implementation_->feed(buffer);
    if (implementation_->version_ != 0 && implementation_->version_ != SupportedVersion) {
        return MessageProblem::VersionNotSupported;
    }
    return problem;
}

bool RequestParser::isHeadDone() const
{
    return implementation_->is_header_done();
}

bool RequestParser::isDone() const
{
    return implementation_->is_done();
}

const HttpRequestHead &RequestParser::head() const
{
    return implementation_->head_;
}

std::string RequestParser::takeBody()
{
    return implementation_->takeBody();
}

class ResponseParser::Implementation : public CollectingParser<false>
{
public:
    Implementation(std::uint32_t maxHeaderBytes, bool isHeadResponse)
        : CollectingParser(maxHeaderBytes)
    {
        this->body_limit(boost::none);
        this->skip(isHeadResponse);
    }

    HttpResponseHead head_;

private:
    void on_request_impl(http::verb, BeastView, BeastView, int, ErrorCode &) override { }

    void on_response_impl(int code, BeastView reason, int version, ErrorCode &error) override
    {
        constexpr int FirstStatus = 100;
        constexpr int LastStatus = 599;
        error = {};
        if (code < FirstStatus || code > LastStatus) {
            error = http::error::bad_status;
            return;
        }
        version_ = version;
        head_.status = static_cast<std::uint16_t>(code);
        head_.reason = std::string(reason);
    }

    void on_header_impl(ErrorCode &error) override
    {
        error = {};
        if (!hasSupportedTransferEncoding(headers_)) {
            error = http::error::bad_transfer_encoding;
        }
        head_.headers = std::move(headers_);
        head_.contentLength = toStdOptional(this->content_length());
    }
};

ResponseParser::ResponseParser(std::uint32_t maxHeaderBytes, bool isHeadResponse)
    : implementation_(std::make_unique<Implementation>(maxHeaderBytes, isHeadResponse))
{
}

ResponseParser::~ResponseParser() = default;

MessageProblem ResponseParser::feed(ReadBuffer &buffer)
{
    return implementation_->feed(buffer);
}

bool ResponseParser::isHeadDone() const
{
    return implementation_->is_header_done();
}

bool ResponseParser::isDone() const
{
    return implementation_->is_done();
}

bool ResponseParser::keepAlive() const
{
    return implementation_->keep_alive();
}

bool ResponseParser::needsEof() const
{
    return implementation_->need_eof();
}

bool ResponseParser::finishAtEof()
{
    ErrorCode error;
    implementation_->put_eof(error);
    return !error && implementation_->is_done();
}

HttpResponseHead ResponseParser::takeHead()
{
    return std::move(implementation_->head_);
}

std::uint16_t ResponseParser::status() const
{
    return implementation_->head_.status;
}

std::string ResponseParser::takeBody()
{
    return implementation_->takeBody();
}

}
