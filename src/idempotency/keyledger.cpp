#include "idempotency/keyledger.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// What the heap and the ledger's lists need for each held answer besides its content, as measured on 64-bit Linux.
constexpr std::uint64_t BookkeepingBytes = 96;

}

Bytes HeldAnswer::size() const
{
    std::uint64_t total = sizeof(HeldAnswer) + BookkeepingBytes + body.size();
    for (const HeldField &field : fields) {
        total += sizeof(HeldField) + field.name.size() + field.value.size();
    }
    return Bytes(total);
}

KeyLedger::KeyLedger(KeyLedgerLimits limits)
    : limits_(limits)
{
}

BeginDecision KeyLedger::begin(const KeyId &key, const Digest &fingerprint, const TryId &tryId, TimePoint now,
                               WallTime wall)
{
    const auto position = entries_.find(key);
    if (position != entries_.end()) {
        return decideKnown(position->second, fingerprint);
    }
    forgetOld(now);
    return decideUnknown(key, fingerprint, tryId, now, wall);
}

BeginDecision KeyLedger::decideKnown(const Entry &entry, const Digest &fingerprint) const
{
    // One key for two requests: replaying the first one's answer would give a caller somebody else's.
    if (entry.fingerprint != fingerprint) {
        return mayHaveRun(Reason::BadKey, "the key was used for another request");
    }
    switch (entry.state) {
    case State::Begun:
    case State::HandedOver:
        return mayHaveRun(Reason::KeyInUse, "a request with this key is running", limits_.inUseRetryAfter);
    case State::Unknown:
        return mayHaveRun(Reason::AnswerNotHeld, "a request with this key was handed over; how it ended is not known");
    case State::Refused:
        return notRun(Reason::BadKey, "the key was refused before; use the one that this answer carries");
    case State::Done:
        break;
    }
    if (!entry.answer) {
        return mayHaveRun(Reason::AnswerNotHeld, "the request with this key did run; its answer is no longer held");
    }
    return ReplayAnswer{entry.answer};
}

BeginDecision KeyLedger::decideUnknown(const KeyId &key, const Digest &fingerprint, const TryId &tryId, TimePoint now,
                                       WallTime wall)
{
    // A forgotten key looks like a new one. All forgotten stamps are at or below the boundary.
    if (key.stamp <= boundary_) {
        return mayHaveRun(Reason::KeyOutOfMemory, "the key is older than its owner's memory");
    }
    // One issuer with a fast clock would otherwise, once its key is forgotten, lift the boundary above all good keys.
    if (key.stamp > stampOf(wall + limits_.futureAllowance)) {
        return mayHaveRun(Reason::BadKey, "the key's stamp lies ahead of its owner's clock");
    }
    if (runningCount() >= limits_.runningKeys) {
        (void)refuse(key, fingerprint, tryId, now);
        return notRun(Reason::Overloaded, "too many keys in use", limits_.inUseRetryAfter);
    }
    entries_.emplace(key, Entry{fingerprint, tryId, {}, nullptr, {}, State::Begun});
    return RunRequest{};
}

bool KeyLedger::handedOver(const KeyId &key, const TryId &tryId)
{
    const auto position = running(key, tryId);
    if (position == entries_.end() || position->second.state != State::Begun) {
        return false;
    }
    position->second.state = State::HandedOver;
    return true;
}

void KeyLedger::finished(const KeyId &key, const TryId &tryId, HeldAnswer answer, TimePoint now)
{
    const auto position = running(key, tryId);
    if (position == entries_.end()) {
        return;
    }
    holdAnswer(position, std::move(answer));
    end(position, State::Done, now);
}

bool KeyLedger::abandoned(const KeyId &key, const TryId &tryId, TimePoint now)
{
    const auto position = running(key, tryId);
    if (position == entries_.end()) {
        return false;
    }
    if (position->second.state != State::Begun) {
        end(position, State::Unknown, now);
        return false;
    }
    if (limits_.refusedKeys == RefusedKeys::Retire) {
        end(position, State::Refused, now);
    } else {
        entries_.erase(position);
    }
    return true;
}

void KeyLedger::unknownOutcome(const KeyId &key, const TryId &tryId, TimePoint now)
{
    const auto position = running(key, tryId);
    if (position != entries_.end()) {
        end(position, State::Unknown, now);
    }
}

bool KeyLedger::refuse(const KeyId &key, const Digest &fingerprint, const TryId &tryId, TimePoint now)
{
    if (!provedNotRun(key)) {
        return false;
    }
    if (limits_.refusedKeys == RefusedKeys::Retire) {
        const auto [position, isNew] =
            entries_.emplace(key, Entry{fingerprint, tryId, {}, nullptr, {}, State::Refused});
        if (isNew) {
            end(position, State::Refused, now);
        }
    }
    return true;
}

bool KeyLedger::provedNotRun(const KeyId &key) const
{
    const auto position = entries_.find(key);
    if (position != entries_.end()) {
        return position->second.state == State::Refused;
    }
    return key.stamp > boundary_;
}

void KeyLedger::forgetOld(TimePoint now)
{
    while (!finishedByStamp_.empty()) {
        const Entry &lowest = entries_.at(*finishedByStamp_.begin());
        if (now - lowest.endedAt < limits_.retention) {
            return;
        }
        forgetLowestStamp();
    }
}

KeyLedger::Entries::iterator KeyLedger::running(const KeyId &key, const TryId &tryId)
{
    const auto position = entries_.find(key);
    if (position == entries_.end() || position->second.holder != tryId) {
        return entries_.end();
    }
    const State state = position->second.state;
    return state == State::Begun || state == State::HandedOver ? position : entries_.end();
}

void KeyLedger::end(Entries::iterator position, State state, TimePoint now)
{
    position->second.state = state;
    position->second.endedAt = now;
    finishedByStamp_.insert(position->first);
    while (finishedByStamp_.size() > limits_.finishedKeys) {
        forgetLowestStamp();
    }
}

void KeyLedger::holdAnswer(Entries::iterator position, HeldAnswer answer)
{
    const std::uint64_t size = answer.size().value();
    const std::uint64_t budget = limits_.answerBytes.value();
    if (size > budget) {
        return;
    }
    while (answerBytes_ + size > budget) {
        dropAnswer(entries_.at(answersByAge_.front()));
    }
    position->second.answer = std::make_shared<const HeldAnswer>(std::move(answer));
    answerBytes_ += size;
    position->second.answerPlace = answersByAge_.insert(answersByAge_.end(), position->first);
}

void KeyLedger::dropAnswer(Entry &entry)
{
    if (entry.answer) {
        answerBytes_ -= entry.answer->size().value();
        answersByAge_.erase(entry.answerPlace);
        entry.answer = nullptr;
    }
}

void KeyLedger::forgetLowestStamp()
{
    // In the order of stamps, so that the boundary rises as little as it can. Running keys are not in this set: to
    // forget one would let a second request under the key run beside it.
    const KeyId lowest = *finishedByStamp_.begin();
    finishedByStamp_.erase(finishedByStamp_.begin());
    const auto position = entries_.find(lowest);
    dropAnswer(position->second);
    entries_.erase(position);
    boundary_ = std::max(boundary_, lowest.stamp);
}

}
