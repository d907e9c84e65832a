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
        makeRoom();
        peers_[peer].windowStart = arrivedAt;
    }
    Peer &known = peers_[peer];
    known.heardAt = arrivedAt;
    rotate(known, arrivedAt);
    const Duration difference = arrivedAt.time_since_epoch() - sentAt;
    const Duration least = std::min(aged(known.current, arrivedAt), aged(known.previous, arrivedAt));
    if (difference <= aged(known.current, arrivedAt)) {
        known.current = Least{difference, arrivedAt};
    }
    return difference > least ? difference - least : Duration{0};
}

void LatenessGuard::forget(Incarnation peer)
{
    peers_.erase(peer);
}

void LatenessGuard::makeRoom()
{
    if (peers_.size() < limits_.peers) {
        return;
    }
    const auto silent = std::min_element(peers_.begin(), peers_.end(), [](const auto &left, const auto &right) {
        return left.second.heardAt < right.second.heardAt;
    });
    if (silent != peers_.end()) {
        peers_.erase(silent);
    }
}

void LatenessGuard::rotate(Peer &peer, TimePoint now) const
{
    // Only a call ends a window: after a silence the last least transit is all that shows a late call.
    if (now - peer.windowStart < limits_.window) {
        return;
    }
    peer.previous = peer.current;
    peer.current = Least{};
    peer.windowStart = now;
}

Duration LatenessGuard::aged(const Least &least, TimePoint now) const
{
    constexpr std::int64_t Million = 1'000'000;
    if (least.difference == Duration::max()) {
        return least.difference;
    }
    return least.difference + (now - least.seenAt) / Million * limits_.driftPartsPerMillion;
}

}
