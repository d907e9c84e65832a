#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "idempotency/atmostonceguard.h"
#include "idempotency/callstate.h"
#include "idempotency/keyrouter.h"

namespace Egretpath::Testing
{

/// How often the interesting things happened, so that a passing run can be seen to have met them.
struct FleetCounts
{
    std::uint64_t runs = 0;
    std::uint64_t timedKeyRuns = 0;
    std::uint64_t replays = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t copiesRefused = 0;
    std::uint64_t outOfMemory = 0;
    std::uint64_t lateSendings = 0;
    std::uint64_t restarts = 0;
    std::uint64_t tableChanges = 0;
};

/// A few ingresses and egresses around the decision classes, with a network that loses, copies, delays and reorders,
/// processes that pause and restart, table changes and wrong clocks. Each event is chosen by one number.
class SimulatedFleet
{
public:
    explicit SimulatedFleet(RefusedKeys refusedKeys);

    void apply(std::uint32_t choice);
    /// Lets everything that is under way arrive, in the order of @p seed.
    void settle(std::uint32_t seed);
    /// Broken promises, in words; empty if there are none.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] const FleetCounts &counts() const { return counts_; }

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
        CallId call;
        std::string key;
        std::uint64_t step = 0;
    };

    struct Invocation
    {
        std::string key;
        std::uint64_t step = 0;
        std::optional<Verdict> verdict;
    };

    using Event = void (SimulatedFleet::*)(Random &);
    struct WeightedEvent
    {
        Event event;
        std::uint32_t weight;
    };
    static const std::vector<WeightedEvent> Events;
    [[nodiscard]] static std::uint32_t totalWeight();

    void invoke(Random &random);
    void sendPrepared(Random &random);
    void deliver(Random &random);
    void lose(Random &random);
    void handOver(Random &random);
    void finish(Random &random);
    void breakAnswer(Random &random);
    void refuseQueued(Random &random);
    void giveUp(Random &random);
    void loseConnection(Random &random);
    void restartEgress(Random &random);
    void restartIngress(Random &random);
    void changeTable(Random &random);
    void adoptTable(Random &random);
    void confirmTable(Random &random);
    void passTime(Random &random);

    [[nodiscard]] std::optional<KnownKey> chooseKey(Random &random);
    [[nodiscard]] KnownKey makeKey(Random &random);
    [[nodiscard]] Call *chooseCall(Random &random, bool prepared);
    [[nodiscard]] Ingress *ingressOf(const CallId &call);
    [[nodiscard]] std::size_t egressNamed(const UpstreamName &name) const;
    [[nodiscard]] WallTime wallOf(const Egress &egress) const;
    [[nodiscard]] Duration clockOf(const CallId &call) const;
    void start(Egress &egress);
    void confirm(Egress &egress);
    void refuse(Egress &egress, const IncomingCall &call);
    void confirmUntilCallerKeysAreTaken();
    void prepareTry(Call &call);
    void connect(Ingress &ingress, const Call &call);
    void arrive(const CallMessage &message);
    void arrive(const AnswerMessage &message, Random &random);
    void tryFailed(Call &call, TryNumber number, const Failure &failure, Random &random);
    void conclude(const CallId &call, Verdict verdict);
    void concludeWith(const CallId &call, const std::optional<Failure> &failure);
    void checkAnswer(const Call &call, const HeldAnswer &answer);

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
    std::map<CallId, Invocation> invocations_;
    std::vector<std::string> wrongAnswers_;
    KeyRouter router_;
    FleetCounts counts_;
};

}
