#include "node/egressupload.h"

#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

EgressUpload::EgressUpload(std::shared_ptr<EgressCall> call)
    : call_(std::move(call))
    , begun_(call_->beginStreaming())
{
}

asio::awaitable<bool> EgressUpload::write(std::string chunk)
{
    const auto call = call_;
    if (!begun_) {
        co_return false;
    }
    co_return co_await call->sendPiece(std::move(chunk));
}

asio::awaitable<void> EgressUpload::end()
{
    const auto call = call_;
    if (begun_) {
        co_await call->finishStreaming();
    }
}

asio::awaitable<CallOutcome> EgressUpload::outcome()
{
    const auto call = call_;
    co_return co_await call->readAnswer();
}

void EgressUpload::abandon()
{
    // The ingress is gone or has given up: the upstream sees its connection close and can stop.
    call_->cancelUpstream();
}

}
