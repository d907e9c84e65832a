#include "distribution/startgate.h"

#include <map>

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const TableVersion Older{TableNumber(1), {}};
const TableVersion Newer{TableNumber(2), {}};
const UpstreamName Own("u0");

TimePoint at(int milliseconds)
{
    return TimePoint{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

std::shared_ptr<const PeerDirectory> directoryOf(int nodes)
{
    VmList list{1, {}};
    for (int node = 0; node < nodes; ++node) {
        const std::string number = std::to_string(node);
        const std::string region = std::to_string(node % 3);
        const std::string zone = std::to_string(node % 6);
        list.records.push_back({UpstreamName("u" + number), ServiceName("s"),
                                Location{RegionName(region), ZoneName(zone)}, Endpoint("10.0.0.1:7"), VmState::Live});
    }
    return std::make_shared<const PeerDirectory>(list);
}

StartGate gateOf(int nodes)
{
    StartGate gate({}, Own, 1, at(0));
    gate.setDirectory(directoryOf(nodes), at(0));
    return gate;
}

TableSummary inForce(const TableVersion &version)
{
    return {version, version, std::nullopt};
}

/// Answers all that the gate asks until @p end; @p answerOf returns nothing for a silent peer.
template<typename AnswerOf>
void answerAll(StartGate &gate, int begin, int end, AnswerOf answerOf)
{
    for (int now = begin; now < end; now += 100) {
        for (const VmRecord &peer : gate.peersToAsk(at(now))) {
            if (const std::optional<TableSummary> summary = answerOf(peer)) {
                gate.peerAnswered(peer.upstream, *summary, at(now));
            } else {
                gate.peerFailed(peer.upstream, at(now));
            }
        }
    }
}

}

TEST_CASE("the sample has its places in all zones and no region has half of them")
{
    StartGate gate = gateOf(60);
    std::map<RegionName, int> places;
    std::map<ZoneName, int> zones;
    for (const VmRecord &peer : gate.peersToAsk(at(0))) {
        CHECK(peer.upstream != Own);
        ++places[peer.location.region];
        ++zones[peer.location.zone];
    }
    CHECK(zones.size() == 6);
    for (const auto &[region, count] : places) {
        CHECK(count <= 3);
    }
}

TEST_CASE("the gate opens with the largest version of more than half of the sample and the platform")
{
    StartGate gate = gateOf(60);
    gate.platformAnswered(Older, at(0));
    const std::vector<VmRecord> peers = gate.peersToAsk(at(0));
    REQUIRE(peers.size() == 8);
    for (std::size_t index = 0; index < 4; ++index) {
        gate.peerAnswered(peers[index].upstream, inForce(index == 2 ? Newer : Older), at(1));
    }
    CHECK(gate.decide(Newer, at(1)).state == StartState::Asking);
    gate.peerAnswered(peers[4].upstream, inForce(Older), at(2));
    const StartDecision decision = gate.decide(Older, at(2));
    CHECK(decision.state == StartState::Fetching);
    CHECK(decision.required == Newer);
    CHECK(decision.holder == peers[2].upstream);
    CHECK(gate.decide(Newer, at(3)).state == StartState::Open);
}

TEST_CASE("when the holder of the table fails, the next one is named, then none")
{
    StartGate gate = gateOf(60);
    gate.platformAnswered(Older, at(0));
    std::vector<UpstreamName> holders;
    for (const VmRecord &peer : gate.peersToAsk(at(0))) {
        gate.peerAnswered(peer.upstream, inForce(holders.size() < 2 ? Newer : Older), at(1));
        holders.push_back(peer.upstream);
    }
    CHECK(gate.decide(Older, at(1)).holder == holders[0]);
    gate.peerFailed(holders[0], at(2));
    CHECK(gate.decide(Older, at(2)).holder == holders[1]);
    gate.peerFailed(holders[1], at(3));
    const StartDecision decision = gate.decide(Older, at(3));
    CHECK(decision.required == Newer);
    CHECK_FALSE(decision.holder);
}

TEST_CASE("a single node goes by the platform alone, once it is known to be single")
{
    StartGate gate({}, Own, 1, at(0));
    gate.platformAnswered(Older, at(0));
    CHECK(gate.decide(Older, at(60'000)).state == StartState::Asking);
    gate.setDirectory(directoryOf(1), at(0));
    CHECK(gate.decide(std::nullopt, at(0)).state == StartState::Fetching);
    CHECK(gate.decide(Older, at(0)).state == StartState::Open);
}

TEST_CASE("a region alone cannot open the gate, however many of its nodes are asked")
{
    StartGate gate = gateOf(60);
    gate.platformAnswered(Older, at(0));
    answerAll(gate, 0, 60'000, [](const VmRecord &peer) {
        return peer.location.region == RegionName("0") ? std::optional(inForce(Older)) : std::nullopt;
    });
    CHECK(gate.decide(Older, at(60'000)).state == StartState::Asking);
}

TEST_CASE("dead nodes of a lagging list are passed over")
{
    StartGate gate = gateOf(60);
    gate.platformAnswered(Older, at(0));
    // Two of the ten nodes of each zone are left.
    answerAll(gate, 0, 6'000, [](const VmRecord &peer) {
        return std::stoi(peer.upstream.value().substr(1)) >= 48 ? std::optional(inForce(Newer)) : std::nullopt;
    });
    CHECK(gate.decide(Newer, at(6'000)).state == StartState::Open);
}

TEST_CASE("empty answers count after the settle time if nobody has heard of a table")
{
    StartGate gate = gateOf(60);
    gate.platformAnswered(Older, at(0));
    answerAll(gate, 0, 1'900, [](const VmRecord &) { return std::optional(TableSummary{}); });
    CHECK(gate.decide(Older, at(1'900)).state == StartState::Asking);
    CHECK(gate.decide(Older, at(2'000)).state == StartState::Open);
}

// Story: a zone restarts at once and comes up with an old table, since its nodes hear mostly each other, who know
// nothing, and the platform, which is behind. Cause: "I have no table" taken for "there is no newer table".
TEST_CASE("with a table heard of, empty answers are asked over and count late, and what was heard is required")
{
    StartGate gate = gateOf(60);
    gate.platformAnswered(Older, at(0));
    answerAll(gate, 0, 9'000, [](const VmRecord &) {
        return std::optional(TableSummary{std::nullopt, Newer, std::nullopt});
    });
    CHECK(gate.decide(Older, at(9'000)).state == StartState::Asking);
    const StartDecision decision = gate.decide(Older, at(10'000));
    CHECK(decision.state == StartState::Fetching);
    CHECK(decision.required == Newer);
}

TEST_CASE("answers are kept while the list grows")
{
    StartGate gate = gateOf(7);
    gate.platformAnswered(Older, at(0));
    answerAll(gate, 0, 100, [](const VmRecord &) { return std::optional(inForce(Older)); });
    gate.setDirectory(directoryOf(60), at(100));
    CHECK(gate.peersToAsk(at(100)).size() == 2);
    CHECK(gate.decide(Older, at(100)).state == StartState::Open);
}

// Story: a whole fleet starts; the first nodes open and the others, who have heard of their table by then, must meet
// enough of them. A round lost at the end of each zone's nodes kept small fleets shut for half a second more.
TEST_CASE("when all nodes of a zone have answered, the first is asked again without a round lost")
{
    StartGate gate = gateOf(12);
    for (const int now : {0, 500, 1000, 1500}) {
        const std::vector<VmRecord> peers = gate.peersToAsk(at(now));
        CHECK(peers.size() == 8);
        for (const VmRecord &peer : peers) {
            gate.peerAnswered(peer.upstream, {}, at(now));
        }
    }
}
