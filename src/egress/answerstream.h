#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "answers/heldanswers.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// Passes a large answer on in chunks while it is still being read: a queue between the reading from the upstream and
/// the sending, which run as two coroutines.
///
/// Load pattern: readers behind slow links. The upstream must get rid of an answer as fast as it can send it, since it
/// has little memory and its slot is needed for the next request. AnswerBudget limits how far the reading runs ahead.
///
/// Thread safety: none. Preconditions: created as a shared pointer. Errors: see each function.
class AnswerStream : public std::enable_shared_from_this<AnswerStream>
{
public:
    /// @p answers: may be gone, and does not limit the queue then.
    AnswerStream(boost::asio::any_io_executor executor, std::shared_ptr<AnswerReceiver> receiver,
                 std::weak_ptr<HeldAnswers> answers);
    ~AnswerStream() = default;
    AnswerStream(const AnswerStream &) = delete;
    AnswerStream &operator=(const AnswerStream &) = delete;

    /// Starts sending. Precondition: called once, and a piece was added.
    void start(AnswerHead head);
    /// Adds a piece of the body to the queue.
    void add(const std::string &piece);
    /// Whether the next piece may be read now.
    [[nodiscard]] bool hasRoom() const { return held_.hasRoom(); }
    /// Waits until the next piece may be read, or the receiver takes no more, until @p latest.
    boost::asio::awaitable<void> waitForRoom(TimePoint latest);
    /// Waits until the receiver has all pieces. Returns whether it took them. Precondition: all were added.
    boost::asio::awaitable<bool> finish();
    /// Ends the sending. The queue is dropped.
    void cancel();
    /// Whether the receiver takes no more, or cancel() was called.
    [[nodiscard]] bool hasEnded() const { return hasEnded_; }

private:
    boost::asio::awaitable<void> send(std::shared_ptr<AnswerStream> self, AnswerHead head);
    boost::asio::awaitable<bool> sendChunks();
    /// Waits for a change at the receiver, until @p latest. Cancels the stream if the receiver takes nothing for too
    /// long.
    boost::asio::awaitable<void> waitForReceiver(TimePoint latest = TimePoint::max());
    void dropQueue();

    boost::asio::any_io_executor executor_;
    std::shared_ptr<AnswerReceiver> receiver_;
    /// The bytes in the queue and in the chunk that the receiver is taking.
    HeldAnswer held_;
    /// The same answers, for the wait until there is room.
    std::weak_ptr<HeldAnswers> answers_;
    /// Cancelled to wake the sending coroutine when a piece was added or the answer ended.
    boost::asio::steady_timer senderSignal_;
    /// Cancelled to wake the coroutine that reads when the receiver took a chunk or the budget has room.
    std::shared_ptr<boost::asio::steady_timer> readerSignal_;
    std::deque<std::string> queue_;
    TimePoint lastProgress_;
    bool isComplete_ = false;
    bool hasEnded_ = false;
    bool isDelivered_ = false;
};

}
