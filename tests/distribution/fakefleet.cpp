#include "fakefleet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Egretpath::Testing
{

namespace
{

constexpr std::size_t LineageLength = 8;
constexpr Milliseconds CallTimeout{500};
constexpr Milliseconds WatchTimeout{2'000};
constexpr Milliseconds GateStep{100};
constexpr Microseconds SameZoneDelay{300};
constexpr Microseconds OtherZoneDelay{1'500};
constexpr Microseconds OtherRegionDelay{8'000};
constexpr Milliseconds PlatformDelay{5};

std::string describe(const std::optional<TableVersion> &version)
{
    return version ? std::to_string(version->number.value()) + "/" + toHex(version->digest) : "none";
}

}

TableVersion versionOf(std::uint64_t number, std::uint64_t content)
{
    return {TableNumber(number), Digest{content, number}};
}

// --- the store ---------------------------------------------------------------------------------------

std::optional<TableVersion> FakeStore::currentVersion() const
{
    return lineage_.empty() ? std::nullopt : std::optional(lineage_.back());
}

std::optional<std::string> FakeStore::changeSince(const TableVersion &base) const
{
    const auto found = std::find(lineage_.begin(), lineage_.end(), base);
    if (found == lineage_.end()) {
        return std::nullopt;
    }
    return std::string(ChangeBytes * static_cast<std::size_t>(lineage_.end() - found - 1), 'c');
}

std::string FakeStore::whole() const
{
    return std::string(WholeBytes, 'w');
}

bool FakeStore::applyChange(const TableVersion &, const TableVersion &target, const std::string &payload)
{
    return applyWhole(target, payload);
}

bool FakeStore::applyWhole(const TableVersion &target, const std::string &)
{
    lineage_.push_back(target);
    if (lineage_.size() > LineageLength) {
        lineage_.erase(lineage_.begin());
    }
    return true;
}

// --- the fleet ---------------------------------------------------------------------------------------

FakeFleet::FakeFleet(FleetShape shape, std::uint64_t seed, FleetSubject subject)
    : subject_(std::move(subject))
    , random_(seed)
    , now_(TimePoint{} + std::chrono::hours(1))
    , regionCut_(shape.regions, false)
{
    VmList list{1, {}};
    for (std::size_t zone = 0; zone < shape.zones; ++zone) {
        for (std::size_t member = 0; member < shape.nodesPerZone; ++member) {
            addNode(zone % shape.regions, zone, member);
            list.records.push_back(nodes_.back().record);
        }
    }
    directory_ = std::make_shared<const PeerDirectory>(list);
}

void FakeFleet::addNode(std::size_t region, std::size_t zone, std::size_t member)
{
    Node node;
    node.region = region;
    node.zone = zone;
    const std::string name = std::to_string(zone) + "-" + std::to_string(member);
    node.record = {UpstreamName(std::string("u") + name), ServiceName("s"),
                   Location{RegionName(std::string("r") + std::to_string(region)),
                            ZoneName(std::string("z") + std::to_string(zone))},
                   Endpoint(name), VmState::Live};
    indexes_.emplace(node.record.upstream, nodes_.size());
    nodes_.push_back(std::move(node));
}

void FakeFleet::schedule(TimePoint at, std::function<void()> run)
{
    events_.push({at, sequence_++, std::move(run)});
}

void FakeFleet::atNode(std::size_t node, std::uint64_t run, TimePoint at, std::function<void()> work)
{
    schedule(at, [this, node, run, work = std::move(work)] {
        if (nodes_[node].run != run || !nodes_[node].alive) {
            return;
        }
        if (now_ < nodes_[node].pausedUntil) {
            atNode(node, run, nodes_[node].pausedUntil, work);
            return;
        }
        work();
    });
}

void FakeFleet::atAddress(std::size_t node, TimePoint at, std::function<void()> work)
{
    schedule(at, [this, node, work = std::move(work)] {
        if (now_ < nodes_[node].pausedUntil) {
            atAddress(node, nodes_[node].pausedUntil, work);
        } else if (nodes_[node].alive) {
            work();
        }
    });
}

void FakeFleet::run(Duration length)
{
    const TimePoint end = now_ + length;
    while (!events_.empty() && events_.top().at <= end) {
        Event event = std::move(const_cast<Event &>(events_.top()));
        events_.pop();
        now_ = std::max(now_, event.at);
        event.run();
    }
    now_ = end;
}

std::optional<Duration> FakeFleet::runUntilAll(const TableVersion &version, Duration limit)
{
    const TimePoint begin = now_;
    const auto lacks = [&](std::size_t node) {
        return nodes_[node].alive && now_ >= nodes_[node].pausedUntil && inForce(node) != version;
    };
    std::size_t firstLacking = 0;
    while (now_ - begin <= limit) {
        while (firstLacking < nodes_.size() && !lacks(firstLacking)) {
            ++firstLacking;
        }
        if (firstLacking == nodes_.size()) {
            return now_ - begin;
        }
        run(Milliseconds(10));
    }
    return std::nullopt;
}

bool FakeFleet::chance(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
}

Duration FakeFleet::delayBetween(std::size_t from, std::size_t to)
{
    Microseconds base = OtherRegionDelay;
    if (nodes_[from].zone == nodes_[to].zone) {
        base = SameZoneDelay;
    } else if (nodes_[from].region == nodes_[to].region) {
        base = OtherZoneDelay;
    }
    const std::uint64_t spread = static_cast<std::uint64_t>(base.count() + Microseconds(faults_.extraDelay).count());
    return base + Microseconds(std::uniform_int_distribution<std::uint64_t>(0, spread)(random_));
}

bool FakeFleet::isLost(std::size_t from, std::size_t to)
{
    const std::size_t fromRegion = nodes_[from].region;
    const std::size_t toRegion = nodes_[to].region;
    return (fromRegion != toRegion && (regionCut_[fromRegion] || regionCut_[toRegion])) || chance(faults_.loss);
}

std::vector<std::size_t> FakeFleet::nodesOfRegion(std::size_t region) const
{
    std::vector<std::size_t> found;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node].region == region) {
            found.push_back(node);
        }
    }
    return found;
}

std::vector<std::size_t> FakeFleet::nodesOfZone(std::size_t zone) const
{
    std::vector<std::size_t> found;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (nodes_[node].zone == zone) {
            found.push_back(node);
        }
    }
    return found;
}

std::size_t FakeFleet::reader(std::size_t region, std::size_t rank) const
{
    return indexOf(directory_->peers()[directory_->regions()[region].readers[rank]]);
}

std::size_t FakeFleet::indexOf(const VmRecord &record) const
{
    return indexes_.at(record.upstream);
}

// --- nodes -------------------------------------------------------------------------------------------

void FakeFleet::startAll()
{
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        restart(node);
    }
}

void FakeFleet::kill(std::size_t node)
{
    nodes_[node].alive = false;
    nodes_[node].watching = false;
    ++nodes_[node].run;
}

void FakeFleet::restart(std::size_t node)
{
    kill(node);
    start(node);
}

void FakeFleet::pause(std::size_t node, Duration length)
{
    nodes_[node].pausedUntil = now_ + length;
}

void FakeFleet::start(std::size_t node)
{
    Node &started = nodes_[node];
    started.alive = true;
    started.pausedUntil = now_;
    const UpstreamName &own = started.record.upstream;
    started.hasRead = false;
    started.store = subject_.makeStore();
    started.exchange = std::make_unique<TableExchange>(subject_.exchange, own, started.record.location, *started.store,
                                                       random_(), now_);
    started.exchange->setDirectory(directory_);
    started.election = std::make_unique<ReaderElection>(subject_.readers, own, random_(), now_);
    started.election->setDirectory(directory_);
    started.exchange->setInForce(!subject_.hasStartGate);
    if (subject_.hasStartGate) {
        started.gate = std::make_unique<StartGate>(StartGateSettings{}, own, random_(), now_);
        started.gate->setDirectory(directory_, now_);
    }
    atNode(node, started.run, now_, [this, node] { step(node); });
}

void FakeFleet::step(std::size_t node)
{
    Node &stepped = nodes_[node];
    stepGate(node);
    send(node, stepped.exchange->tick(now_));
    stepReads(node);
    const TimePoint limit = stepped.gate ? now_ + GateStep : now_ + std::chrono::seconds(1);
    const TimePoint next = std::max(std::min(stepped.exchange->nextAt(), limit), now_ + Milliseconds(1));
    atNode(node, stepped.run, next, [this, node] { step(node); });
}

void FakeFleet::stepGate(std::size_t node)
{
    Node &stepped = nodes_[node];
    if (!stepped.gate) {
        return;
    }
    for (const VmRecord &peer : stepped.gate->peersToAsk(now_)) {
        sendPull(node, {peer, {std::nullopt, false}}, true);
    }
    const StartDecision decision = stepped.gate->decide(stepped.store->currentVersion(), now_);
    if (decision.state == StartState::Open) {
        stepped.gate.reset();
        stepped.exchange->setInForce(true);
        checkInForce(node);
    } else if (decision.holder) {
        send(node, stepped.exchange->fetchFrom(nodes_[indexes_.at(*decision.holder)].record, now_));
    }
}

bool FakeFleet::isServing(std::size_t node) const
{
    return nodes_[node].alive && !nodes_[node].gate;
}

std::size_t FakeFleet::servingCount() const
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
        count += isServing(node) ? 1 : 0;
    }
    return count;
}

std::optional<TableVersion> FakeFleet::inForce(std::size_t node) const
{
    return isServing(node) ? nodes_[node].store->currentVersion() : std::nullopt;
}

void FakeFleet::checkInForce(std::size_t node)
{
    const std::optional<TableVersion> version = inForce(node);
    if (!isServing(node)) {
        return;
    }
    if (version < nodes_[node].lastInForce) {
        falls_.push_back(nodes_[node].record.upstream.value() + " from " + describe(nodes_[node].lastInForce) + " to "
                         + describe(version));
    }
    nodes_[node].lastInForce = version;
}

// --- the platform ------------------------------------------------------------------------------------

bool FakeFleet::platformReachable(std::size_t node) const
{
    return platformUp_ && !nodes_[node].cutFromPlatform;
}

void FakeFleet::countRead(std::size_t node)
{
    nodes_[node].hasRead = true;
    ++reads_;
    ++readsBySecond_[std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch()).count()];
}

void FakeFleet::forgetReads()
{
    reads_ = 0;
    readsBySecond_.clear();
    for (Node &node : nodes_) {
        node.hasRead = false;
    }
}

std::size_t FakeFleet::readingNodes() const
{
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const Node &node) { return node.hasRead; }));
}

std::size_t FakeFleet::mostReadsPerSecond() const
{
    std::size_t most = 0;
    for (const auto &[second, count] : readsBySecond_) {
        most = std::max(most, count);
    }
    return most;
}

void FakeFleet::stepReads(std::size_t node)
{
    Node &stepped = nodes_[node];
    if (const std::optional<TimePoint> confirmedAt = stepped.exchange->confirmedAt()) {
        stepped.election->setConfirmedAt(*confirmedAt);
    }
    const ReadDecision decision = stepped.election->decide(now_);
    if (decision.action == ReadAction::Poll) {
        readPlatform(node);
    } else if (decision.action == ReadAction::Watch && !stepped.watching) {
        watchPlatform(node);
    }
}

void FakeFleet::readPlatform(std::size_t node)
{
    if (!platformReachable(node)) {
        nodes_[node].election->readFailed(now_);
        return;
    }
    countRead(node);
    atNode(node, nodes_[node].run, now_ + PlatformDelay,
           [this, node, head = head_, readAt = now_] { headArrived(node, head, readAt); });
}

void FakeFleet::watchPlatform(std::size_t node)
{
    if (!platformReachable(node)) {
        nodes_[node].election->readFailed(now_);
        return;
    }
    countRead(node);
    const std::optional<TableVersion> known = nodes_[node].store->currentVersion();
    const std::uint64_t run = nodes_[node].run;
    nodes_[node].watching = true;
    // A head older than what is known is no reason to return early, or stale platforms would be read in a loop.
    if (head_ > known) {
        atNode(node, run, now_ + PlatformDelay,
               [this, node, head = head_, readAt = now_] { headArrived(node, head, readAt); });
        return;
    }
    watches_.push_back({node, run, known});
    schedule(now_ + WatchTimeout, [this, node, run] {
        const auto found = std::find_if(watches_.begin(), watches_.end(),
                                        [&](const Watch &watch) { return watch.node == node && watch.run == run; });
        if (found == watches_.end()) {
            return;
        }
        watches_.erase(found);
        atNode(node, run, now_, [this, node, head = head_, readAt = now_, up = platformReachable(node)] {
            nodes_[node].watching = false;
            up ? headArrived(node, head, readAt) : nodes_[node].election->readFailed(now_);
        });
    });
}

void FakeFleet::wakeWatches()
{
    std::vector<Watch> waiting;
    for (const Watch &watch : watches_) {
        if (!(head_ > watch.known) || !platformReachable(watch.node)) {
            waiting.push_back(watch);
            continue;
        }
        atNode(watch.node, watch.run, now_ + PlatformDelay,
               [this, node = watch.node, head = head_, readAt = now_] { headArrived(node, head, readAt); });
    }
    watches_ = std::move(waiting);
}

void FakeFleet::headArrived(std::size_t node, std::optional<TableVersion> head, TimePoint readAt)
{
    Node &reading = nodes_[node];
    reading.watching = false;
    const std::optional<TableVersion> held = reading.store->currentVersion();
    if (reading.gate) {
        reading.gate->platformAnswered(head, now_);
    }
    if (!head) {
        return;
    }
    reading.election->headRead(*head, held, now_);
    if (*head <= held) {
        reading.exchange->headRead(*head, readAt);
        return;
    }
    if (platformReachable(node)) {
        countRead(node);
        atNode(node, reading.run, now_ + PlatformDelay,
               [this, node, version = *head, readAt] { loadArrived(node, version, readAt); });
    }
}

void FakeFleet::loadArrived(std::size_t node, TableVersion version, TimePoint readAt)
{
    Node &reading = nodes_[node];
    const std::optional<TableVersion> former = reading.store->currentVersion();
    if (former < version && reading.store->applyWhole(version, contents_[version])) {
        checkInForce(node);
        send(node, reading.exchange->loaded(former, now_));
    }
    reading.exchange->headRead(version, readAt);
}

// --- messages ----------------------------------------------------------------------------------------

void FakeFleet::call(std::size_t from, std::size_t to, std::function<std::function<void()>()> serve,
                     std::function<void()> failed)
{
    const std::uint64_t run = nodes_[from].run;
    auto ended = std::make_shared<bool>(false);
    const auto endWith = [ended](const std::function<void()> &work) {
        if (!std::exchange(*ended, true)) {
            work();
        }
    };
    const int copies = chance(faults_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (isLost(from, to)) {
            continue;
        }
        atAddress(to, now_ + delayBetween(from, to), [this, from, to, run, serve, endWith] {
            std::function<void()> answer = serve();
            if (!isLost(to, from)) {
                atNode(from, run, now_ + delayBetween(to, from),
                       [endWith, answer = std::move(answer)] { endWith(answer); });
            }
        });
    }
    atNode(from, run, now_ + CallTimeout, [endWith, failed = std::move(failed)] { endWith(failed); });
}

void FakeFleet::send(std::size_t node, ExchangeRequests requests)
{
    for (OutgoingPush &push : requests.pushes) {
        sendPush(node, std::move(push));
    }
    for (OutgoingPull &pull : requests.pulls) {
        sendPull(node, std::move(pull), false);
    }
}

void FakeFleet::sendPush(std::size_t from, OutgoingPush push)
{
    const std::size_t to = indexOf(push.receiver);
    countPaid(from, to, MessageOverheadBytes + push.change.payload.size(), push.change.target);
    auto sent = std::make_shared<const OutgoingPush>(std::move(push));
    call(
        from, to,
        [this, from, to, sent]() -> std::function<void()> {
            TableExchange::PushResult result =
                nodes_[to].exchange->pushReceived(nodes_[from].record, sent->change, now_);
            checkInForce(to);
            send(to, std::move(result.requests));
            countPaid(to, from, MessageOverheadBytes, std::nullopt);
            return [this, from, sent, answer = result.answer] {
                send(from, nodes_[from].exchange->pushAnswered(sent->receiver, answer, now_));
            };
        },
        [this, from, sent] { send(from, nodes_[from].exchange->pushFailed(*sent, now_)); });
}

void FakeFleet::sendPull(std::size_t from, OutgoingPull pull, bool isGate)
{
    const std::size_t to = indexOf(pull.receiver);
    countPaid(from, to, MessageOverheadBytes, std::nullopt);
    auto sent = std::make_shared<const OutgoingPull>(std::move(pull));
    call(
        from, to,
        [this, from, to, sent, isGate, sentAt = now_]() -> std::function<void()> {
            auto answer = std::make_shared<const PullAnswer>(
                nodes_[to].exchange->pullReceived(nodes_[from].record.location, sent->request, now_));
            countPaid(to, from, MessageOverheadBytes + answer->payload.size(), answer->target);
            return [this, from, sent, answer, isGate, sentAt] {
                Node &asking = nodes_[from];
                if (isGate && asking.gate) {
                    asking.gate->peerAnswered(sent->receiver.upstream, answer->summary, now_);
                    if (asking.gate->heard()) {
                        asking.exchange->hear(*asking.gate->heard());
                    }
                } else if (!isGate) {
                    ExchangeRequests requests = asking.exchange->pullAnswered(sent->receiver, *answer, sentAt, now_);
                    checkInForce(from);
                    send(from, std::move(requests));
                }
            };
        },
        [this, from, sent, isGate] {
            Node &asking = nodes_[from];
            if (asking.gate) {
                asking.gate->peerFailed(sent->receiver.upstream, now_);
            }
            if (!isGate) {
                asking.exchange->pullFailed(*sent);
            }
        });
}

void FakeFleet::countPaid(std::size_t from, std::size_t to, std::size_t bytes,
                          const std::optional<TableVersion> &payload)
{
    if (nodes_[from].region == nodes_[to].region) {
        return;
    }
    paidBytes_ += bytes;
    if (payload) {
        ++paidCopies_[{nodes_[from].region, nodes_[to].region, *payload}];
    }
}

std::size_t FakeFleet::mostPaidCopies(const TableVersion &version) const
{
    std::size_t most = 0;
    for (const auto &[key, count] : paidCopies_) {
        most = std::get<2>(key) == version ? std::max(most, count) : most;
    }
    return most;
}

}
