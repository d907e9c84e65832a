#include "idempotency/requestledger.h"

#include <algorithm>
#include <limits>

namespace Egretpath
{

RequestLedger::RequestLedger(RequestLedgerLimits limits)
    : limits_(limits)
{
}

void RequestLedger::introduce(Incarnation ingress, CallSequence nextSequence)
{
    const auto known = ingresses_.find(ingress);
    if (known != ingresses_.end()) {
        ingressesByRecency_.splice(ingressesByRecency_.begin(), ingressesByRecency_, known->second.recency);
        return;
    }
    if (ingresses_.size() >= limits_.ingresses) {
        forgetSilentIngress();
    }
    const std::uint64_t last = nextSequence.value() == 0 ? 0 : nextSequence.value() - 1;
    const Floor floor{CallSequence(last), TryNumber(std::numeric_limits<std::uint32_t>::max())};
    ingressesByRecency_.push_front(ingress);
    ingresses_.emplace(ingress, Ingress{floor, ingressesByRecency_.begin()});
}

std::optional<Failure> RequestLedger::admit(const TryId &tryId)
{
    const auto copy = tries_.find(tryId);
    if (copy != tries_.end()) {
        return Failure{copy->second.verdict, copy->second.reason, Milliseconds{0}, "a copy of an earlier message"};
    }
    const auto known = ingresses_.find(tryId.call.ingress);
    if (known == ingresses_.end()) {
        return mayHaveRun(Reason::WrongIncarnation, "the ingress has not introduced itself");
    }
    Ingress &ingress = known->second;
    ingressesByRecency_.splice(ingressesByRecency_.begin(), ingressesByRecency_, ingress.recency);
    // A forgotten try looks like a new one. All forgotten tries of an ingress are at or below its floor.
    if (Floor{tryId.call.sequence, tryId.number} <= ingress.floor) {
        return mayHaveRun(Reason::KeyOutOfMemory, "the request is older than this node's memory");
    }
    tries_.emplace(tryId, Remembered{Verdict::MayHaveRun, Reason::AnswerNotHeld});
    triesByArrival_.push_back(tryId);
    while (triesByArrival_.size() > limits_.tries) {
        forgetOldestTry();
    }
    return std::nullopt;
}

void RequestLedger::refused(const TryId &tryId, const Failure &failure)
{
    const auto position = tries_.find(tryId);
    if (position != tries_.end()) {
        position->second = Remembered{failure.verdict, failure.reason};
    }
}

void RequestLedger::forgetOldestTry()
{
    const TryId oldest = triesByArrival_.front();
    triesByArrival_.pop_front();
    tries_.erase(oldest);
    const auto known = ingresses_.find(oldest.call.ingress);
    if (known != ingresses_.end()) {
        known->second.floor = std::max(known->second.floor, Floor{oldest.call.sequence, oldest.number});
    }
}

void RequestLedger::forgetSilentIngress()
{
    ingresses_.erase(ingressesByRecency_.back());
    ingressesByRecency_.pop_back();
}

}
