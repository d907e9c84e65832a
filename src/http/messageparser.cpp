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

MessageProblem problemOf(const ErrorCode &error)
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

/// Collects what Beast's parser reports: the header fields in order and the body without its framing.
template<bool IsRequest>
class CollectingParser : public http::basic_parser<IsRequest>
{
public:
    explicit CollectingParser(std::uint32_t headerLimit)
        : headerLimit_(headerLimit)
    {
        this->header_limit(headerLimit);
        this->eager(true);
    }

    MessageProblem feed(ReadBuffer &buffer)
    {
        if (this->is_done() || buffer.empty() || wouldMisjudgeLastChunk(buffer)) {
            return MessageProblem::None;
        }
        fed_ = buffer.unread();
        lastFieldEnd_ = 0;
        const bool headWasDone = this->is_header_done();
        ErrorCode error;
        const std::size_t used = this->put(boost::asio::buffer(fed_.data(), fed_.size()), error);
        buffer.consume(used);
        needsMore_ = error == http::error::need_more;
        if (!headWasDone && headerOverLimit(used, buffer)) {
            return MessageProblem::HeaderTooLarge;
        }
        return problemOf(error);
    }

    std::string takeBody() { return std::exchange(body_, {}); }

    HttpHeaders headers_;
    int version_ = 0;

protected:
    void on_field_impl(http::field, BeastView name, BeastView value, ErrorCode &error) override
    {
        if (this->is_header_done()) {
            return; // Trailers are not passed on.
        }
        if (isFolded(name, value)) {
            error = http::error::bad_value;
            return;
        }
        lastFieldEnd_ = static_cast<std::size_t>(value.data() + value.size() - fed_.data());
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
    /// Beast unfolds a folded value into memory of its own, or skips the fold in front of the value. Proxies that
    /// see the lines apart would read another message, so neither form is taken.
    bool isFolded(BeastView name, BeastView value) const
    {
        const std::less<const char *> before;
        const char *fedEnd = fed_.data() + fed_.size();
        if (before(value.data(), fed_.data()) || before(fedEnd, value.data())) {
            return true;
        }
        const std::string_view gap(name.data() + name.size(), value.data() - (name.data() + name.size()));
        return gap.find_first_of("\r\n") != std::string_view::npos;
    }

    /// Beast asserts that a last chunk, once it asked for the rest of it, comes back with at least the five bytes of
    /// "0\r\n\r\n". A peer that sends them one by one breaks that, and ends a process that was built with assertions.
    /// No chunk that the parser waits for is complete in fewer bytes, so waiting for five loses nothing.
    bool wouldMisjudgeLastChunk(const ReadBuffer &buffer) const
    {
        constexpr std::size_t LastChunkBytes = 5;
        return needsMore_ && this->is_header_done() && buffer.unread().size() < LastChunkBytes;
    }

    /// Beast compares its limit with the unparsed rest only; a head that arrives in pieces would never reach it.
    bool headerOverLimit(std::size_t used, const ReadBuffer &buffer)
    {
        if (this->is_header_done()) {
            return headerBytes_ + lastFieldEnd_ > headerLimit_;
        }
        headerBytes_ += used;
        return headerBytes_ + buffer.unread().size() > headerLimit_;
    }

    std::uint32_t headerLimit_;
    bool needsMore_ = false;
    /// Bytes of the head consumed by earlier feeds.
    std::size_t headerBytes_ = 0;
    /// Where the last header field ends in what is being fed.
    std::size_t lastFieldEnd_ = 0;
    std::string_view fed_;
    std::string body_;
};

bool framingIsPlain(const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers) {
        if (sameHeaderName(field.name, "Transfer-Encoding") && !sameHeaderName(field.value, "chunked")) {
            return false;
        }
    }
    return true;
}

bool hasOneHost(const HttpHeaders &headers)
{
    std::size_t count = 0;
    for (const HttpHeader &field : headers) {
        count += sameHeaderName(field.name, "Host") ? 1 : 0;
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
    Implementation(std::uint32_t headerLimit, std::uint64_t bodyLimit)
        : CollectingParser(headerLimit)
    {
        this->body_limit(bodyLimit);
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
        if (!framingIsPlain(headers_)) {
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

RequestParser::RequestParser(std::uint32_t headerLimit, std::uint64_t bodyLimit)
    : implementation_(std::make_unique<Implementation>(headerLimit, bodyLimit))
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

bool RequestParser::headDone() const
{
    return implementation_->is_header_done();
}

bool RequestParser::done() const
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
    Implementation(std::uint32_t headerLimit, bool bodiless)
        : CollectingParser(headerLimit)
    {
        this->body_limit(boost::none);
        this->skip(bodiless);
    }

    HttpResponseHead head_;

private:
    void on_request_impl(http::verb, BeastView, BeastView, int, ErrorCode &) override { }

    void on_response_impl(int code, BeastView reason, int version, ErrorCode &error) override
    {
        error = {};
        version_ = version;
        head_.status = static_cast<std::uint16_t>(code);
        head_.reason = std::string(reason);
    }

    void on_header_impl(ErrorCode &error) override
    {
        error = {};
        if (!framingIsPlain(headers_)) {
            error = http::error::bad_transfer_encoding;
        }
        head_.headers = std::move(headers_);
        head_.contentLength = toStdOptional(this->content_length());
    }
};

ResponseParser::ResponseParser(std::uint32_t headerLimit, bool bodiless)
    : implementation_(std::make_unique<Implementation>(headerLimit, bodiless))
{
}

ResponseParser::~ResponseParser() = default;

MessageProblem ResponseParser::feed(ReadBuffer &buffer)
{
    return implementation_->feed(buffer);
}

bool ResponseParser::headDone() const
{
    return implementation_->is_header_done();
}

bool ResponseParser::done() const
{
    return implementation_->is_done();
}

bool ResponseParser::keepAlive() const
{
    return implementation_->keep_alive();
}

bool ResponseParser::endsWithConnection() const
{
    return implementation_->need_eof();
}

bool ResponseParser::finishAtEnd()
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
