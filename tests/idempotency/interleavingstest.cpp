#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fixtures.h"
#include "idempotency/atmostonceguard.h"
#include "idempotency/callstate.h"
#include "idempotency/keyrouter.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

constexpr std::uint64_t Seed = 20261202;
constexpr int Runs = 3000;
constexpr std::uint32_t ChoiceBound = 1U << 30U;
constexpr std::size_t EgressCount = 3;
constexpr std::size_t IngressCount = 3;
constexpr Milliseconds Deadline = 150ms;
constexpr Milliseconds OwnerClockError = 5ms;
constexpr Milliseconds CallerClockError = 120ms;
constexpr std::uint32_t TriesCap = 3;

std::uint64_t below(Random &random, std::uint64_t bound)
{
    return random() % bound;
}

bool oneIn(Random &random, std::uint64_t count)
{
    return below(random, count) == 0;
}

Milliseconds errorWithin(Random &random, Milliseconds bound)
{
    const std::uint64_t span = 2 * static_cast<std::uint64_t>(bound.count()) + 1;
    return Milliseconds{static_cast<std::int64_t>(below(random, span))} - bound;
}

/// Small memories and short allowances, so that a few dozen events exhaust them.
AtMostOnceLimits tightLimits(RefusedKeys refusedKeys)
{
    AtMostOnceLimits limits;
    limits.keys.refusedKeys = refusedKeys;
    limits.keys.finishedKeys = 2;
    limits.keys.runningKeys = 3;
    limits.keys.answerBytes = Bytes(3 * answer(toHex(Digest{})).size().value());
    limits.keys.futureAllowance = 40ms;
    limits.requests.tries = 8;
    limits.requests.ingresses = 2;
    limits.timedKeys = TimedKeyLimits{2 * OwnerClockError + 1ms, 20ms, 60ms};
    return limits;
}

std::string timedKeyText(KeyStamp stamp, std::uint64_t nonce)
{
    const std::string digits = toHex(Digest{stamp.value() << 16U, nonce});
    return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-7000-8000-" + digits.substr(20);
}

template<typename Item>
Item take(std::vector<Item> &items, std::size_t index)
{
    Item item = std::move(items[index]);
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(index));
    return item;
}

/// What makes a run worth its name; each must have happened often.
enum Occurrence : std::size_t {
    Ran,
    RanUnderTimedKey,
    AnswerReplayed,
    SaidNotRun,
    SaidMayHaveRun,
    CopyRefused,
    KeyForgotten,
    SendingStopped,
    EgressRestarted,
    TableChanged,
    OccurrenceCount,
};

using Occurrences = std::array<std::uint64_t, OccurrenceCount>;

constexpr std::array<const char *, OccurrenceCount> OccurrenceWords{
    "ran",          "ran under a timed key", "answer replayed", "said not run",     "said may have run",
    "copy refused", "key forgotten",         "sending stopped", "egress restarted", "table changed",
};

/// A few ingresses and egresses around the decision classes, with a network that loses, copies, delays and reorders,
/// processes that pause and restart, table changes and wrong clocks. Each event is chosen by one number.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(RefusedKeys refusedKeys)
        : refusedKeys_(refusedKeys)
        , now_(Start)
        , wall_(WallStart)
        , router_(KeyRouter::standard(true))
    {
        const char *names[EgressCount] = {"a", "b", "c"};
        tables_.emplace_back(std::vector<UpstreamName>{UpstreamName("a"), UpstreamName("b")});
        for (std::size_t index = 0; index < EgressCount; ++index) {
            Egress &egress = egresses_.emplace_back();
            egress.name = UpstreamName(names[index]);
            egress.clockError = OwnerClockError * (static_cast<int>(index) - 1);
            start(egress);
        }
        for (std::size_t index = 0; index < IngressCount; ++index) {
            ingresses_.emplace_back().incarnation = Incarnation(++incarnations_);
        }
        confirmUntilCallerKeysAreTaken();
    }

    void apply(std::uint32_t choice)
    {
        std::uint32_t place = choice % totalWeight();
        ++step_;
        for (const WeightedEvent &item : events()) {
            if (place < item.weight) {
                Random random(choice);
                (this->*item.event)(random);
                return;
            }
            place -= item.weight;
        }
    }

    void settle(std::uint32_t seed)
    {
        Random random(seed);
        for (int round = 0; round < 200 && !network_.empty(); ++round) {
            ++step_;
            deliver(random);
            handOver(random);
            finish(random);
        }
        for (std::size_t round = 0; round < 20; ++round) {
            handOver(random);
            finish(random);
        }
    }

    std::vector<std::string> violations() const
    {
        std::vector<std::string> found = wrongAnswers_;
        std::set<std::string> keysRun;
        std::set<IngressCallId> callsRun;
        for (const Run &run : runs_) {
            if (!run.key.empty() && !keysRun.insert(run.key).second) {
                found.push_back("the key ran twice: " + run.key);
            }
            if (!callsRun.insert(run.call).second) {
                found.push_back("the call ran twice");
            }
        }
        for (const auto &[call, invocation] : invocations_) {
            if (invocation.verdict != Verdict::NotRun) {
                continue;
            }
            for (const Run &run : runs_) {
                const bool sameKey = !run.key.empty() && run.key == invocation.key;
                const bool keyDenied = refusedKeys_ == RefusedKeys::Retire || run.step < invocation.step;
                if (run.call == call || (sameKey && keyDenied)) {
                    found.push_back("ran, and was said not to have run: " + invocation.key);
                }
            }
        }
        return found;
    }

    [[nodiscard]] const Occurrences &occurrences() const { return occurrences_; }

private:
    struct Egress
    {
        UpstreamName name;
        Milliseconds clockError{0};
        Incarnation incarnation;
        std::size_t table = 0;
        std::unique_ptr<AtMostOnceGuard> guard;
        std::vector<IncomingCall> queued;
        std::vector<IncomingCall> handedOver;
    };

    struct Call
    {
        CallState state;
        std::optional<KeyText> key;
        Digest fingerprint;
        std::optional<Digest> ownerSet;
        std::size_t egress = 0;
        Incarnation target;
        std::optional<TryNumber> prepared;
    };

    struct Ingress
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        std::size_t table = 0;
        std::map<std::uint64_t, Call> calls;
        std::map<Incarnation, std::uint64_t> largestSent;
        std::set<Incarnation> connections;
    };

    struct CallMessage
    {
        std::size_t egress = 0;
        IncomingCall call;
    };

    struct AnswerMessage
    {
        TryId tryId;
        std::variant<HeldAnswer, Failure> content;
    };

    using Message = std::variant<CallMessage, AnswerMessage>;

    struct KnownKey
    {
        KeyText text;
        Digest fingerprint;
    };

    struct Run
    {
        IngressCallId call;
        std::string key;
        std::uint64_t step = 0;
    };

    struct Invocation
    {
        std::string key;
        std::uint64_t step = 0;
        std::optional<Verdict> verdict;
    };

    struct WeightedEvent
    {
        void (SimulatedFleet::*event)(Random &);
        std::uint32_t weight;
    };

    static const std::vector<WeightedEvent> &events()
    {
        static const std::vector<WeightedEvent> weighted{
            {&SimulatedFleet::invoke, 60},       {&SimulatedFleet::sendPrepared, 72},
            {&SimulatedFleet::deliver, 150},     {&SimulatedFleet::lose, 9},
            {&SimulatedFleet::handOver, 66},     {&SimulatedFleet::finish, 60},
            {&SimulatedFleet::breakAnswer, 6},   {&SimulatedFleet::refuseQueued, 15},
            {&SimulatedFleet::giveUp, 12},       {&SimulatedFleet::loseConnection, 12},
            {&SimulatedFleet::restartEgress, 1}, {&SimulatedFleet::restartIngress, 2},
            {&SimulatedFleet::changeTable, 1},   {&SimulatedFleet::adoptTable, 12},
            {&SimulatedFleet::confirmTable, 90}, {&SimulatedFleet::passTime, 60},
        };
        return weighted;
    }

    void note(Occurrence occurrence, bool happened = true) { occurrences_[occurrence] += happened ? 1 : 0; }

    void confirmUntilCallerKeysAreTaken()
    {
        for (const Milliseconds end = 150ms; now_ < Start + end; now_ += 10ms, wall_ += 10ms) {
            for (Egress &egress : egresses_) {
                confirm(egress);
            }
        }
    }

    static std::uint32_t totalWeight()
    {
        std::uint32_t total = 0;
        for (const WeightedEvent &item : events()) {
            total += item.weight;
        }
        return std::max(total, 1U);
    }

    void invoke(Random &random)
    {
        Ingress &ingress = ingresses_[below(random, IngressCount)];
        const auto key = chooseKey(random);
        const IngressCallId id{ingress.incarnation, CallSequence(++ingress.sequence)};
        const Repetition repetition = key ? Repetition::OncePerKey : Repetition::Once;
        Call call{CallState(id, repetition, TriesCap, now_ + Deadline), {}, Digest{0, ++nonces_}, {}, 0, {}, {}};
        invocations_[id] = Invocation{key ? key->text.value() : "", step_, std::nullopt};
        const OwnerSet &owners = tables_[ingress.table];
        call.egress = egressNamed(owners.upstreams()[below(random, owners.upstreams().size())]);
        if (key) {
            call.key = key->text;
            call.fingerprint = oneIn(random, 20) ? Digest{1, nonces_} : key->fingerprint;
            const auto target = router_.route(key->text, owners);
            if (!target) {
                concludeWith(id, call.state.refuse(target.error()));
                return;
            }
            call.egress = egressNamed(target.value().upstream);
            call.ownerSet = target.value().ownerSet;
        }
        Call &placed = ingress.calls.emplace(ingress.sequence, std::move(call)).first->second;
        prepareTry(placed);
    }

    void prepareTry(Call &call)
    {
        if (!call.key && call.state.tries() > 0) {
            call.egress = egressNamed(tables_.back().upstreams().front());
        }
        const Egress &egress = egresses_[call.egress];
        call.target = egress.incarnation;
        const auto next = call.state.startTry({egress.name, egress.incarnation}, now_);
        if (next) {
            call.prepared = next.value().number;
        } else {
            concludeWith(call.state.id(), call.state.giveUp(next.error().reason));
        }
    }

    void sendPrepared(Random &random)
    {
        Call *call = chooseCall(random, true);
        if (call == nullptr) {
            return;
        }
        const TryNumber number = *call->prepared;
        call->prepared.reset();
        if (!call->state.permitSending(number, now_)) {
            note(SendingStopped);
            return;
        }
        const IngressCallId id = call->state.id();
        IncomingCall message{TryId{id, number}, call->target, call->key, call->ownerSet, call->fingerprint, {}, {}};
        message.sentAt = clockOf(id);
        message.timeLeft = call->state.deadline() - now_;
        Ingress &ingress = *ingressOf(id);
        connect(ingress, *call);
        std::uint64_t &largest = ingress.largestSent[call->target];
        largest = std::max(largest, id.sequence.value());
        network_.emplace_back(CallMessage{call->egress, message});
    }

    void connect(Ingress &ingress, const Call &call)
    {
        const Egress &egress = egresses_[call.egress];
        if (egress.incarnation == call.target && ingress.connections.insert(call.target).second) {
            egress.guard->introduce(ingress.incarnation, CallSequence(ingress.largestSent[call.target] + 1));
        }
    }

    void deliver(Random &random)
    {
        if (network_.empty()) {
            return;
        }
        const std::size_t index = below(random, network_.size());
        const Message message = oneIn(random, 5) ? network_[index] : take(network_, index);
        if (const auto *call = std::get_if<CallMessage>(&message)) {
            arrive(*call);
        } else {
            arrive(std::get<AnswerMessage>(message), random);
        }
    }

    void lose(Random &random)
    {
        if (!network_.empty()) {
            (void)take(network_, below(random, network_.size()));
        }
    }

    void arrive(const CallMessage &message)
    {
        Egress &egress = egresses_[message.egress];
        const auto decision = egress.guard->begin(message.call, now_, wallOf(egress));
        if (runs(decision)) {
            egress.queued.push_back(message.call);
        } else if (const auto *replay = std::get_if<ReplayAnswer>(&decision)) {
            note(AnswerReplayed);
            network_.emplace_back(AnswerMessage{message.call.tryId, *replay->answer});
        } else {
            const Failure failure = refusal(decision);
            note(CopyRefused, failure.detail == "a copy of an earlier message");
            note(KeyForgotten, failure.reason == Reason::KeyOutOfMemory);
            network_.emplace_back(AnswerMessage{message.call.tryId, failure});
        }
    }

    void arrive(const AnswerMessage &message, Random &random)
    {
        Ingress *ingress = ingressOf(message.tryId.call);
        if (ingress == nullptr) {
            return;
        }
        Call &call = ingress->calls.at(message.tryId.call.sequence.value());
        if (const auto *failure = std::get_if<Failure>(&message.content)) {
            tryFailed(call, message.tryId.number, *failure, random);
        } else if (call.state.answered(message.tryId.number)) {
            checkAnswer(call, std::get<HeldAnswer>(message.content));
            conclude(message.tryId.call, Verdict::Answered);
        }
    }

    void tryFailed(Call &call, TryNumber number, const Failure &failure, Random &random)
    {
        if (failure.reason == Reason::ConnectionLost || failure.reason == Reason::WrongIncarnation) {
            ingressOf(call.state.id())->connections.erase(call.target);
        }
        const NextStep next = call.state.tryFailed(number, failure);
        if (next == NextStep::MayTryAgain && !oneIn(random, 3)) {
            prepareTry(call);
        } else if (next == NextStep::GiveUp || next == NextStep::MayTryAgain) {
            concludeWith(call.state.id(), call.state.giveUp(failure.reason));
        }
    }

    void handOver(Random &random)
    {
        Egress &egress = egresses_[below(random, EgressCount)];
        if (egress.queued.empty()) {
            return;
        }
        const IncomingCall call = take(egress.queued, below(random, egress.queued.size()));
        if (!egress.guard->handedOver(call.tryId, now_)) {
            refuse(egress, call);
            return;
        }
        note(Ran);
        note(RanUnderTimedKey, call.ownerSet.has_value());
        runs_.push_back(Run{call.tryId.call, call.key ? call.key->value() : "", step_});
        egress.handedOver.push_back(call);
    }

    void finish(Random &random)
    {
        Egress &egress = egresses_[below(random, EgressCount)];
        if (egress.handedOver.empty()) {
            return;
        }
        const IncomingCall call = take(egress.handedOver, below(random, egress.handedOver.size()));
        const HeldAnswer content = answer(toHex(call.fingerprint));
        egress.guard->finished(call.tryId, content, now_);
        network_.emplace_back(AnswerMessage{call.tryId, content});
    }

    void breakAnswer(Random &random)
    {
        Egress &egress = egresses_[below(random, EgressCount)];
        if (!egress.handedOver.empty()) {
            const IncomingCall call = take(egress.handedOver, below(random, egress.handedOver.size()));
            egress.guard->unknownOutcome(call.tryId, now_);
            network_.emplace_back(AnswerMessage{call.tryId, mayHaveRun(Reason::BadAnswer)});
        }
    }

    void refuseQueued(Random &random)
    {
        Egress &egress = egresses_[below(random, EgressCount)];
        // Now and then a call that was handed over meets its deadline: the egress asks for "not run" in vain.
        std::vector<IncomingCall> &calls = oneIn(random, 3) ? egress.handedOver : egress.queued;
        if (!calls.empty()) {
            refuse(egress, take(calls, below(random, calls.size())));
        }
    }

    void refuse(Egress &egress, const IncomingCall &call)
    {
        const Failure failure = egress.guard->refused(call.tryId, notRun(Reason::Overloaded), now_);
        network_.emplace_back(AnswerMessage{call.tryId, failure});
    }

    void giveUp(Random &random)
    {
        if (Call *call = chooseCall(random, oneIn(random, 2))) {
            concludeWith(call->state.id(), call->state.giveUp(Reason::DeadlinePassed));
        }
    }

    void loseConnection(Random &random)
    {
        Call *call = chooseCall(random, oneIn(random, 2));
        if (call != nullptr && call->state.tries() > 0) {
            const TryNumber last(call->state.tries());
            call->prepared.reset();
            tryFailed(*call, last, mayHaveRun(Reason::ConnectionLost), random);
        }
    }

    void restartEgress(Random &random)
    {
        start(egresses_[below(random, EgressCount)]);
        note(EgressRestarted);
    }

    void start(Egress &egress)
    {
        egress.incarnation = Incarnation(++incarnations_);
        egress.queued.clear();
        egress.handedOver.clear();
        egress.guard =
            std::make_unique<AtMostOnceGuard>(NodeIdentity{egress.name, egress.incarnation}, tightLimits(refusedKeys_));
    }

    void restartIngress(Random &random)
    {
        Ingress &ingress = ingresses_[below(random, IngressCount)];
        const std::size_t table = ingress.table;
        ingress = Ingress{};
        ingress.table = table;
        ingress.incarnation = Incarnation(++incarnations_);
    }

    void changeTable(Random &random)
    {
        std::vector<UpstreamName> rows;
        for (const Egress &egress : egresses_) {
            if (!oneIn(random, 3)) {
                rows.push_back(egress.name);
            }
        }
        if (!rows.empty()) {
            tables_.emplace_back(std::move(rows));
            note(TableChanged);
        }
    }

    void adoptTable(Random &random) { ingresses_[below(random, IngressCount)].table = tables_.size() - 1; }

    void confirmTable(Random &random) { confirm(egresses_[below(random, EgressCount)]); }

    void confirm(Egress &egress)
    {
        const std::size_t newest = tables_.size() - 1;
        const bool sawEveryTable = newest - egress.table <= 1;
        egress.table = newest;
        egress.guard->tableConfirmed(tables_[newest].digest(), sawEveryTable, now_, wallOf(egress));
    }

    void passTime(Random &random)
    {
        const Milliseconds passed{static_cast<std::int64_t>(below(random, 30))};
        now_ += passed;
        wall_ += passed;
    }

    std::optional<KnownKey> chooseKey(Random &random)
    {
        if (oneIn(random, 6)) {
            return std::nullopt;
        }
        if (!keys_.empty() && !oneIn(random, 3)) {
            const std::size_t recent = std::min<std::size_t>(keys_.size(), 8);
            return keys_[keys_.size() - 1 - below(random, recent)];
        }
        return keys_.emplace_back(makeKey(random));
    }

    KnownKey makeKey(Random &random)
    {
        const Digest fingerprint{0, ++nonces_};
        const WallTime wall = wall_ + (oneIn(random, 4) ? errorWithin(random, CallerClockError) : Milliseconds{0});
        if (oneIn(random, 12)) {
            return {KeyText("order-" + std::to_string(nonces_)), fingerprint};
        }
        if (oneIn(random, 2)) {
            return {KeyText(timedKeyText(stampOf(wall), nonces_)), fingerprint};
        }
        const Egress &owner = egresses_[below(random, EgressCount)];
        return {issueKey({owner.name, owner.incarnation}, wall, random).text(), fingerprint};
    }

    Call *chooseCall(Random &random, bool prepared)
    {
        Ingress &ingress = ingresses_[below(random, IngressCount)];
        std::vector<Call *> candidates;
        for (auto &[sequence, call] : ingress.calls) {
            // A prepared try of an ended call is the one that a paused process might still send.
            const bool ended = call.state.phase() == CallPhase::GivenUp || call.state.phase() == CallPhase::Answered;
            if (prepared ? call.prepared.has_value() : !ended) {
                candidates.push_back(&call);
            }
        }
        return candidates.empty() ? nullptr : candidates[below(random, candidates.size())];
    }

    Ingress *ingressOf(const IngressCallId &call)
    {
        for (Ingress &ingress : ingresses_) {
            if (ingress.incarnation == call.ingress) {
                return &ingress;
            }
        }
        return nullptr;
    }

    std::size_t egressNamed(const UpstreamName &name) const
    {
        std::size_t index = 0;
        while (egresses_[index].name != name) {
            ++index;
        }
        return index;
    }

    WallTime wallOf(const Egress &egress) const { return wall_ + egress.clockError; }

    Duration clockOf(const IngressCallId &call) const
    {
        // Each ingress counts from an epoch of its own.
        return now_.time_since_epoch() + call.ingress.value() * Duration(1h);
    }

    void conclude(const IngressCallId &call, Verdict verdict)
    {
        invocations_.at(call).verdict = verdict;
        note(SaidNotRun, verdict == Verdict::NotRun);
        note(SaidMayHaveRun, verdict == Verdict::MayHaveRun);
    }

    void concludeWith(const IngressCallId &call, const std::optional<Failure> &failure)
    {
        if (failure) {
            conclude(call, failure->verdict);
        }
    }

    void checkAnswer(const Call &call, const HeldAnswer &answer)
    {
        if (answer.body != toHex(call.fingerprint)) {
            wrongAnswers_.push_back("the answer of another request");
        }
    }

    RefusedKeys refusedKeys_;
    TimePoint now_;
    WallTime wall_;
    std::uint64_t step_ = 0;
    std::uint64_t incarnations_ = 0;
    std::uint64_t nonces_ = 0;
    std::vector<OwnerSet> tables_;
    std::vector<Egress> egresses_;
    std::vector<Ingress> ingresses_;
    std::vector<Message> network_;
    std::vector<KnownKey> keys_;
    std::vector<Run> runs_;
    std::map<IngressCallId, Invocation> invocations_;
    std::vector<std::string> wrongAnswers_;
    KeyRouter router_;
    Occurrences occurrences_{};
};

rc::detail::TestResult checkRuns(const std::function<void()> &property)
{
    rc::detail::TestMetadata metadata;
    metadata.id = "no key runs twice, and nothing that ran is said not to have run";
    metadata.description = metadata.id;
    rc::detail::TestParams params;
    params.seed = Seed;
    params.maxSuccess = Runs;
    // To shrink hundreds of events takes minutes, past the test's time limit; without it a failure shows its events.
    params.disableShrinking = true;
    return rc::detail::checkTestable(property, metadata, params);
}

void checkFleets(RefusedKeys refusedKeys)
{
    Occurrences total{};
    const auto result = checkRuns([&total, refusedKeys] {
        const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
            *rc::gen::inRange<std::size_t>(300, 1000), rc::gen::inRange<std::uint32_t>(0, ChoiceBound));
        SimulatedFleet fleet(refusedKeys);
        for (const std::uint32_t choice : choices) {
            fleet.apply(choice);
        }
        fleet.settle(choices.front());
        std::transform(total.begin(), total.end(), fleet.occurrences().begin(), total.begin(), std::plus<>());
        RC_ASSERT(fleet.violations() == std::vector<std::string>());
    });
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    INFO(report.str());
    REQUIRE(result.is<rc::detail::SuccessResult>());
    // A fleet in which nothing happens breaks no promise either.
    for (std::size_t index = 0; index < total.size(); ++index) {
        WARN(OccurrenceWords[index] << ": " << total[index]);
        CHECK(total[index] > Runs / 10);
    }
}

}

TEST_CASE("no interleaving runs a key twice or denies a run")
{
    // A household is charged twice, or is told that nothing ran and pays again. Ingresses and owners restart, pause and
    // hold different tables, while messages are lost, copied, late and out of order and memories overflow.
    checkFleets(RefusedKeys::StayUsable);
}

TEST_CASE("a key that was said not to have run never runs if refused keys are retired")
{
    // An accountant hears "may have run", asks again with the same key, hears "not run" and pays under a fresh key. The
    // first message was held up in the network and runs then: the payment is made twice.
    checkFleets(RefusedKeys::Retire);
}
