#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <tuple>
#include <unordered_map>

#include "core/verdict.h"
#include "idempotency/ingresscallid.h"

namespace Egretpath
{

/// Limits of a RequestLedger.
struct RequestLedgerLimits
{
    /// Tries remembered one by one, over all ingresses.
    std::size_t tries = 65'536;
    /// Ingress incarnations remembered; the one silent for longest is forgotten first.
    std::size_t ingresses = 32'768;
};

/// Lets each try arrive at most once at this egress, so that what was refused as not run stays not run, and what ran
/// does not run again, when the network delivers a copy late.
///
/// Bounded without clocks: a forgotten try raises its ingress's floor, and tries at or below the floor are refused as
/// may-have-run. A forgotten ingress has to introduce itself again, with a floor of its own choice.
/// Thread safety: none; one strand owns it.
class RequestLedger
{
public:
    explicit RequestLedger(RequestLedgerLimits limits = {});

    /// The first message of each connection from an ingress. @p nextSequence is one more than the largest sequence that
    /// it has sent to this egress incarnation so far; 1 if none. Changes nothing for an ingress that is remembered.
    void introduce(Incarnation ingress, CallSequence nextSequence);

    /// Nothing if this try arrives for the first time; it is remembered. Else why it may not run: as not run only if
    /// its first copy was refused as not run.
    [[nodiscard]] std::optional<Failure> admit(const TryId &tryId);
    /// The try was refused, or cancelled before it was handed over: its copies are told so as well.
    void refused(const TryId &tryId, const Failure &failure);

    [[nodiscard]] std::size_t tryCount() const { return tries_.size(); }
    [[nodiscard]] std::size_t ingressCount() const { return ingresses_.size(); }

private:
    struct Remembered
    {
        Verdict verdict = Verdict::MayHaveRun;
        Reason reason = Reason::None;
    };

    struct Floor
    {
        CallSequence sequence;
        TryNumber number;

        friend auto operator<=>(const Floor &left, const Floor &right)
        {
            return std::tie(left.sequence, left.number) <=> std::tie(right.sequence, right.number);
        }
    };

    struct Ingress
    {
        Floor floor;
        std::list<Incarnation>::iterator recency;
    };

    void forgetOldestTry();
    void forgetSilentIngress();

    RequestLedgerLimits limits_;
    std::unordered_map<TryId, Remembered> tries_;
    std::deque<TryId> triesByArrival_;
    std::unordered_map<Incarnation, Ingress> ingresses_;
    std::list<Incarnation> ingressesByRecency_;
};

}
