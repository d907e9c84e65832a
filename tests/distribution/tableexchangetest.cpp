#include "distribution/tableexchange.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "fakefleet.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

VmRecord recordOf(int node, const std::string &region, const std::string &zone = "a")
{
    const std::string number = std::to_string(node);
    return {UpstreamName("u" + number), ServiceName("s"), Location{RegionName(region), ZoneName(region + "-" + zone)},
            Endpoint("10.0.0.1:7"), VmState::Live};
}

/// A node with table 1 in force and a few peers in two regions.
struct ExchangingNode
{
    explicit ExchangingNode(ExchangeSettings settings = {})
        : exchange(settings, UpstreamName("u0"), recordOf(0, "mazowsze").location, store, 1, at(0))
    {
        VmList list{1, {}};
        for (int node = 0; node < 6; ++node) {
            list.records.push_back(recordOf(node, "mazowsze"));
            list.records.push_back(recordOf(node + 10, "northmere"));
            list.records.push_back(recordOf(node + 20, "mazowsze", "b"));
            list.records.push_back(recordOf(node + 30, "mazowsze", "c"));
        }
        exchange.setDirectory(std::make_shared<const PeerDirectory>(list));
        REQUIRE(store.applyWhole(versionOf(1), {}));
        exchange.setInForce(true);
    }

    FakeStore store;
    TableExchange exchange;
};

const VmRecord Near = recordOf(1, "mazowsze");
const VmRecord Far = recordOf(11, "northmere");

PushChange changeOf(std::uint64_t base, std::uint64_t target)
{
    return {versionOf(base), versionOf(target), SpreadScope::Zone, "rows"};
}

}

TEST_CASE("a change is applied on its base and passed on once")
{
    ExchangingNode node;
    CHECK_FALSE(node.exchange.pushReceived(Near, changeOf(1, 2), at(1)).requests.pushes.empty());
    const auto again = node.exchange.pushReceived(Near, changeOf(1, 2), at(2));
    CHECK(again.requests.pushes.empty());
    CHECK(again.requests.pulls.empty());
    CHECK(again.answer.version == versionOf(2));
}

TEST_CASE("a table read by this node goes to one node of each other zone; one from its zone stays in it")
{
    ExchangingNode node;
    REQUIRE(node.store.applyWhole(versionOf(2), {}));
    const auto countIn = [](const ExchangeRequests &requests, const std::string &zone) {
        return std::count_if(requests.pushes.begin(), requests.pushes.end(), [&](const OutgoingPush &push) {
            return push.receiver.location.zone == ZoneName("mazowsze-" + zone)
                && push.change.scope == SpreadScope::Zone;
        });
    };
    const ExchangeRequests read = node.exchange.loaded(versionOf(1), at(1));
    CHECK(countIn(read, "a") == 5);
    CHECK(countIn(read, "b") == 1);
    CHECK(countIn(read, "c") == 1);
    const ExchangeRequests passed = node.exchange.pushReceived(Near, changeOf(2, 3), at(2)).requests;
    CHECK(countIn(passed, "a") == 5);
    CHECK(countIn(passed, "b") == 0);
}

TEST_CASE("a change on another base is not applied; its sender is asked once for what is missing")
{
    ExchangingNode node;
    const auto first = node.exchange.pushReceived(Near, changeOf(4, 5), at(1));
    CHECK(first.answer.version == versionOf(1));
    REQUIRE(first.requests.pulls.size() == 1);
    CHECK(first.requests.pulls.front().request.have == versionOf(1));
    CHECK(node.exchange.pushReceived(Near, changeOf(4, 5), at(2)).requests.pulls.empty());
}

TEST_CASE("nothing smaller is ever applied, whole or change")
{
    ExchangingNode node;
    REQUIRE(node.store.applyWhole(versionOf(5), {}));
    PullAnswer answer;
    answer.summary.version = versionOf(4);
    answer.kind = PayloadKind::Whole;
    answer.target = versionOf(4);
    const ExchangeRequests requests = node.exchange.pullAnswered(Near, answer, at(0), at(1));
    CHECK(node.store.currentVersion() == versionOf(5));
    CHECK(node.exchange.pushReceived(Near, changeOf(1, 4), at(2)).answer.version == versionOf(5));
    CHECK(requests.pulls.empty());
}

TEST_CASE("a peer found behind is sent the change it lacks")
{
    ExchangingNode node;
    REQUIRE(node.store.applyWhole(versionOf(2), {}));
    PullAnswer answer;
    answer.summary.version = versionOf(1);
    const ExchangeRequests requests = node.exchange.pullAnswered(Near, answer, at(0), at(1));
    REQUIRE(requests.pushes.size() == 1);
    CHECK(requests.pushes.front().change.base == versionOf(1));
    CHECK(requests.pushes.front().change.target == versionOf(2));
}

TEST_CASE("a difference over a paid link is repaired over it only if nothing nearer ends it in time")
{
    ExchangingNode node;
    PullAnswer answer;
    answer.summary.version = versionOf(2);
    CHECK(node.exchange.pullAnswered(Far, answer, at(0), at(0)).pulls.empty());
    CHECK(node.exchange.nextAt() <= at(1'500));
    const bool isEnded = GENERATE(true, false);
    if (isEnded) {
        (void)node.exchange.pushReceived(Near, changeOf(1, 2), at(1'000));
    }
    const std::vector<OutgoingPull> pulls = node.exchange.tick(at(1'500)).pulls;
    const auto isRepair = [](const OutgoingPull &pull) {
        return pull.receiver.upstream == Far.upstream && pull.request.wantsTable;
    };
    CHECK(std::any_of(pulls.begin(), pulls.end(), isRepair) != isEnded);

    answer.summary.version = versionOf(1);
    if (isEnded) {
        CHECK(node.exchange.pullAnswered(Far, answer, at(1'600), at(1'600)).pushes.empty());
        CHECK(node.exchange.pullAnswered(Far, answer, at(2'600), at(2'600)).pushes.size() == 1);
    }
}

// Story: operators read that a region's view is a second old, while it is ten minutes old. The answer that carried the
// confirmation waited in the socket of a process that was paused. Cause: only the sender's age counted.
TEST_CASE("the age of a confirmation holds the whole round trip")
{
    ExchangingNode node;
    PullAnswer answer;
    answer.summary = {versionOf(1), versionOf(1), Milliseconds(1'000)};
    (void)node.exchange.pullAnswered(Near, answer, at(0), at(600'000));
    CHECK(node.exchange.confirmedAt() == at(-1'000));
    CHECK(node.exchange.summary(at(600'000)).confirmedAge == Milliseconds(601'000));
}

TEST_CASE("a platform that shows another version confirms nothing")
{
    ExchangingNode node;
    node.exchange.headRead(versionOf(0), at(1));
    CHECK_FALSE(node.exchange.confirmedAt());
    node.exchange.headRead(versionOf(1), at(2));
    CHECK(node.exchange.confirmedAt() == at(2));
}

TEST_CASE("a starting node tells what it heard, and passes nothing on")
{
    ExchangingNode node;
    node.exchange.setInForce(false);
    node.exchange.hear(versionOf(3));
    CHECK_FALSE(node.exchange.summary(at(1)).version);
    CHECK(node.exchange.summary(at(1)).heard == versionOf(3));
    CHECK(node.exchange.loaded(versionOf(0), at(1)).pushes.empty());
    CHECK(node.exchange.pullReceived(Near.location, {std::nullopt, true}, at(1)).kind == PayloadKind::None);
}

TEST_CASE("a failed copy to another region goes to the next of its readers, then beyond")
{
    ExchangingNode node;
    OutgoingPush push{Far, changeOf(0, 1), 0};
    std::size_t tries = 0;
    for (ExchangeRequests next = node.exchange.pushFailed(push, at(1)); !next.pushes.empty();
         next = node.exchange.pushFailed(push, at(1))) {
        push = next.pushes.front();
        CHECK(push.receiver.location.region == Far.location.region);
        REQUIRE(++tries <= PeerDirectory::RankedReaders);
    }
}

TEST_CASE("with its bytes used up, a node sends no pushes and still answers")
{
    ExchangeSettings settings;
    settings.controlBurst = Bytes(300);
    settings.wholeBurst = Bytes(100);
    ExchangingNode node(settings);
    const auto result = node.exchange.pushReceived(Near, changeOf(1, 2), at(1));
    CHECK(result.requests.pushes.empty());
    CHECK(result.answer.version == versionOf(2));
    CHECK(node.exchange.controlBudget().refusals() > 0);
    const PullAnswer answer = node.exchange.pullReceived(Near.location, {versionOf(1), true}, at(1));
    CHECK(answer.kind == PayloadKind::None);
    CHECK(answer.summary.version == versionOf(2));
}

TEST_CASE("a change that is too large for the control budget goes out of that for whole tables")
{
    // A zone's thousand rows change at once. With the control budget alone the change waited for its tokens, and the
    // table was in force after 14 s instead of 4 s.
    ExchangeSettings settings;
    settings.controlBurst = Bytes(300);
    ExchangingNode node(settings);
    const auto result = node.exchange.pushReceived(Near, changeOf(1, 2), at(1));
    CHECK(result.requests.pushes.empty());
    CHECK(node.exchange.pullReceived(Near.location, {versionOf(1), true}, at(1)).kind == PayloadKind::Change);
    CHECK(node.exchange.pullReceived(Far.location, {versionOf(1), true}, at(1)).kind == PayloadKind::None);
    CHECK(node.exchange.wholeBudget().spent() > Bytes(0));
}
