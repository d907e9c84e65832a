#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Limits of a LatenessGuard.
struct LatenessLimits
{
    /// The least transit is taken over the current and the previous window with calls, so that a jump of a peer's clock
    /// is forgotten.
    Duration window = std::chrono::minutes(1);
    /// How much the two monotonic clocks may drift apart, in parts per million; a least transit ages by it.
    std::int64_t driftPartsPerMillion = 200;
    /// Peers remembered; beyond it the one unheard for longest is forgotten.
    std::size_t peers = 32'768;
};

/// Finds calls that waited on their way, in a paused process or a stalled link, without synchronized clocks.
///
/// The least seen difference between arrival here and sending there, by the two processes' monotonic clocks, stands for
/// clock offset plus least transit. What a call exceeds it by is the time it waited.
/// It cannot see a wait that all calls of both windows shared, nor that of the first call from a peer, nor the least
/// transit itself, nor waits shorter than the drift since the least was seen. A peer whose monotonic clock stood still
/// while its VM was suspended makes later calls look late for up to two windows: refused without need, but never run
/// without right.
/// Thread safety: none; one strand owns it.
class LatenessGuard
{
public:
    explicit LatenessGuard(LatenessLimits limits = {});

    /// How much longer than the least this call was on its way. @p sentAt is the peer's monotonic time as the peer read
    /// it just before sending, counted from the peer's own epoch. Errors: none; zero for the first call from a peer.
    [[nodiscard]] Duration observe(Incarnation peer, Duration sentAt, TimePoint arrivedAt);

    /// Forgets a peer. Not needed on reconnection: the clocks stay the same while the incarnation does.
    void forget(Incarnation peer);

    [[nodiscard]] std::size_t peerCount() const { return peers_.size(); }

private:
    struct Least
    {
        Duration difference = Duration::max();
        TimePoint seenAt;
    };

    struct Peer
    {
        TimePoint windowStart;
        Least current;
        Least previous;
        TimePoint heardAt;
    };

    void makeRoom();
    void rotate(Peer &peer, TimePoint now) const;
    [[nodiscard]] Duration aged(const Least &least, TimePoint now) const;

    LatenessLimits limits_;
    std::unordered_map<Incarnation, Peer> peers_;
};

}
