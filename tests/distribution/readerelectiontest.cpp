#include "distribution/readerelection.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const TableVersion Older{TableNumber(1), {}};
const TableVersion Newer{TableNumber(2), {}};

TimePoint at(int milliseconds)
{
    return TimePoint{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

std::shared_ptr<const PeerDirectory> directoryOf(int nodes)
{
    VmList list{1, {}};
    for (int node = 0; node < nodes; ++node) {
        const std::string number = std::to_string(node);
        list.records.push_back({UpstreamName("u" + number), ServiceName("s"),
                                Location{RegionName("mazowsze"), ZoneName(node % 2 == 0 ? "a" : "b")},
                                Endpoint("10.0.0.1:7"), VmState::Live});
    }
    return std::make_shared<const PeerDirectory>(list);
}

UpstreamName ranked(const PeerDirectory &directory, std::size_t rank)
{
    return directory.peers()[directory.regions().front().readers[rank]].upstream;
}

ReaderElection electionOf(const std::shared_ptr<const PeerDirectory> &directory, const UpstreamName &own)
{
    ReaderElection election({}, own, 1, at(0));
    election.setDirectory(directory);
    return election;
}

}

TEST_CASE("the first of a region watches and the next two poll")
{
    const auto directory = directoryOf(10);
    CHECK(electionOf(directory, ranked(*directory, 0)).decide(at(0)).action == ReadAction::Watch);
    for (const std::size_t rank : {std::size_t{1}, std::size_t{2}}) {
        ReaderElection standby = electionOf(directory, ranked(*directory, rank));
        const ReadDecision decision = standby.decide(at(0));
        CHECK(decision.action == ReadAction::Poll);
        CHECK(standby.decide(at(10)).action == ReadAction::None);
        CHECK(standby.decide(decision.nextAt).action == ReadAction::Poll);
    }
}

// Story: tables arrive a second late for as long as the first reader is frozen, although two others read. Cause: the
// ones standing by keep to their slow reads after they found the reader behind.
TEST_CASE("a standby that finds the head newer than what it was passed watches for a while")
{
    const auto directory = directoryOf(10);
    ReaderElection standby = electionOf(directory, ranked(*directory, 1));
    standby.headRead(Older, Older, at(0));
    CHECK(standby.decide(at(0)).action == ReadAction::Poll);
    standby.headRead(Newer, Older, at(1'000));
    CHECK(standby.decide(at(1'000)).action == ReadAction::Watch);
    CHECK(standby.decide(at(32'000)).action == ReadAction::Poll);
}

TEST_CASE("failing reads are repeated ever more slowly, up to a limit")
{
    const auto directory = directoryOf(10);
    ReaderElection reader = electionOf(directory, ranked(*directory, 0));
    for (int failure = 0; failure < 20; ++failure) {
        reader.readFailed(at(0));
    }
    const ReadDecision decision = reader.decide(at(0));
    CHECK(decision.action == ReadAction::None);
    CHECK(decision.nextAt <= at(3'000));
    CHECK(reader.decide(decision.nextAt).action == ReadAction::Watch);
}

TEST_CASE("others read only without a young confirmation, and all of them together under the limit")
{
    constexpr int Nodes = 5'000;
    constexpr int Seconds = 20;
    const auto directory = directoryOf(Nodes);
    int reads = 0;
    for (int node = 0; node < Nodes; ++node) {
        const std::string number = std::to_string(node);
        ReaderElection election({}, UpstreamName("u" + number), static_cast<std::uint64_t>(node), at(0));
        election.setDirectory(directory);
        if (election.rank()) {
            continue;
        }
        election.setConfirmedAt(at(5'000));
        CHECK(election.decide(at(19'999)).action == ReadAction::None);
        for (TimePoint now = at(20'000); now < at(20'000 + Seconds * 1'000);) {
            const ReadDecision decision = election.decide(now);
            reads += decision.action == ReadAction::Poll ? 1 : 0;
            now = decision.nextAt;
        }
        election.setConfirmedAt(at(41'000));
        CHECK(election.decide(at(41'000)).action == ReadAction::None);
    }
    CHECK(reads <= ReaderSettings{}.fleetReadsPerSecond * Seconds);
    CHECK(reads >= ReaderSettings{}.fleetReadsPerSecond * Seconds / 2);
}
