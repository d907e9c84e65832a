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

/// Whether a call may be sent again when its upstream may have run it.
enum class Repetition : std::uint8_t {
    /// Running the call twice does no harm: tries may follow one another and may be under way at the same time.
    Repeatable,
    /// The call may run once. A further try is sent only after each earlier try is proved not run.
    Once,
    /// The call may run once for its key, counted over all calls that carry the key. The upstream of the first try is
    /// the owner of the key, which recognizes repeated calls.
    OncePerKey,
};

/// State of a call as a whole.
enum class CallPhase : std::uint8_t {
    /// No try is in flight.
    Deciding,
    /// At least one try is in flight.
    Sent,
    /// The caller was given an answer.
    Answered,
    /// The caller was given a failure.
    GivenUp,
};

/// What the ingress does after a try failed.
enum class NextStep : std::uint8_t {
    /// Do nothing: the call or the try has ended already, or the try is not known.
    Ignore,
    /// Wait for another try that is under way.
    Wait,
    /// Start another try if the deadline, the maximum of tries and the retry budget allow it; else give up.
    MayRetry,
    /// Give up now.
    GiveUp,
};

/// The ingress's state of one call. It gives exactly one verdict and permits no sending afterwards. The verdict is "not
/// run" only if no try was sent or each try that was sent is proved not run.
///
/// The verdict and each permission to send come from the same object on the same strand. A process that was paused and
/// continues late therefore finds that the call has ended or its deadline has passed, and sends nothing.
/// Thread safety: none; one strand owns it.
class CallState
{
public:
    /// Precondition: @p maxTries is at least 1. It limits the number of tries that are started, sent or not. It may be
    /// larger than 1 for a call that may run once: such a call is sent again only after a proof that it did not run, or
    /// to the owner of its key.
    CallState(IngressCallId id, Repetition repetition, std::uint32_t maxTries, TimePoint deadline);

    /// Prepares a try. Nothing may be sent before permitSending().
    /// Errors: DeadlinePassed; BudgetSpent (maximum of tries reached); KeyInUse (an earlier try may run, or the
    /// upstream of @p target is not the owner of the key); Cancelled (the call has ended). An error does not end the
    /// call.
    [[nodiscard]] Result<TryId> startTry(const NodeIdentity &target, TimePoint now);
    /// Returns whether the try may be sent. Call this immediately before the first byte is written, without waiting in
    /// between. After true the try counts as sent; after false nothing may be written.
    [[nodiscard]] bool permitSending(TryNumber number, TimePoint now);
    /// Records that a try ended without an answer. A try that was not sent counts as not run. A try that was sent
    /// counts as not run only if the egress said so in @p failure; the ingress itself reports broken connections and
    /// silence as may-have-run.
    [[nodiscard]] NextStep onTryFailed(TryNumber number, const Failure &failure);
    /// Records that the complete answer to a try has arrived. Returns whether to give the answer to the caller; that is
    /// true at most once.
    [[nodiscard]] bool acceptAnswer(TryNumber number);
    /// Ends the call. Returns the failure to give to the caller, with the verdict that the tries prove, or nothing if
    /// the call had ended before. A call with a key counts as not run only if the owner of the key says so, because
    /// another call may have run under the key.
    [[nodiscard]] std::optional<Failure> giveUp(Reason reason, Milliseconds retryAfter = Milliseconds{0},
                                                std::string detail = {});

    /// Ends the call with a failure that was found before any try was started, such as a malformed key. Same as
    /// giveUp() if a try was started.
    [[nodiscard]] std::optional<Failure> refuse(const Failure &failure);

    [[nodiscard]] CallPhase phase() const;
    [[nodiscard]] const IngressCallId &id() const { return id_; }
    [[nodiscard]] TimePoint deadline() const { return deadline_; }
    /// Tries that were sent and have not ended. The ingress cancels them after the verdict.
    [[nodiscard]] std::vector<TryId> outstanding() const;
    /// Number of tries started so far.
    [[nodiscard]] std::uint32_t tries() const { return static_cast<std::uint32_t>(tries_.size()); }

private:
    enum class TryState : std::uint8_t {
        Prepared,
        InFlight,
        NotRun,
        MayHaveRun,
    };

    struct Try
    {
        NodeIdentity target;
        TryState state = TryState::Prepared;
        /// Stays true after the try has ended.
        bool wasSent = false;
    };

    [[nodiscard]] bool hasEnded() const { return finalPhase_ != CallPhase::Deciding; }
    [[nodiscard]] Try *findTry(TryNumber number);
    [[nodiscard]] bool hasTryIn(TryState state) const;
    [[nodiscard]] bool hasOpenTry() const;
    [[nodiscard]] bool isForbiddenByEarlierTries(const NodeIdentity &target) const;
    [[nodiscard]] bool isProvedNotRun() const;

    IngressCallId id_;
    Repetition repetition_;
    std::uint32_t maxTries_;
    TimePoint deadline_;
    std::vector<Try> tries_;
    /// The phase in which the call ended, or Deciding while it has not ended.
    CallPhase finalPhase_ = CallPhase::Deciding;
};

}
