#pragma once

#include <optional>
#include <unordered_map>

#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/ingresscallid.h"
#include "idempotency/keyledger.h"
#include "idempotency/latenessguard.h"
#include "idempotency/requestledger.h"
#include "idempotency/timedkeyboundary.h"

namespace Egretpath
{

/// What an egress knows of a call as it arrives from an ingress.
struct IncomingCall
{
    TryId tryId;
    /// The egress that the ingress meant.
    Incarnation target;
    /// Set if the service may not be repeated and the caller gave a key. Leave it out for repeatable services.
    std::optional<KeyText> key;
    /// The owner set by which the ingress chose, for caller-chosen keys.
    std::optional<Digest> ownerSet;
    /// Digest over method, target and body.
    Digest fingerprint;
    /// The ingress's monotonic time just before sending, from its own epoch.
    Duration sentAt{0};
    /// The time left to the call when it was sent.
    Duration timeLeft{0};
};

/// Limits of an AtMostOnceGuard.
struct AtMostOnceLimits
{
    KeyLedgerLimits keys;
    RequestLedgerLimits requests;
    LatenessLimits lateness;
    /// Caller-chosen UUIDs of version 7 are accepted only if set.
    std::optional<TimedKeyLimits> timedKeys;
};

/// Decides, at the egress, whether a call may be handed to the upstream; the checks stand in the order that keeps each
/// verdict true.
///
/// begin() comes before admission to slots and queue, so that a full queue never says "not run" of a key that ran.
/// For each call that begin() lets run: handedOver() before the first byte goes to the upstream, then finished() or
/// unknownOutcome(); or refused() if it ends before. A call with a key speaks of the key: its "not run" means that
/// nothing ran under that key so far.
/// Thread safety: none; one strand owns it.
class AtMostOnceGuard
{
public:
    AtMostOnceGuard(NodeIdentity self, AtMostOnceLimits limits);

    /// See RequestLedger::introduce().
    void introduce(Incarnation ingress, CallSequence nextSequence);
    /// See TimedKeyBoundary::confirmed(). Does nothing while caller-chosen keys are off.
    void tableConfirmed(const Digest &ownerSet, bool sawEveryTable, TimePoint now, WallTime wall);

    /// Whether the call may run, is answered from memory, or is refused.
    [[nodiscard]] BeginDecision begin(const IncomingCall &call, TimePoint now, WallTime wall);
    /// To be called last before the first byte goes to the upstream. False: the call ended, or its time ran out,
    /// meanwhile; do not send, and end it by refused() if it is still open.
    [[nodiscard]] bool handedOver(const TryId &tryId, TimePoint now);
    /// The call ends before it was handed over: overload, deadline, cancellation. Returns the verdict to be sent, which
    /// is never stronger than what is proved.
    [[nodiscard]] Failure refused(const TryId &tryId, Failure failure, TimePoint now);
    /// The whole answer of the upstream arrived.
    void finished(const TryId &tryId, HeldAnswer answer, TimePoint now);
    /// The upstream's answer broke or never came.
    void unknownOutcome(const TryId &tryId, TimePoint now);

    [[nodiscard]] const NodeIdentity &self() const { return self_; }
    [[nodiscard]] const KeyLedger &issuedKeys() const { return issuedKeys_; }
    [[nodiscard]] const KeyLedger &timedKeys() const { return timedKeys_; }
    [[nodiscard]] const RequestLedger &requests() const { return requests_; }
    /// Calls begun and not ended.
    [[nodiscard]] std::size_t openCalls() const { return open_.size(); }

private:
    struct KeyPlace
    {
        KeyLedger *ledger = nullptr;
        KeyId key;
    };

    struct OpenCall
    {
        std::optional<KeyPlace> key;
        TimePoint deadline;
        bool handedOver = false;
    };

    [[nodiscard]] Result<std::optional<KeyPlace>> placeKey(const IncomingCall &call, TimePoint now, WallTime wall);
    [[nodiscard]] Result<std::optional<KeyPlace>> placeTimedKey(const TimedKey &key, const IncomingCall &call,
                                                                TimePoint now, WallTime wall);
    [[nodiscard]] static Failure lateFailure(const IncomingCall &call, const std::optional<KeyPlace> &place,
                                             TimePoint now);
    [[nodiscard]] BeginDecision beginPlaced(const IncomingCall &call, const std::optional<KeyPlace> &place,
                                            TimePoint now, WallTime wall);
    [[nodiscard]] Failure remember(const TryId &tryId, Failure failure);

    NodeIdentity self_;
    RequestLedger requests_;
    LatenessGuard lateness_;
    KeyLedger issuedKeys_;
    KeyLedger timedKeys_;
    std::optional<TimedKeyBoundary> timedKeyBoundary_;
    std::unordered_map<TryId, OpenCall> open_;
};

}
