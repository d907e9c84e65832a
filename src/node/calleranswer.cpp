#include "node/calleranswer.h"

#include <utility>

#include "node/ingresscall.h"

namespace Egretpath
{

namespace asio = boost::asio;

CallerAnswer::CallerAnswer(std::weak_ptr<IngressCall> call, TryNumber number, NodeIdentity answerer)
    : call_(std::move(call))
    , number_(number)
    , answerer_(std::move(answerer))
{
}

asio::awaitable<bool> CallerAnswer::begin(AnswerHead head)
{
    const auto call = call_.lock();
    if (!call || call->ended_ || !call->state_->answered(number_)) {
        co_return false;
    }
    HttpResponseHead response;
    response.status = head.status;
    response.headers = std::move(head.headers);
    call->decorate(response, answerer_);
    const Result<void> begun = co_await call->exchange_.beginResponse(std::move(response), std::nullopt);
    co_return begun.has_value();
}

asio::awaitable<bool> CallerAnswer::write(std::string chunk)
{
    const auto call = call_.lock();
    if (!call || call->ended_) {
        co_return false;
    }
    const Result<void> written = co_await call->exchange_.writeBody(std::move(chunk));
    co_return written.has_value();
}

asio::awaitable<bool> CallerAnswer::end()
{
    const auto call = call_.lock();
    if (!call || call->ended_) {
        co_return false;
    }
    const Result<void> written = co_await call->exchange_.endResponse();
    call->answerWhole_ = written.has_value();
    co_return written.has_value();
}

}
