#include "idempotency/latenessguard.h"

#include <algorithm>

namespace Egretpath
{

LatenessGuard::LatenessGuard(LatenessLimits limits)
    : limits_(limits)
{
}

Duration LatenessGuard::observe(Incarnation peer, Duration sentAt, TimePoint arrivedAt)
{
    if (!peers_.contains(peer)) {
        evictPeer();
        peers_[peer].windowStart = arrivedAt;
    }
    Peer &state = peers_[peer];
    state.lastArrival = arrivedAt;
    rotateWindow(state, arrivedAt);
    const Duration difference = arrivedAt.time_since_epoch() - sentAt;
    const Duration minDifference =
        std::min(withDrift(state.currentMin, arrivedAt), withDrift(state.previousMin, arrivedAt));
    if (difference <= withDrift(state.currentMin, arrivedAt)) {
        state.currentMin = Minimum{difference, arrivedAt};
    }
    return difference > minDifference ? difference - minDifference : Duration{0};
}

void LatenessGuard::forget(Incarnation peer)
{
    peers_.erase(peer);
}

void LatenessGuard::evictPeer()
{
    if (peers_.size() < limits_.maxPeers) {
        return;
    }
    const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto &left, const auto &right) {
        return left.second.lastArrival < right.second.lastArrival;
    });
    if (oldest != peers_.end()) {
        peers_.erase(oldest);
    }
}

void LatenessGuard::rotateWindow(Peer &peer, TimePoint now) const
{
    // Only a call ends a window. After a silence, the minimum from before the silence is all that a late call can be
    // compared with.
    if (now - peer.windowStart < limits_.window) {
        return;
    }
    peer.previousMin = peer.currentMin;
    peer.currentMin = Minimum{};
    peer.windowStart = now;
}

Duration LatenessGuard::withDrift(const Minimum &minimum, TimePoint now) const
{
    constexpr std::int64_t Million = 1'000'000;
    if (minimum.difference == Duration::max()) {
        return minimum.difference;
    }
    return minimum.difference + (now - minimum.observedAt) / Million * limits_.driftPartsPerMillion;
}

}
