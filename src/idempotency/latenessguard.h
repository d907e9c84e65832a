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
    /// The minimum transit time is taken over the current and the previous window with calls, so that a jump of a
    /// peer's clock is forgotten.
    Duration window = std::chrono::minutes(1);
    /// How much the two clocks may drift apart, in parts per million. An observed minimum is raised by this rate.
    std::int64_t driftPartsPerMillion = 200;
    /// Maximum number of peers remembered; beyond it the peer whose last call is oldest is forgotten.
    std::size_t maxPeers = 32'768;
};

/// Finds calls that were delayed on their way, in a paused process or on a stalled link, without synchronized clocks.
///
/// The minimum difference between the arrival time here and the sending time there, by the boot clocks of the two VMs
/// (see timeSinceBoot()), stands for the clock offset plus the minimum transit time. The amount by which a call exceeds
/// the minimum is its delay.
///
/// The guard cannot detect a delay that all calls of both windows shared, the delay of the first call from a peer, the
/// minimum transit time itself, or a delay shorter than the drift since the minimum was observed. If the clock of a
/// peer stood still while its VM was suspended, as a monotonic clock does, later calls look late for up to two windows.
/// They may then be refused without need, but no call runs that should have been refused. Thread safety: none; one
/// strand owns it.
class LatenessGuard
{
public:
    explicit LatenessGuard(LatenessLimits limits = {});

    /// Returns by how much the transit time of this call exceeds the minimum. @p sentAt is the peer's time, read by the
    /// peer just before sending and counted from the peer's own epoch. @p arrivedAt is this node's time by the same
    /// kind of clock. Errors: none; zero for the first call from a peer.
    [[nodiscard]] Duration observe(Incarnation peer, Duration sentAt, TimePoint arrivedAt);

    /// Forgets a peer. Not needed on reconnection: the clocks stay the same while the incarnation does.
    void forget(Incarnation peer);

    [[nodiscard]] std::size_t peerCount() const { return peers_.size(); }

private:
    struct Minimum
    {
        Duration difference = Duration::max();
        TimePoint observedAt;
    };

    struct Peer
    {
        TimePoint windowStart;
        Minimum currentMin;
        Minimum previousMin;
        TimePoint lastArrival;
    };

    /// Forgets the peer whose last call is oldest, if the maximum number of peers is reached.
    void evictPeer();
    /// Starts a new window if the current one is over.
    void rotateWindow(Peer &peer, TimePoint now) const;
    /// The difference of @p minimum, raised by the drift that is possible since it was observed.
    [[nodiscard]] Duration withDrift(const Minimum &minimum, TimePoint now) const;

    LatenessLimits limits_;
    std::unordered_map<Incarnation, Peer> peers_;
};

}
