#include "idempotency/callstate.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

CallState::CallState(IngressCallId id, Repetition repetition, std::uint32_t triesCap, TimePoint deadline)
    : id_(id)
    , repetition_(repetition)
    , triesCap_(triesCap)
    , deadline_(deadline)
{
}

Result<TryId> CallState::startTry(const NodeIdentity &target, TimePoint now)
{
    if (ended()) {
        return mayHaveRun(Reason::Cancelled, "the call has ended");
    }
    if (now >= deadline_) {
        return mayHaveRun(Reason::DeadlinePassed, "no time is left for a try");
    }
    if (tries_.size() >= triesCap_) {
        return mayHaveRun(Reason::BudgetSpent, "no tries are left");
    }
    if (earlierTriesForbid(target)) {
        return mayHaveRun(Reason::KeyInUse, "an earlier try may run");
    }
    tries_.push_back(Try{target});
    return TryId{id_, TryNumber(tries())};
}

bool CallState::permitSending(TryNumber number, TimePoint now)
{
    // The caller was told that the call did not run, or the process was paused past the deadline and its timer has not
    // fired yet: sending now would make that verdict false.
    if (ended() || now >= deadline_) {
        return false;
    }
    Try *item = find(number);
    if (item == nullptr || item->state != TryState::Prepared) {
        return false;
    }
    item->state = TryState::Left;
    item->left = true;
    return true;
}

NextStep CallState::tryFailed(TryNumber number, const Failure &failure)
{
    Try *item = find(number);
    const bool open = item != nullptr && (item->state == TryState::Prepared || item->state == TryState::Left);
    if (ended() || !open) {
        return NextStep::Ignore;
    }
    const bool proved = item->state == TryState::Prepared || failure.verdict == Verdict::NotRun;
    item->state = proved ? TryState::NotRun : TryState::MayHaveRun;
    if (underWay()) {
        return NextStep::Wait;
    }
    if (tries_.size() >= triesCap_ || (repetition_ == Repetition::Once && !proved)) {
        return NextStep::GiveUp;
    }
    return NextStep::MayTryAgain;
}

bool CallState::answered(TryNumber number)
{
    const Try *item = find(number);
    if (ended() || item == nullptr || item->state != TryState::Left) {
        return false;
    }
    end_ = CallPhase::Answered;
    return true;
}

std::optional<Failure> CallState::giveUp(Reason reason, Milliseconds retryAfter, std::string detail)
{
    if (ended()) {
        return std::nullopt;
    }
    end_ = CallPhase::GivenUp;
    if (provedNotRun()) {
        return notRun(reason, std::move(detail), retryAfter);
    }
    return mayHaveRun(reason, std::move(detail), retryAfter);
}

std::optional<Failure> CallState::refuse(const Failure &failure)
{
    if (!tries_.empty()) {
        return giveUp(failure.reason, failure.retryAfter, failure.detail);
    }
    if (ended()) {
        return std::nullopt;
    }
    end_ = CallPhase::GivenUp;
    return failure;
}

CallPhase CallState::phase() const
{
    if (ended()) {
        return end_;
    }
    return anyTryIn(TryState::Left) ? CallPhase::Sent : CallPhase::Deciding;
}

std::vector<TryId> CallState::outstanding() const
{
    std::vector<TryId> result;
    for (std::uint32_t index = 0; index < tries(); ++index) {
        if (tries_[index].state == TryState::Left) {
            result.push_back(TryId{id_, TryNumber(index + 1)});
        }
    }
    return result;
}

CallState::Try *CallState::find(TryNumber number)
{
    if (number.value() == 0 || number.value() > tries()) {
        return nullptr;
    }
    return &tries_[number.value() - 1];
}

bool CallState::anyTryIn(TryState state) const
{
    return std::any_of(tries_.begin(), tries_.end(), [state](const Try &item) { return item.state == state; });
}

bool CallState::underWay() const
{
    return anyTryIn(TryState::Prepared) || anyTryIn(TryState::Left);
}

bool CallState::earlierTriesForbid(const NodeIdentity &target) const
{
    switch (repetition_) {
    case Repetition::Repeatable:
        return false;
    case Repetition::Once:
        return underWay() || anyTryIn(TryState::MayHaveRun);
    case Repetition::OncePerKey:
        // The owner keeps the tries of one key apart; another upstream would run it a second time.
        return underWay() || (!tries_.empty() && tries_.front().target.upstream != target.upstream);
    }
    return true;
}

bool CallState::provedNotRun() const
{
    if (anyTryIn(TryState::Left) || anyTryIn(TryState::MayHaveRun)) {
        return false;
    }
    if (repetition_ != Repetition::OncePerKey) {
        return true;
    }
    // An earlier call with this key may have run: only the owner's refusal proves that none did.
    return std::any_of(tries_.begin(), tries_.end(), [](const Try &item) { return item.left; });
}

}
