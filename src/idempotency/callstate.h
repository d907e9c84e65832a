#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"
#include "idempotency/ingresscallid.h"

namespace Egretpath
{

/// What may be done with a call when its upstream may have run it.
enum class Repetition : std::uint8_t {
    /// Running it twice does no harm: tries may follow, and run beside, one another.
    Repeatable,
    /// It may run once. A further try is sent only after each earlier one is proved not run.
    Once,
    /// It may run once for each key, over all calls that carry the key.
    OncePerKey,
};

/// Where a call stands.
enum class CallPhase : std::uint8_t {
    /// No try is on its way.
    Deciding,
    /// At least one try is on its way.
    Sent,
    /// The caller was given an answer.
    Answered,
    /// The caller was given a failure.
    GivenUp,
};

/// What is left to do after a try failed.
enum class NextStep : std::uint8_t {
    /// The call ended before, or the try is not known: do nothing.
    Ignore,
    /// Another try is on its way: wait for it.
    Wait,
    /// Another try may be started, if deadline, cap and budget allow; else give up.
    MayTryAgain,
    /// Give up now.
    GiveUp,
};

/// The ingress's state of one call. It gives exactly one verdict, sends nothing after it, and says "not run" only if
/// no try left or each that left is proved not run.
///
/// The verdict and each permission to send come from the same object on the same strand: a process that was paused and
/// wakes late finds the call ended, or its deadline passed, and sends nothing.
/// Thread safety: none; one strand owns it.
class CallState
{
public:
    /// Precondition: @p triesCap is at least 1. It counts sendings, so it may be larger than 1 for calls that may run
    /// once: those are sent again only after a proof that they did not run, or to the owner of their key.
    CallState(IngressCallId id, Repetition repetition, std::uint32_t triesCap, TimePoint deadline);

    /// Prepares a try. Nothing may be sent before permitSending().
    /// Errors: DeadlinePassed; BudgetSpent (cap reached); KeyInUse (an earlier try may run, or was meant for another
    /// upstream than the key's owner); Cancelled (the call ended). The call itself is not ended by them.
    [[nodiscard]] Result<TryId> startTry(const NodeIdentity &target, TimePoint now);
    /// To be called last before the first byte is written, without waiting in between. False: write nothing. From
    /// true on, the try counts as having left.
    [[nodiscard]] bool permitSending(TryNumber number, TimePoint now);
    /// The try ended without an answer. A try that had not left is not run. One that had is not run only if the egress
    /// said so in @p failure; the node itself reports broken connections and silence as may-have-run.
    [[nodiscard]] NextStep tryFailed(TryNumber number, const Failure &failure);
    /// The whole answer to a try arrived. True once at most: give it to the caller.
    [[nodiscard]] bool answered(TryNumber number);
    /// Ends the call. Nothing if it ended before; else the failure to give to the caller, with the verdict that the
    /// tries prove. A call with a key is not run only if its owner says so: another call may have run under the key.
    [[nodiscard]] std::optional<Failure> giveUp(Reason reason, Milliseconds retryAfter = Milliseconds{0},
                                                std::string detail = {});

    /// Ends the call with a failure found before any try left, such as KeyRouter's. If a try left, as giveUp().
    [[nodiscard]] std::optional<Failure> refuse(const Failure &failure);

    [[nodiscard]] CallPhase phase() const;
    [[nodiscard]] const IngressCallId &id() const { return id_; }
    [[nodiscard]] TimePoint deadline() const { return deadline_; }
    /// Tries that left and have not ended; cancel them after the verdict.
    [[nodiscard]] std::vector<TryId> outstanding() const;
    /// Tries started so far.
    [[nodiscard]] std::uint32_t tries() const { return static_cast<std::uint32_t>(tries_.size()); }

private:
    enum class TryState : std::uint8_t {
        Prepared,
        Left,
        NotRun,
        MayHaveRun,
    };

    struct Try
    {
        NodeIdentity target;
        TryState state = TryState::Prepared;
        bool left = false;
    };

    [[nodiscard]] bool ended() const { return end_ != CallPhase::Deciding; }
    [[nodiscard]] Try *find(TryNumber number);
    [[nodiscard]] bool anyTryIn(TryState state) const;
    [[nodiscard]] bool underWay() const;
    [[nodiscard]] bool earlierTriesForbid(const NodeIdentity &target) const;
    [[nodiscard]] bool provedNotRun() const;

    IngressCallId id_;
    Repetition repetition_;
    std::uint32_t triesCap_;
    TimePoint deadline_;
    std::vector<Try> tries_;
    CallPhase end_ = CallPhase::Deciding;
};

}
