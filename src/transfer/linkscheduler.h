#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Identifies an answer that is sent in paced chunks.
using TransferId = StrongType<struct TransferIdTag, std::uint64_t>;

/// The rate of a link and the shares of it that LinkScheduler assigns.
struct LinkSchedulerSettings
{
    /// The rate of the link in Mbit/s; above 0.
    double megabitsPerSecond = 0.0;
    /// The share of the rate at which chunks are paced. Below 1, so that the queue of the link stays short although the
    /// headers of packets are not counted.
    double pacedShare = 0.9;
    /// The share of the link that chunks get even if short messages ask for more than the rest.
    double minBulkShare = 0.25;
    /// The share of the chunks' rate that the lowest waiting priority gets.
    double lowestPriorityShare = 0.25;
    /// A chunk that starts late, since timers fire late, may be followed by the next one earlier by up to this time.
    Duration maxCatchUp = Milliseconds{2};
    /// Short messages delay chunks by at most this time in all, apart from minBulkShare.
    Duration maxShortMessageDebt = Milliseconds{200};
};

/// Decides which chunk of the large answers of a node is sent next on the link of its VM, and when.
///
/// Load pattern: one answer of 540 KB occupies a link of 13 Mbit/s for a third of a second, and the answers to urgent
/// requests wait behind it in the kernel's queue, which is first in, first out. Chunks are therefore started only when
/// the chunks before them, and the short messages sent meanwhile, have left the link at nine tenths of its rate. A
/// short message then waits for at most one chunk.
///
/// Among answers: by priority, then in turn. The lowest waiting priority gets a quarter of the bytes, the next one a
/// quarter of the rest, and so on, so that none is starved. Chunks of one answer keep their order. A chunk that the
/// socket does not accept holds up only its own answer.
///
/// Thread safety: none. Errors: none.
class LinkScheduler
{
public:
    explicit LinkScheduler(const LinkSchedulerSettings &settings);

    /// Registers an answer of @p priority; 0 is the most urgent.
    [[nodiscard]] TransferId open(std::uint8_t priority);
    /// Removes the answer and its waiting chunks. Does nothing for an unknown @p transfer.
    void close(TransferId transfer);

    /// Adds the next chunk of an open transfer, @p size bytes long.
    void offer(TransferId transfer, Bytes size, TimePoint now);
    /// If a chunk is due, starts it and returns its transfer. The caller sends the chunk now.
    [[nodiscard]] std::optional<TransferId> start(TimePoint now);
    /// The socket has accepted all started chunks of the transfer.
    void onAccepted(TransferId transfer);
    /// A message that is not paced, @p size bytes long, was sent at @p now.
    void onShortMessage(Bytes size, TimePoint now);

    /// When the next chunk is due, at the earliest. A short message may move this to a later time. Precondition:
    /// waitingChunks() > 0.
    [[nodiscard]] TimePoint nextDue() const;
    [[nodiscard]] std::size_t waitingChunks() const { return waitingChunks_; }
    /// The time that it takes to send the waiting chunks and the rest of those that were started. A started chunk is
    /// sent when the socket has accepted it or when its time on the link is over, whichever is later.
    [[nodiscard]] Duration backlog(TimePoint now) const;

private:
    struct Transfer
    {
        std::uint8_t priority = 0;
        std::deque<Bytes> waiting;
        std::uint64_t unacceptedBytes = 0;
    };

    /// The transfers of one priority with waiting chunks, in the order of their turns.
    struct Level
    {
        std::deque<TransferId> turns;
        /// The bytes that the level may send before higher priorities, by its share.
        double earnedBytes = 0.0;
    };
    using Levels = std::map<std::uint8_t, Level>;

    [[nodiscard]] Levels::iterator nextLevel();
    /// Takes the chunk of @p size bytes from the share of its level, and adds to the shares of lower priorities.
    void updateShares(Levels::iterator started, Bytes size);
    [[nodiscard]] Duration timeToSend(double bytes, double share) const;

    LinkSchedulerSettings settings_;
    std::unordered_map<TransferId, Transfer> transfers_;
    /// Only priorities with waiting chunks.
    Levels levels_;
    std::uint64_t lastTransfer_ = 0;
    std::size_t waitingChunks_ = 0;
    std::uint64_t waitingBytes_ = 0;
    std::uint64_t unacceptedBytes_ = 0;
    /// When all bytes sent so far have left the link at the paced rate.
    TimePoint linkFreeAt_;
    /// When the next chunk starts at the latest, by minBulkShare.
    TimePoint latestStart_;
};

}
