#include "quarantinefleet.h"

#include <random>
#include <utility>

namespace Egretpath
{

namespace
{

/// Size of a message without requests, with the headers of all layers.
constexpr std::uint64_t MessageBytes = 180;
/// Size of each request in a message.
constexpr std::uint64_t RequestBytes = 48;

Endpoint addressOf(std::size_t node)
{
    return Endpoint("10.0.0.1:" + std::to_string(node + 1));
}

std::size_t nodeNumber(const Endpoint &address)
{
    return std::stoul(address.value().substr(address.value().rfind(':') + 1)) - 1;
}

InstanceDirectory directoryOf(const FleetShape &shape)
{
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(1);
    for (std::size_t number = 0; number < shape.nodes; ++number) {
        InstanceRecord record;
        record.id = UpstreamName("i-" + std::to_string(number));
        record.service = ServiceName(number < shape.serviceNodes ? "crashing" : "other");
        record.location.region = RegionName(std::to_string(number % shape.regions));
        record.address = Endpoint("10.0.1.1:" + std::to_string(number + 1));
        record.node = addressOf(number);
        record.revision = StoreRevision(1);
        snapshot.records.push_back(record);
    }
    InstanceDirectory directory;
    directory.applySnapshot(snapshot, TimePoint());
    return directory;
}

}

QuarantineFleet::QuarantineFleet(const FleetShape &shape)
    : shape_(shape)
    , random_(shape.seed)
    , directory_(directoryOf(shape))
    , cutRegions_(shape.regions)
{
    for (std::size_t number = 0; number < shape.nodes; ++number) {
        nodes_.push_back({Quarantine(), QuarantineGossip(Random(random_())), UpstreamExits(), number % shape.regions,
                          addressOf(number)});
        after(Milliseconds(random_() % shape.callInterval.count()), [this, number] { call(number); });
    }
}

/// Calls a random node. If the two nodes refuse different requests, they exchange all that they refuse.
void QuarantineFleet::call(std::size_t from)
{
    const std::size_t to = random_() % nodes_.size();
    const bool differ = nodes_[from].quarantine.digest() != nodes_[to].quarantine.digest();
    if (differ && isReachable(from, to)) {
        send(from, nodes_[to].address, nodes_[from].quarantine.refused(now()));
        send(to, nodes_[from].address, nodes_[to].quarantine.refused(now()));
    }
    after(shape_.callInterval, [this, from] { call(from); });
}

void QuarantineFleet::after(Milliseconds delay, std::function<void()> action)
{
    time_.at(now() + delay, std::move(action));
}

void QuarantineFleet::crash(std::size_t node, const std::vector<RequestFingerprint> &held)
{
    const UpstreamCrashId id(random_());
    const UpstreamCrash crash{id, nodes_[node].exits.isFlapping(id, nodes_[node].quarantine, now())};
    nodes_[node].exits.record(id, held, now());
    const CrashResult result = nodes_[node].quarantine.recordCrash(crash, held, now());
    for (const Endpoint &collector : nodes_[node].gossip.collectors(directory_, ServiceName("crashing"))) {
        if (collector != nodes_[node].address) {
            send(node, collector, result.known);
        }
    }
    scheduleGossip(node, result.refused);
}

void QuarantineFleet::send(std::size_t from, const Endpoint &to, const std::vector<SuspectedRequest> &requests)
{
    const std::size_t target = nodeNumber(to);
    ++messages_;
    bytes_ += MessageBytes + RequestBytes * requests.size();
    if (!isReachable(from, target) || std::bernoulli_distribution(shape_.lossRate)(random_)) {
        return;
    }
    after(shape_.latency, [this, from, target, requests] {
        receive(target, requests);
        const auto missing = nodes_[target].quarantine.missingFrom(requests, now());
        if (!missing.empty()) {
            after(shape_.latency, [this, from, missing] { receive(from, missing); });
        }
    });
}

void QuarantineFleet::receive(std::size_t node, const std::vector<SuspectedRequest> &requests)
{
    scheduleGossip(node, nodes_[node].quarantine.merge(requests, now()));
}

void QuarantineFleet::scheduleGossip(std::size_t node, const std::vector<SuspectedRequest> &refused)
{
    const auto due = nodes_[node].gossip.enqueue(refused, now());
    if (!due) {
        return;
    }
    after(std::chrono::ceil<Milliseconds>(*due - now()), [this, node] {
        const std::vector<SuspectedRequest> pending = nodes_[node].gossip.takePending(now());
        for (const Endpoint &target : nodes_[node].gossip.gossipTargets(directory_, nodes_[node].address)) {
            send(node, target, pending);
        }
    });
}

bool QuarantineFleet::refuses(std::size_t node, const RequestFingerprint &request) const
{
    return nodes_[node].quarantine.rejection(request, now()).has_value();
}

std::size_t QuarantineFleet::refusingCount(const RequestFingerprint &request) const
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        count += refuses(node, request) ? 1 : 0;
    }
    return count;
}

void QuarantineFleet::setRegionCut(std::size_t region, bool isCut)
{
    cutRegions_[region] = isCut;
}

bool QuarantineFleet::isReachable(std::size_t from, std::size_t to) const
{
    const std::size_t sender = nodes_[from].region;
    const std::size_t receiver = nodes_[to].region;
    return sender == receiver || (!cutRegions_[sender] && !cutRegions_[receiver]);
}

}
