#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Identifies a message within one MessageBudget.
using MessageId = StrongType<struct MessageIdTag, std::uint64_t>;

/// Decides how many bytes of messages a node holds: bodies of requests, and answers that it writes to callers. If a
/// message finds no room, it decides which one is given up.
///
/// Load pattern: crowds of clients that send large bodies and stop short of their end, send a byte now and then, or
/// read nothing of large answers, beside ordinary requests that are short.
///
/// What has come counts, not what was announced, so that clients that only announce shut nobody out. A message yields
/// while it waits for its client: a body until its last byte has come, an answer until it was written. If there is no
/// room, messages that make no progress are given up, the largest first; then the large message that began last, which
/// has the least to lose. Short messages never give way to large ones, and an eighth of the limit is theirs alone.
///
/// Thread safety: none; one owner. Errors: none.
class MessageBudget
{
public:
    /// Messages over this size are large.
    static constexpr Bytes MaxShort{64UL * 1024};
    /// A message that waits for its client, and has moved less than MinProgress for so long, makes no progress.
    static constexpr Milliseconds StallTime{500};
    static constexpr Bytes MinProgress{16UL * 1024};
    /// What the node needs beside the bytes of a message that yields: its connection with its buffer, and its request.
    static constexpr Bytes Overhead{16UL * 1024};

    /// The least that unreadShare() returns: enough for a short body in one piece.
    static constexpr Bytes MinUnread{16UL * 1024};

    /// What a message gets that asks for room.
    struct Room
    {
        bool isGranted = false;
        /// The messages that are given up; they count no more. Never the one that asks.
        std::vector<MessageId> givenUp;
    };

    /// @p limit: the bytes that may be held.
    explicit MessageBudget(Bytes limit)
        : limit_(limit.value())
    {
    }

    /// A message without bytes, which yields, begins.
    [[nodiscard]] MessageId begin(TimePoint now);
    /// Message @p id asks for @p size bytes more, which are its progress. Precondition: it has neither ended nor been
    /// given up.
    [[nodiscard]] Room grow(MessageId id, Bytes size, TimePoint now);
    /// The client of message @p id has taken @p size bytes. Precondition: as grow().
    void progress(MessageId id, Bytes size, TimePoint now);
    /// Message @p id waits for its client no more, and is not given up any more. Precondition: as grow().
    void stopYielding(MessageId id);
    /// Releases the bytes of a message. No effect if it was given up.
    void end(MessageId id, TimePoint now);

    /// Whether a message of @p size would find room if all that yield were given up.
    [[nodiscard]] bool canMakeRoom(Bytes size) const;
    /// Whether a message of @p size finds room in a node that holds nothing else.
    [[nodiscard]] bool canEverHold(Bytes size) const { return size.value() + Overhead.value() <= limitOf(true); }
    /// The time after which a client that found no room may come back: in it a tenth of the limit is released at the
    /// rate of the last second, or the first messages without progress may be given up.
    [[nodiscard]] Milliseconds returnDelay(TimePoint now) const;
    /// The bytes of one message that may wait unread in the system: all that are coming share a sixteenth of the limit.
    [[nodiscard]] Bytes unreadShare() const;
    [[nodiscard]] Bytes held() const { return Bytes(held_); }
    /// The messages that wait for their clients.
    [[nodiscard]] std::size_t yieldingCount() const { return yieldingCount_; }
    [[nodiscard]] Bytes limit() const { return Bytes(limit_); }

private:
    struct Message
    {
        std::uint64_t bytes = 0;
        bool isYielding = true;
        TimePoint begunAt;
        TimePoint progressAt;
        /// The bytes moved since progressAt.
        std::uint64_t moved = 0;

        [[nodiscard]] bool isLarge() const { return bytes > MaxShort.value(); }
        /// What counts.
        [[nodiscard]] std::uint64_t held() const { return bytes + (isYielding ? Overhead.value() : 0); }
    };
    using Messages = std::unordered_map<MessageId, Message>;

    [[nodiscard]] std::uint64_t limitOf(bool isLarge) const;
    [[nodiscard]] bool hasRoom(const Message &grower, std::uint64_t size) const;
    /// The message to give up; @p grower if it gets no room. Precondition: @p grower yields or there is another one.
    [[nodiscard]] Messages::iterator findVictim(Messages::iterator grower, std::uint64_t size, TimePoint now);
    static void recordProgress(Message &message, std::uint64_t size, TimePoint now);
    void account(const Message &message);
    void unaccount(const Message &message);
    void remove(Messages::iterator position, TimePoint now);

    std::uint64_t limit_;
    std::uint64_t lastId_ = 0;
    Messages messages_;
    std::uint64_t held_ = 0;
    std::uint64_t heldByLarge_ = 0;
    std::uint64_t heldByYielding_ = 0;
    std::size_t yieldingCount_ = 0;
    double released_ = 0.0;
    TimePoint releasedAt_;
};

}
