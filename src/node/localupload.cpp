#include "node/localupload.h"

#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

LocalUpload::LocalUpload(std::shared_ptr<UploadReceiver> receiver)
    : receiver_(std::move(receiver))
{
}

asio::awaitable<bool> LocalUpload::write(std::string chunk)
{
    const auto receiver = receiver_;
    co_return co_await receiver->write(std::move(chunk));
}

asio::awaitable<bool> LocalUpload::end()
{
    const auto receiver = receiver_;
    co_await receiver->end();
    co_return true;
}

asio::awaitable<Result<CallOutcome>> LocalUpload::outcome(TimePoint /*deadline*/,
                                                          std::shared_ptr<Cancellation> cancellation)
{
    // The egress keeps the deadline by itself.
    const auto receiver = receiver_;
    cancellation->setAction([receiver] { receiver->abandon(); });
    CallOutcome outcome = co_await receiver->outcome();
    cancellation->clearAction();
    co_return outcome;
}

}
