#pragma once

#include <optional>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Decides how many bytes of answers a node holds for their readers, and whether it takes new downloads.
///
/// Load pattern: bursts of answers of up to half a megabyte for readers behind slow links, some of which stop reading
/// for good, on VMs of 160 to 512 MB.
///
/// An answer may hold as many bytes as are free (dynamic thresholds, as in switches with shared memory). One reader
/// that stops thus takes at most half of the limit, two take a third each, and the others go on. While over nine tenths
/// of the limit are held, new downloads are refused.
///
/// Thread safety: none; one owner. Errors: none.
class AnswerBudget
{
public:
    /// The most bytes that are read at once for one answer.
    static constexpr Bytes MaxPiece{64UL * 1024};

    /// @p limit: the bytes that may be held; nothing if there is no limit.
    explicit AnswerBudget(std::optional<Bytes> limit)
        : limit_(limit)
    {
    }

    void hold(Bytes size);
    /// Precondition: @p size was held before and not released yet.
    void release(Bytes size, TimePoint now);

    /// Whether up to MaxPiece may be read for an answer for which @p own bytes are held.
    [[nodiscard]] bool mayHoldMore(Bytes own) const;
    /// Returns the time after which a refused download may come back; nothing if new downloads are taken. It is the
    /// time in which a tenth of the limit is released at the rate of the last second.
    [[nodiscard]] std::optional<Milliseconds> refusal(TimePoint now) const;
    /// Whether the limit is reached. Once it is, this stays true until new downloads are taken again.
    [[nodiscard]] bool isUsedUp() const { return isUsedUp_; }
    [[nodiscard]] Bytes held() const { return Bytes(held_); }
    [[nodiscard]] std::optional<Bytes> limit() const { return limit_; }

private:
    [[nodiscard]] bool isOverRefusalShare() const;
    /// The released bytes of about the last second at @p now.
    [[nodiscard]] double recentlyReleased(TimePoint now) const;

    std::optional<Bytes> limit_;
    std::uint64_t held_ = 0;
    bool isUsedUp_ = false;
    double released_ = 0.0;
    TimePoint releasedAt_;
};

}
