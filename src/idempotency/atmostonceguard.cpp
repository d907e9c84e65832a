#include "idempotency/atmostonceguard.h"

#include <utility>

namespace Egretpath
{

AtMostOnceGuard::AtMostOnceGuard(NodeIdentity self, AtMostOnceLimits limits)
    : self_(std::move(self))
    , requests_(limits.requests)
    , lateness_(limits.lateness)
    , issuedKeys_(limits.keys)
    , timedKeys_(limits.keys)
{
    if (limits.timedKeys) {
        timedKeyBoundary_.emplace(*limits.timedKeys);
    }
}

void AtMostOnceGuard::introduce(Incarnation ingress, CallSequence nextSequence)
{
    requests_.introduce(ingress, nextSequence);
}

void AtMostOnceGuard::tableConfirmed(const Digest &ownerSet, bool sawEveryTable, TimePoint now, WallTime wall)
{
    if (timedKeyBoundary_) {
        timedKeyBoundary_->confirmed(ownerSet, sawEveryTable, now, wall);
    }
}

BeginDecision AtMostOnceGuard::begin(const IncomingCall &call, TimePoint now, WallTime wall)
{
    // The node at this address was replaced. Its predecessor may have run the call, and this one cannot know.
    if (call.target != self_.incarnation) {
        return mayHaveRun(Reason::WrongIncarnation, "the node was restarted or replaced");
    }
    if (auto copy = requests_.admit(call.tryId)) {
        return *copy;
    }
    const Duration waited = lateness_.observe(call.tryId.call.ingress, call.sentAt, now);
    const auto place = placeKey(call, now, wall);
    if (!place) {
        return remember(call.tryId, place.error());
    }
    if (waited > call.timeLeft) {
        return remember(call.tryId, lateFailure(call, place.value(), now));
    }
    BeginDecision decision = beginPlaced(call, place.value(), now, wall);
    if (auto *run = std::get_if<RunRequest>(&decision)) {
        run->timeLeft = call.timeLeft - waited;
        open_.emplace(call.tryId, OpenCall{place.value(), now + run->timeLeft, false});
    }
    return decision;
}

bool AtMostOnceGuard::handedOver(const TryId &tryId, TimePoint now)
{
    const auto position = open_.find(tryId);
    if (position == open_.end() || position->second.handedOver) {
        return false;
    }
    OpenCall &call = position->second;
    // This process was paused with the call in its queue. The caller was answered long ago and may have acted on it.
    if (now >= call.deadline) {
        return false;
    }
    if (call.key && !call.key->ledger->handedOver(call.key->key, tryId)) {
        return false;
    }
    call.handedOver = true;
    return true;
}

Failure AtMostOnceGuard::refused(const TryId &tryId, Failure failure, TimePoint now)
{
    failure.verdict = Verdict::MayHaveRun;
    const auto position = open_.find(tryId);
    if (position == open_.end()) {
        return failure;
    }
    const OpenCall call = position->second;
    open_.erase(position);
    const bool keyIsNew = !call.key || call.key->ledger->abandoned(call.key->key, tryId, now);
    if (keyIsNew && !call.handedOver) {
        failure.verdict = Verdict::NotRun;
    }
    return remember(tryId, std::move(failure));
}

void AtMostOnceGuard::finished(const TryId &tryId, HeldAnswer answer, TimePoint now)
{
    const auto position = open_.find(tryId);
    if (position == open_.end()) {
        return;
    }
    if (const auto &place = position->second.key) {
        place->ledger->finished(place->key, tryId, std::move(answer), now);
    }
    open_.erase(position);
}

void AtMostOnceGuard::unknownOutcome(const TryId &tryId, TimePoint now)
{
    const auto position = open_.find(tryId);
    if (position == open_.end()) {
        return;
    }
    if (const auto &place = position->second.key) {
        place->ledger->unknownOutcome(place->key, tryId, now);
    }
    open_.erase(position);
}

Result<std::optional<AtMostOnceGuard::KeyPlace>> AtMostOnceGuard::placeKey(const IncomingCall &call, TimePoint now,
                                                                           WallTime wall)
{
    if (!call.key) {
        return std::optional<KeyPlace>();
    }
    if (const auto issued = IssuedKey::parse(call.key->value())) {
        // Issued for another run of this node, whose memory is gone, or sent to the wrong node.
        if (issued->owner != self_) {
            return mayHaveRun(Reason::KeyOutOfMemory, "the key belongs to another incarnation");
        }
        return std::optional<KeyPlace>(KeyPlace{&issuedKeys_, issued->id()});
    }
    const auto timed = TimedKey::parse(call.key->value());
    if (timed && timedKeyBoundary_) {
        return placeTimedKey(*timed, call, now, wall);
    }
    return notRun(Reason::BadKey, "the key is of no known kind");
}

Result<std::optional<AtMostOnceGuard::KeyPlace>>
AtMostOnceGuard::placeTimedKey(const TimedKey &key, const IncomingCall &call, TimePoint now, WallTime wall)
{
    if (auto failure = timedKeyBoundary_->check(key.keyId, call.ownerSet.value_or(Digest{}), now, wall)) {
        return *failure;
    }
    return std::optional<KeyPlace>(KeyPlace{&timedKeys_, key.keyId});
}

BeginDecision AtMostOnceGuard::beginPlaced(const IncomingCall &call, const std::optional<KeyPlace> &place,
                                           TimePoint now, WallTime wall)
{
    if (!place) {
        return RunRequest{};
    }
    auto decision = place->ledger->begin(place->key, call.fingerprint, call.tryId, now, wall);
    if (const auto *failure = std::get_if<Failure>(&decision)) {
        requests_.refused(call.tryId, *failure);
    }
    return decision;
}

Failure AtMostOnceGuard::lateFailure(const IncomingCall &call, const std::optional<KeyPlace> &place, TimePoint now)
{
    constexpr const char *Detail = "the call waited on its way past its deadline";
    // Of a key, "not run" is said only if nothing ran under it, whichever request brought it.
    const bool proved = !place || place->ledger->refuse(place->key, call.fingerprint, call.tryId, now);
    return proved ? notRun(Reason::DeadlinePassed, Detail) : mayHaveRun(Reason::DeadlinePassed, Detail);
}

Failure AtMostOnceGuard::remember(const TryId &tryId, Failure failure)
{
    requests_.refused(tryId, failure);
    return failure;
}

}
