// Prints what passing tables on costs at several fleet sizes, and what membership records weigh.
// Usage: distribution-bench [nodes...]; sizes without an argument: 36 108 324 972 22000.
#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "distribution/vmliststore.h"
#include "fakefleet.h"
#include "membership/membershipview.h"
#include "membership/noticespreader.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

constexpr std::size_t LargestFleet = 22'000;
constexpr std::size_t Publications = 5;
constexpr std::chrono::seconds ChangeInterval{7};
constexpr std::chrono::seconds QuietTime{20};
constexpr std::chrono::seconds StartLimit{120};
constexpr std::chrono::seconds PublishLimit{60};

template<typename Value>
void print(const std::string &name, Value value, const std::string &unit)
{
    std::cout << name << " " << value << " " << unit << std::endl;
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

FleetShape shapeOf(std::size_t nodes)
{
    return nodes >= LargestFleet ? FleetShape{7, 16, nodes / 16} : FleetShape{3, 6, nodes / 6};
}

/// Bytes of control that each node has sent so far.
std::vector<std::uint64_t> spentBytes(const FakeFleet &fleet)
{
    std::vector<std::uint64_t> spent;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        spent.push_back(fleet.exchange(node).controlBudget().spent().value());
    }
    return spent;
}

void printBytes(const std::string &name, const std::vector<std::uint64_t> &before, const FakeFleet &fleet,
                double seconds)
{
    const std::vector<std::uint64_t> after = spentBytes(fleet);
    double sum = 0;
    double most = 0;
    for (std::size_t node = 0; node < after.size(); ++node) {
        const double rate = static_cast<double>(after[node] - before[node]) / seconds;
        sum += rate;
        most = std::max(most, rate);
    }
    print(name + ".bytes_per_node_mean", sum / static_cast<double>(after.size()), "B/s");
    print(name + ".bytes_per_node_most", most, "B/s");
}

void printConfirmedAges(const std::string &name, const FakeFleet &fleet)
{
    std::vector<double> ages;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (const auto confirmedAt = fleet.exchange(node).confirmedAt()) {
            ages.push_back(milliseconds(fleet.now() - *confirmedAt));
        }
    }
    std::sort(ages.begin(), ages.end());
    print(name + ".confirmed_nodes", ages.size(), "nodes");
    if (!ages.empty()) {
        print(name + ".confirmed_age_median", ages[ages.size() / 2], "ms");
        print(name + ".confirmed_age_p99", ages[ages.size() * 99 / 100], "ms");
        print(name + ".confirmed_age_most", ages.back(), "ms");
    }
}

void measureQuiet(const std::string &name, FakeFleet &fleet)
{
    const std::vector<std::uint64_t> before = spentBytes(fleet);
    const std::size_t paidBefore = fleet.paidBytes();
    const std::size_t readsBefore = fleet.reads();
    const double processorBefore = processorSeconds();
    fleet.run(QuietTime);
    const auto seconds = static_cast<double>(QuietTime.count());
    printBytes(name + ".quiet", before, fleet, seconds);
    print(name + ".quiet.paid_bytes_all_links", static_cast<double>(fleet.paidBytes() - paidBefore) / seconds, "B/s");
    print(name + ".quiet.platform_reads", static_cast<double>(fleet.reads() - readsBefore) / seconds, "reads/s");
    print(name + ".quiet.processor_per_node",
          (processorSeconds() - processorBefore) * 1e6 / seconds / static_cast<double>(fleet.size()), "us/s");
    printConfirmedAges(name + ".quiet", fleet);
}

void measureChanges(const std::string &name, FakeFleet &fleet)
{
    const std::vector<std::uint64_t> before = spentBytes(fleet);
    const std::size_t paidBefore = fleet.paidBytes();
    const TimePoint begin = fleet.now();
    Duration longest{0};
    std::size_t late = 0;
    std::size_t copies = 0;
    for (std::uint64_t number = 2; number < 2 + Publications; ++number) {
        const TimePoint publishedAt = fleet.now();
        fleet.publish(versionOf(number));
        const std::optional<Duration> taken = fleet.runUntilAll(versionOf(number), PublishLimit);
        late += taken ? 0 : 1;
        longest = std::max(longest, taken.value_or(PublishLimit));
        fleet.run(std::max<Duration>(publishedAt + ChangeInterval - fleet.now(), Duration{0}));
        copies = std::max(copies, fleet.mostPaidCopies(versionOf(number)));
    }
    const double seconds = milliseconds(fleet.now() - begin) / 1'000;
    print(name + ".change.time_to_all_longest_of_" + std::to_string(Publications), milliseconds(longest), "ms");
    print(name + ".change.not_everywhere_in_60s", late, "publications");
    printBytes(name + ".change", before, fleet, seconds);
    print(name + ".change.copies_per_paid_link_most", copies, "copies");
    print(name + ".change.paid_bytes_all_links", static_cast<double>(fleet.paidBytes() - paidBefore) / seconds, "B/s");
}

void measureZoneRestart(const std::string &name, FakeFleet &fleet)
{
    const TableVersion newest = versionOf(1 + Publications);
    const std::size_t readsBefore = fleet.reads();
    for (const std::size_t node : fleet.nodesOfZone(0)) {
        fleet.restart(node);
    }
    const std::optional<Duration> taken = fleet.runUntilAll(newest, StartLimit);
    print(name + ".zone_restart.time_to_all", taken ? milliseconds(*taken) : -1, "ms");
    print(name + ".zone_restart.platform_reads", fleet.reads() - readsBefore, "reads");
}

void measureFleet(std::size_t nodes)
{
    const std::string name = "fleet_" + std::to_string(nodes);
    FakeFleet fleet(shapeOf(nodes), nodes);
    fleet.servePlatform(versionOf(1));
    fleet.startAll();
    const std::optional<Duration> started = fleet.runUntilAll(versionOf(1), StartLimit);
    print(name + ".whole_start.time_to_all", started ? milliseconds(*started) : -1, "ms");
    print(name + ".whole_start.platform_reads_most_per_second", fleet.mostReadsPerSecond(), "reads/s");
    fleet.run(std::chrono::seconds(40));
    measureQuiet(name, fleet);
    measureChanges(name, fleet);
    measureZoneRestart(name, fleet);
    print(name + ".falls", fleet.falls().size(), "falls");
    print(name + ".platform_reads_most_per_second", fleet.mostReadsPerSecond(), "reads/s");
}

VmList largestList()
{
    VmList list{1, {}};
    for (std::size_t node = 0; node < LargestFleet; ++node) {
        const std::string number = std::to_string(node);
        const std::string zone = std::to_string(node % 16);
        const std::string region = std::to_string(node % 16 % 7);
        const std::string service = std::to_string(node / 23);
        list.records.push_back(
            {UpstreamName("upstream-" + number), ServiceName("service-" + service),
             Location{RegionName("region-" + region), ZoneName("zone-" + zone)},
             Endpoint("10.0." + std::to_string(node / 250) + "." + std::to_string(node % 250) + ":7000"),
             VmState::Live});
    }
    return list;
}

void measureMembership()
{
    const std::string text = printVmList(largestList());
    print("membership.list_text", text.size(), "B");
    double begin = processorSeconds();
    VmList list = *parseVmList(text).list;
    print("membership.list_parse", (processorSeconds() - begin) * 1e3, "ms");
    begin = processorSeconds();
    const PeerDirectory directory(list);
    print("membership.directory_build", (processorSeconds() - begin) * 1e3, "ms");
    MembershipView view;
    const TimePoint now = TimePoint{} + std::chrono::hours(1);
    begin = processorSeconds();
    view.applyList(std::move(list), now);
    print("membership.list_apply", (processorSeconds() - begin) * 1e3, "ms");
    print("membership.record", sizeof(VmRecord), "B");
    print("membership.evidence", MembershipView::EvidenceBytes, "B");
    print("membership.view_heap_22000", view.memoryBytes(), "B");
    print("membership.directory_heap_22000", directory.memoryBytes(), "B");
}

/// One VM of the largest list begins to leave.
void measureListChange()
{
    VmListStore reader;
    VmListStore follower;
    VmList list = largestList();
    std::sort(list.records.begin(), list.records.end(),
              [](const VmRecord &left, const VmRecord &right) { return left.upstream < right.upstream; });
    if (!reader.load(list) || !follower.load(list)) {
        return;
    }
    list.version = 2;
    list.records[LargestFleet / 2].state = VmState::Leaving;
    const TableVersion base = *reader.currentVersion();
    if (!reader.load(std::move(list))) {
        return;
    }
    const std::string change = reader.changeSince(base).value_or("");
    const double begin = processorSeconds();
    const bool applied = follower.applyChange(base, *reader.currentVersion(), change);
    print("membership.list_change", change.size(), "B");
    print("membership.list_change_applied", applied, "times");
    print("membership.list_change_apply", (processorSeconds() - begin) * 1e3, "ms");
}

/// One node's view of a single upstream, enough to follow news about it.
struct SpreadingNode
{
    SpreadingNode(const VmRecord &record, const VmList &watched, std::shared_ptr<const PeerDirectory> directory,
                  std::uint64_t seed, TimePoint now)
        : region(record.location.region)
        , spreader({}, record.upstream, record.location, view, seed)
    {
        view.applyList(watched, now);
        spreader.setDirectory(std::move(directory));
    }

    RegionName region;
    MembershipView view;
    NoticeSpreader spreader;
};

/// News of one upstream's leaving in the largest fleet, in rounds without delay and with a twentieth lost.
void measureNotice()
{
    constexpr double Loss = 0.05;
    const VmList list = largestList();
    const auto directory = std::make_shared<const PeerDirectory>(list);
    const VmList watched{1, {list.records.front()}};
    const UpstreamName leaving = watched.records.front().upstream;
    TimePoint now = TimePoint{} + std::chrono::hours(1);
    std::vector<std::unique_ptr<SpreadingNode>> nodes;
    for (std::size_t node = 0; node < directory->peers().size(); ++node) {
        nodes.push_back(std::make_unique<SpreadingNode>(directory->peers()[node], watched, directory, node, now));
    }
    nodes[*directory->find(leaving)]->view.announce(leaving, Incarnation(1), VmState::Leaving, now);
    Random random(1);
    std::bernoulli_distribution isLost(Loss);
    const TimePoint begin = now;
    std::size_t informed = 1;
    std::size_t messages = 0;
    std::size_t paid = 0;
    for (; informed < nodes.size() && now - begin < std::chrono::seconds(10); now += SpreadSettings{}.interval) {
        std::vector<NoticeBatch> round;
        for (const auto &node : nodes) {
            for (NoticeBatch &batch : node->spreader.tick(now)) {
                paid += batch.receiver.location.region != node->region ? 1 : 0;
                round.push_back(std::move(batch));
            }
        }
        messages += round.size();
        for (const NoticeBatch &batch : round) {
            MembershipView &view = nodes[*directory->find(batch.receiver.upstream)]->view;
            const bool isNew = !isLost(random) && view.noticeReceived(batch.notices.front(), now);
            informed += isNew && batch.receiver.upstream != leaving ? 1 : 0;
        }
    }
    print("membership.notice_informed", informed, "nodes");
    print("membership.notice_time", milliseconds(now - begin), "ms");
    print("membership.notice_messages_per_node", static_cast<double>(messages) / static_cast<double>(nodes.size()),
          "messages");
    print("membership.notice_paid_messages", paid, "messages");
}

}

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes{36, 108, 324, 972, LargestFleet};
    if (argc > 1) {
        sizes.clear();
        for (int argument = 1; argument < argc; ++argument) {
            sizes.push_back(std::stoul(argv[argument]));
        }
    }
    measureMembership();
    measureListChange();
    measureNotice();
    for (const std::size_t nodes : sizes) {
        measureFleet(nodes);
    }
    return 0;
}
