#include "egress/answerstream.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// A short message on the same link waits for at most one chunk: 10 ms at 13 Mbit/s.
constexpr std::size_t MaxChunk = std::size_t{16} * 1024;
/// An ingress that takes nothing for so long is stuck: it gives up a caller that does not read before that.
constexpr Milliseconds MaxReceiverPause{30'000};

}

AnswerStream::AnswerStream(asio::any_io_executor executor, std::shared_ptr<AnswerReceiver> receiver,
                           std::weak_ptr<HeldAnswers> answers)
    : executor_(std::move(executor))
    , receiver_(std::move(receiver))
    , held_(answers)
    , answers_(std::move(answers))
    , senderSignal_(executor_, asio::steady_timer::time_point::max())
    , readerSignal_(std::make_shared<asio::steady_timer>(executor_))
    , lastProgress_(currentTime())
{
}

void AnswerStream::start(AnswerHead head)
{
    asio::co_spawn(executor_, send(shared_from_this(), std::move(head)), asio::detached);
}

void AnswerStream::add(const std::string &piece)
{
    if (hasEnded_) {
        return;
    }
    if (held_.size() == Bytes(0)) {
        lastProgress_ = currentTime();
    }
    for (std::size_t begin = 0; begin < piece.size(); begin += MaxChunk) {
        queue_.push_back(piece.substr(begin, MaxChunk));
    }
    held_.grow(Bytes(piece.size()));
    senderSignal_.cancel();
}

asio::awaitable<void> AnswerStream::waitForRoom(TimePoint latest)
{
    while (!hasEnded_ && !hasRoom() && currentTime() < latest) {
        if (const auto answers = answers_.lock()) {
            answers->cancelOnRelease(readerSignal_);
        }
        co_await waitForReceiver(latest);
    }
}

asio::awaitable<bool> AnswerStream::finish()
{
    isComplete_ = true;
    senderSignal_.cancel();
    while (!hasEnded_) {
        co_await waitForReceiver();
    }
    co_return isDelivered_;
}

asio::awaitable<void> AnswerStream::waitForReceiver(TimePoint latest)
{
    const bool waitsForOthers = held_.size() == Bytes(0) && !isComplete_;
    const TimePoint stuckAt = waitsForOthers ? TimePoint::max() : lastProgress_ + MaxReceiverPause;
    readerSignal_->expires_at(std::min(stuckAt, latest));
    boost::system::error_code ignored;
    co_await readerSignal_->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!waitsForOthers && currentTime() >= lastProgress_ + MaxReceiverPause) {
        cancel();
    }
}

void AnswerStream::cancel()
{
    hasEnded_ = true;
    dropQueue();
    senderSignal_.cancel();
    readerSignal_->cancel();
}

asio::awaitable<void> AnswerStream::send(std::shared_ptr<AnswerStream> /*self*/, AnswerHead head)
{
    bool isTaken = co_await receiver_->begin(std::move(head));
    if (isTaken) {
        isTaken = co_await sendChunks();
    }
    if (isTaken) {
        isTaken = co_await receiver_->end();
    }
    isDelivered_ = isTaken && !hasEnded_;
    cancel();
}

/// Returns whether the receiver has all chunks.
asio::awaitable<bool> AnswerStream::sendChunks()
{
    while (!hasEnded_) {
        if (queue_.empty()) {
            if (isComplete_) {
                co_return true;
            }
            boost::system::error_code ignored;
            co_await senderSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        std::string chunk = std::move(queue_.front());
        queue_.pop_front();
        const std::size_t size = chunk.size();
        const bool isTaken = co_await receiver_->write(std::move(chunk));
        lastProgress_ = currentTime();
        held_.release(Bytes(size));
        readerSignal_->cancel();
        if (!isTaken) {
            co_return false;
        }
    }
    co_return false;
}

void AnswerStream::dropQueue()
{
    std::size_t dropped = 0;
    for (const std::string &chunk : queue_) {
        dropped += chunk.size();
    }
    queue_.clear();
    held_.release(Bytes(dropped));
}

}
