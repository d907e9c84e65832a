#include "ingress/streamedanswerrelay.h"

#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

StreamedAnswerRelay::StreamedAnswerRelay(std::weak_ptr<ProxiedRequest> request, TryNumber number)
    : request_(std::move(request))
    , number_(number)
{
}

asio::awaitable<bool> StreamedAnswerRelay::begin(AnswerHead head)
{
    const auto request = request_.lock();
    if (!request || !request->tries_->state().acceptAnswer(number_)) {
        co_return false;
    }
    request->isStreamed_ = true;
    HttpResponseHead response(head.status);
    response.headers = std::move(head.headers);
    const Result<void> started = co_await request->exchange_.startResponse(std::move(response), std::nullopt);
    co_return started.has_value();
}

asio::awaitable<bool> StreamedAnswerRelay::write(std::string chunk)
{
    const auto request = request_.lock();
    if (!request || !request->isStreamed_) {
        co_return false;
    }
    size_ += chunk.size();
    co_return co_await request->writePiece(std::move(chunk));
}

asio::awaitable<bool> StreamedAnswerRelay::end()
{
    const auto request = request_.lock();
    if (!request || !request->isStreamed_) {
        co_return false;
    }
    if (request->context_->linkPacer != nullptr) {
        request->context_->sizes.record(request->parameters_.route->name, Bytes(size_));
    }
    const Result<void> ended = co_await request->exchange_.finishResponse();
    co_return ended.has_value();
}

}
