#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/digest.h"
#include "core/verdict.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/ingresscallid.h"

namespace Egretpath
{

/// One field of an answer's header.
struct HeldField
{
    std::string name;
    std::string value;

    friend bool operator==(const HeldField &, const HeldField &) = default;
};

/// A whole answer, kept so that a repeated request gets it again.
struct HeldAnswer
{
    std::uint16_t status = 0;
    std::vector<HeldField> fields;
    std::string body;

    /// What it counts against the ledger's budget. Thread safety: as a const access.
    [[nodiscard]] Bytes size() const;

    friend bool operator==(const HeldAnswer &, const HeldAnswer &) = default;
};

/// The request may be run now; the ledger counts it as begun.
struct RunRequest
{
    /// What is left of the call's time; set by AtMostOnceGuard.
    Duration timeLeft{0};
};

/// The request ran; this is its answer.
struct ReplayAnswer
{
    std::shared_ptr<const HeldAnswer> answer;
};

using BeginDecision = std::variant<RunRequest, ReplayAnswer, Failure>;

/// What becomes of a key whose request was refused as not run.
enum class RefusedKeys : std::uint8_t {
    /// It may be tried again. "Not run" then speaks of all that arrived so far: an earlier request under the key whose
    /// end its caller does not know may still arrive and run.
    StayUsable,
    /// Nothing runs under it any more: "not run" is final for the key, and its caller needs a fresh one.
    Retire,
};

/// Limits of a KeyLedger.
struct KeyLedgerLimits
{
    RefusedKeys refusedKeys = RefusedKeys::StayUsable;
    /// Finished keys remembered at most.
    std::size_t finishedKeys = 100'000;
    /// Begun and unfinished keys at most; further ones are refused as not run.
    std::size_t runningKeys = 4'096;
    /// Answers held at most.
    Bytes answerBytes{32ULL * 1024 * 1024};
    /// A finished key is forgotten this long after its end at the earliest, unless finishedKeys forces it.
    Duration retention = std::chrono::hours(24);
    /// A key stamped further ahead of the owner's wall clock is refused.
    Milliseconds futureAllowance{10'000};
    /// Told to callers whose key is in use.
    Milliseconds inUseRetryAfter{200};
};

/// What the owner of idempotency keys remembers of them: it lets a key run at most once in this incarnation.
///
/// Forgetting is safe whatever the clocks say: a key is forgotten in the order of stamps, and the largest forgotten
/// stamp is a boundary; an unknown key at or below it is refused as may-have-run. So an unknown key above it is proved
/// new. Keys of other incarnations must have been refused before (AtMostOnceGuard does so).
/// Thread safety: none; one strand owns it.
class KeyLedger
{
public:
    explicit KeyLedger(KeyLedgerLimits limits = {});

    /// Decides on one request under @p key. @p fingerprint covers method, target and body.
    ///
    /// RunRequest: the caller of this method must end it by finished(), abandoned() or unknownOutcome().
    /// Failures: KeyInUse, AnswerNotHeld, KeyOutOfMemory and BadKey as may-have-run; Overloaded, and BadKey for a
    /// retired key, as not run.
    [[nodiscard]] BeginDecision begin(const KeyId &key, const Digest &fingerprint, const TryId &tryId, TimePoint now,
                                      WallTime wall);
    /// To be called before the first byte goes to the upstream. False if @p tryId does not hold the key: do not send.
    [[nodiscard]] bool handedOver(const KeyId &key, const TryId &tryId);
    /// The whole answer arrived. Ignored unless @p tryId holds the key.
    void finished(const KeyId &key, const TryId &tryId, HeldAnswer answer, TimePoint now);
    /// The request ends without having been handed over. After handedOver() it counts as unknownOutcome(). Returns
    /// whether "not run" is proved.
    bool abandoned(const KeyId &key, const TryId &tryId, TimePoint now);
    /// Handed over, and how it ended is not known. Later tries are refused as may-have-run.
    void unknownOutcome(const KeyId &key, const TryId &tryId, TimePoint now);

    /// A request under @p key is refused before begin(). Returns whether it is proved that none ran, or runs, here.
    [[nodiscard]] bool refuse(const KeyId &key, const Digest &fingerprint, const TryId &tryId, TimePoint now);
    /// Whether it is proved that no request ran, or runs, under @p key here.
    [[nodiscard]] bool provedNotRun(const KeyId &key) const;

    /// Forgets finished keys past their retention. Call now and then; begin() does so too.
    void forgetOld(TimePoint now);

    [[nodiscard]] KeyStamp boundary() const { return boundary_; }
    [[nodiscard]] std::size_t finishedCount() const { return finishedByStamp_.size(); }
    [[nodiscard]] std::size_t runningCount() const { return entries_.size() - finishedByStamp_.size(); }
    [[nodiscard]] std::size_t answersHeld() const { return answersByAge_.size(); }
    [[nodiscard]] Bytes answerBytes() const { return Bytes(answerBytes_); }

private:
    enum class State : std::uint8_t {
        Begun,
        HandedOver,
        Done,
        Unknown,
        Refused,
    };

    struct Entry
    {
        Digest fingerprint;
        TryId holder;
        TimePoint endedAt;
        std::shared_ptr<const HeldAnswer> answer;
        /// Its place in answersByAge_; valid while the answer is held.
        std::list<KeyId>::iterator answerPlace;
        State state = State::Begun;
    };

    using Entries = std::unordered_map<KeyId, Entry>;

    [[nodiscard]] BeginDecision decideKnown(const Entry &entry, const Digest &fingerprint) const;
    [[nodiscard]] BeginDecision decideUnknown(const KeyId &key, const Digest &fingerprint, const TryId &tryId,
                                              TimePoint now, WallTime wall);
    [[nodiscard]] Entries::iterator running(const KeyId &key, const TryId &tryId);
    void end(Entries::iterator position, State state, TimePoint now);
    void holdAnswer(Entries::iterator position, HeldAnswer answer);
    void dropAnswer(Entry &entry);
    void forgetLowestStamp();

    KeyLedgerLimits limits_;
    Entries entries_;
    /// Keys that ended, lowest stamp first.
    std::set<KeyId> finishedByStamp_;
    std::list<KeyId> answersByAge_;
    std::uint64_t answerBytes_ = 0;
    KeyStamp boundary_{0};
};

}
