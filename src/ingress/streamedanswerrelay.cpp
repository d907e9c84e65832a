#include "ingress/streamedanswerrelay.h"

#include <charconv>
#include <utility>

#include "http/messagewriter.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// The length of the body by the header fields; nothing if they state none that can be read.
std::optional<std::uint64_t> lengthIn(const HttpHeaders &headers)
{
    const std::string_view text = headers.find("Content-Length").value_or(std::string_view());
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    const bool isLength = !text.empty() && parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return isLength ? std::optional(length) : std::nullopt;
}

}

/// Registers a coroutine that writes to the exchange of a request, and the bytes that it holds. The request does not
/// leave the exchange to the server before the coroutine has ended.
class StreamedAnswerRelay::Writing
{
public:
    Writing(std::shared_ptr<ProxiedRequest> request, std::weak_ptr<HeldAnswers> answers, Bytes bytes)
        : request_(std::move(request))
        , held_(std::move(answers))
    {
        ++request_->writerCount_;
        held_.grow(bytes);
    }
    ~Writing()
    {
        --request_->writerCount_;
        request_->wakeUp_.cancel();
    }
    Writing(const Writing &) = delete;
    Writing &operator=(const Writing &) = delete;

private:
    std::shared_ptr<ProxiedRequest> request_;
    HeldAnswer held_;
};

StreamedAnswerRelay::StreamedAnswerRelay(std::weak_ptr<ProxiedRequest> request, TryNumber number,
                                         std::weak_ptr<HeldAnswers> held)
    : request_(std::move(request))
    , number_(number)
    , held_(std::move(held))
{
}

asio::awaitable<bool> StreamedAnswerRelay::begin(AnswerHead head)
{
    HttpResponseHead response(head.status);
    response.headers = head.headers;
    head_ = std::move(head);
    const auto request = request_.lock();
    co_return request && !request->hasEnded_ && isSendable(response) && !request->isUnprovenPromise(response.status);
}

asio::awaitable<bool> StreamedAnswerRelay::commit(std::shared_ptr<ProxiedRequest> request)
{
    if (std::exchange(isCommitted_, true)) {
        co_return !request->hasEnded_;
    }
    if (request->hasEnded_ || !request->tries_->state().acceptAnswer(number_)) {
        co_return false;
    }
    request->isStreamed_ = true;
    HttpResponseHead response(head_.status);
    response.headers = std::move(head_.headers);
    const std::optional<std::uint64_t> length = lengthIn(response.headers);
    const Result<void> started = co_await request->exchange_.startResponse(std::move(response), length);
    co_return started.has_value();
}

asio::awaitable<bool> StreamedAnswerRelay::write(std::string chunk)
{
    const auto request = request_.lock();
    if (!request) {
        co_return false;
    }
    const Writing writing(request, held_, Bytes(chunk.size()));
    const bool isTaken = co_await commit(request);
    if (!isTaken) {
        co_return false;
    }
    const std::size_t size = chunk.size();
    const bool isWritten = co_await request->writer_->writePiece(std::move(chunk));
    request->streamedBytes_ += isWritten ? size : 0;
    co_return isWritten;
}

asio::awaitable<bool> StreamedAnswerRelay::end()
{
    const auto request = request_.lock();
    if (!request) {
        co_return false;
    }
    const Writing writing(request, {}, Bytes(0));
    const bool isTaken = co_await commit(request);
    if (!isTaken) {
        co_return false;
    }
    const Result<void> ended = co_await request->exchange_.finishResponse();
    co_return ended.has_value();
}

}
