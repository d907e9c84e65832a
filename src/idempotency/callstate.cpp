#include "idempotency/callstate.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

CallState::CallState(IngressCallId id, Repetition repetition, std::uint32_t maxTries, TimePoint deadline)
    : id_(id)
    , repetition_(repetition)
    , maxTries_(maxTries)
    , deadline_(deadline)
{
}

Result<TryId> CallState::startTry(const NodeIdentity &target, TimePoint now)
{
    if (hasEnded()) {
        return mayHaveRun(Reason::Cancelled, "the call has ended");
    }
    if (now >= deadline_) {
        return mayHaveRun(Reason::DeadlinePassed, "no time is left for a try");
    }
    if (tries_.size() >= maxTries_) {
        return mayHaveRun(Reason::BudgetSpent, "no tries are left");
    }
    if (isForbiddenByEarlierTries(target)) {
        return mayHaveRun(Reason::KeyInUse, "an earlier try may run");
    }
    tries_.push_back(Try{target});
    return TryId{id_, TryNumber(tries())};
}

bool CallState::permitSending(TryNumber number, TimePoint now)
{
    // Either the caller was told that the call did not run, or the process was paused past the deadline and its timer
    // has not fired yet. Sending now would make that verdict false.
    if (hasEnded() || now >= deadline_) {
        return false;
    }
    Try *item = findTry(number);
    if (item == nullptr || item->state != TryState::Prepared) {
        return false;
    }
    item->state = TryState::InFlight;
    item->wasSent = true;
    return true;
}

NextStep CallState::onTryFailed(TryNumber number, const Failure &failure)
{
    Try *item = findTry(number);
    const bool isOpen = item != nullptr && (item->state == TryState::Prepared || item->state == TryState::InFlight);
    if (hasEnded() || !isOpen) {
        return NextStep::Ignore;
    }
    const bool isTryNotRun = item->state == TryState::Prepared || failure.verdict == Verdict::NotRun;
    item->state = isTryNotRun ? TryState::NotRun : TryState::MayHaveRun;
    if (hasOpenTry()) {
        return NextStep::Wait;
    }
    if (tries_.size() >= maxTries_ || (repetition_ == Repetition::Once && !isTryNotRun)) {
        return NextStep::GiveUp;
    }
    return NextStep::MayRetry;
}

bool CallState::acceptAnswer(TryNumber number)
{
    const Try *item = findTry(number);
    if (hasEnded() || item == nullptr || item->state != TryState::InFlight) {
        return false;
    }
    finalPhase_ = CallPhase::Answered;
    return true;
}

std::optional<Failure> CallState::giveUp(Reason reason, Milliseconds retryAfter, std::string detail)
{
    if (hasEnded()) {
        return std::nullopt;
    }
    finalPhase_ = CallPhase::GivenUp;
    if (isProvedNotRun()) {
        return notRun(reason, std::move(detail), retryAfter);
    }
    return mayHaveRun(reason, std::move(detail), retryAfter);
}

std::optional<Failure> CallState::refuse(const Failure &failure)
{
    if (!tries_.empty()) {
        return giveUp(failure.reason, failure.retryAfter, failure.detail);
    }
    if (hasEnded()) {
        return std::nullopt;
    }
    finalPhase_ = CallPhase::GivenUp;
    return failure;
}

CallPhase CallState::phase() const
{
    if (hasEnded()) {
        return finalPhase_;
    }
    return hasTryIn(TryState::InFlight) ? CallPhase::Sent : CallPhase::Deciding;
}

std::vector<TryId> CallState::outstanding() const
{
    std::vector<TryId> result;
    for (std::uint32_t index = 0; index < tries(); ++index) {
        if (tries_[index].state == TryState::InFlight) {
            result.push_back(TryId{id_, TryNumber(index + 1)});
        }
    }
    return result;
}

CallState::Try *CallState::findTry(TryNumber number)
{
    if (number.value() == 0 || number.value() > tries()) {
        return nullptr;
    }
    return &tries_[number.value() - 1];
}

bool CallState::hasTryIn(TryState state) const
{
    return std::any_of(tries_.begin(), tries_.end(), [state](const Try &item) { return item.state == state; });
}

bool CallState::hasOpenTry() const
{
    return hasTryIn(TryState::Prepared) || hasTryIn(TryState::InFlight);
}

bool CallState::isForbiddenByEarlierTries(const NodeIdentity &target) const
{
    switch (repetition_) {
    case Repetition::Repeatable:
        return false;
    case Repetition::Once:
        return hasOpenTry() || hasTryIn(TryState::MayHaveRun);
    case Repetition::OncePerKey:
        // The owner of the key recognizes a repeated try; another upstream would run the call a second time.
        return hasOpenTry() || (!tries_.empty() && tries_.front().target.upstream != target.upstream);
    }
    return true;
}

bool CallState::isProvedNotRun() const
{
    if (hasTryIn(TryState::InFlight) || hasTryIn(TryState::MayHaveRun)) {
        return false;
    }
    if (repetition_ != Repetition::OncePerKey) {
        return true;
    }
    // An earlier call with this key may have run. Only a refusal by the owner of the key proves that none did.
    return std::any_of(tries_.begin(), tries_.end(), [](const Try &item) { return item.wasSent; });
}

}
