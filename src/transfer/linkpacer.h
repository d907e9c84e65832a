#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/strongtype.h"
#include "http/sockettimer.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"
#include "transfer/linkscheduler.h"

namespace Egretpath
{

/// Answers up to this size are sent at once. Larger ones are paced, in chunks of at most this size.
inline constexpr std::size_t MaxChunkBytes = std::size_t{16} * 1024;

class LinkPacerState;

/// One large answer that is sent in paced chunks. Created by LinkPacer; may outlive it.
///
/// Destroying it releases its place on the link. Thread safety: none; at most one call of write() at a time.
class PacedTransfer : public std::enable_shared_from_this<PacedTransfer>
{
public:
    /// Sends one chunk and returns whether the socket accepted it.
    using ChunkWriter = std::function<boost::asio::awaitable<bool>(std::string)>;

    PacedTransfer(std::shared_ptr<LinkPacerState> pacer, std::uint8_t priority);
    ~PacedTransfer();
    PacedTransfer(const PacedTransfer &) = delete;
    PacedTransfer &operator=(const PacedTransfer &) = delete;

    /// Passes @p data to @p writer in chunks of at most MaxChunkBytes, each when its turn on the link has come. Returns
    /// whether all chunks were accepted. After cancel() nothing more is passed on, and the result is false.
    [[nodiscard]] boost::asio::awaitable<bool> write(std::string data, ChunkWriter writer);
    /// Releases the place on the link. A write() that waits for its turn returns false.
    void cancel();

private:
    friend class LinkPacerState;

    /// Returns false after cancel().
    [[nodiscard]] boost::asio::awaitable<bool> waitForTurn(Bytes size);

    std::shared_ptr<LinkPacerState> pacer_;
    TransferId id_;
    /// Never expires. It is cancelled when the turn has come, and by cancel().
    boost::asio::steady_timer turnSignal_;
    bool hasTurn_ = false;
    bool isCancelled_ = false;
};

/// Paces the large answers that a node sends, to callers and to other nodes, by the decisions of LinkScheduler.
///
/// Preconditions: @p log and @p metrics outlive the pacer and its transfers. Thread safety: none; use it on the thread
/// of its executor. Errors: none.
class LinkPacer
{
public:
    LinkPacer(boost::asio::any_io_executor executor, const LinkSchedulerSettings &settings, EventLog &log,
              Metrics &metrics);
    ~LinkPacer();
    LinkPacer(const LinkPacer &) = delete;
    LinkPacer &operator=(const LinkPacer &) = delete;

    /// Registers an answer of @p priority; 0 is the most urgent.
    [[nodiscard]] std::shared_ptr<PacedTransfer> open(std::uint8_t priority);
    /// A message with a body of @p body bytes, which is not paced, is sent now.
    void recordShortMessage(Bytes body);
    /// See LinkScheduler::backlog().
    [[nodiscard]] Duration backlog() const;
    [[nodiscard]] std::size_t waitingChunks() const;

private:
    std::shared_ptr<LinkPacerState> state_;
};

/// Returns the pacer of a link of @p megabitsPerSecond; null for 0, which means that the rate is not known.
/// Preconditions and thread safety: as LinkPacer.
[[nodiscard]] std::unique_ptr<LinkPacer> makeLinkPacer(const boost::asio::any_io_executor &executor,
                                                       double megabitsPerSecond, EventLog &log, Metrics &metrics);

}
