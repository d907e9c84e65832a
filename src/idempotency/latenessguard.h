#pragma once

#include <cstddef>
#include <unordered_map>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Limits of a LatenessGuard.
struct LatenessLimits
{
    /// The least transit is taken over the current and the previous window, so that drift between the two monotonic
    /// clocks adds up over two windows at most (100 ppm: 12 ms in two minutes).
    Duration window = std::chrono::minutes(1);
    /// Peers remembered; beyond it the one unheard for longest is forgotten.
    std::size_t peers = 32'768;
};

/// Finds calls that waited on their way, in a paused process or a stalled link, without synchronized clocks.
///
/// The least seen difference between arrival here and sending there, by the two processes' monotonic clocks, stands for
/// clock offset plus least transit. What a call exceeds it by is the time it waited.
/// It cannot see a wait that all calls of both windows shared, nor that of the first call from a peer, nor the least
/// transit itself. A peer whose monotonic clock stands still while its VM is suspended makes later calls look late for
/// up to two windows: they are refused without need, but never run without right.
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
    struct Peer
    {
        TimePoint windowStart;
        Duration currentLeast = Duration::max();
        Duration previousLeast = Duration::max();
        TimePoint heardAt;
    };

    void makeRoom();
    void rotate(Peer &peer, TimePoint now) const;

    LatenessLimits limits_;
    std::unordered_map<Incarnation, Peer> peers_;
};

}
