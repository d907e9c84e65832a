#include "distribution/tableexchange.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

namespace
{

/// Marks a push whose failure is not followed by another.
constexpr std::uint8_t LastAttempt = 255;

std::size_t next(std::size_t index, std::size_t size)
{
    return index + 1 == size ? 0 : index + 1;
}

}

TableExchange::TableExchange(ExchangeSettings settings, UpstreamName own, Location location, TableStore &store,
                             std::uint64_t seed, TimePoint now)
    : settings_(settings)
    , own_(std::move(own))
    , location_(std::move(location))
    , store_(store)
    , random_(seed)
    , adoptedAt_(now)
    , nextPullAt_(now + jittered(settings.pullInterval))
    , nextRegionPullAt_(now + jittered(settings.regionPullInterval))
    , controlBudget_(settings.controlBytesPerSecond, settings.controlBurst, now)
    , paidBudget_(settings.paidBytesPerSecond, settings.paidBurst, now)
    , wholeBudget_(settings.wholeBytesPerSecond, settings.wholeBurst, now)
{
}

// --- what the node knows -----------------------------------------------------------------------------

void TableExchange::headRead(const TableVersion &head, TimePoint readAt)
{
    noteConflict(head);
    confirm(head, readAt);
}

void TableExchange::confirm(const TableVersion &version, TimePoint readAt)
{
    if (version == store_.currentVersion() && (!confirmedAt_ || *confirmedAt_ < readAt)) {
        confirmedAt_ = readAt;
    }
}

void TableExchange::hear(const TableVersion &version)
{
    noteConflict(version);
    if (!heard_ || *heard_ < version) {
        heard_ = version;
    }
}

void TableExchange::noteConflict(const TableVersion &other)
{
    const std::optional<TableVersion> held = store_.currentVersion();
    if (held && held->number == other.number && *held != other) {
        conflict_ = TableConflict{std::max(*held, other), std::min(*held, other)};
    }
}

TableSummary TableExchange::summary(TimePoint now) const
{
    TableSummary summary;
    summary.heard = heard_;
    if (inForce_) {
        summary.version = store_.currentVersion();
        summary.heard = std::max(summary.heard, summary.version);
    }
    if (confirmedAt_) {
        summary.confirmedAge = std::chrono::ceil<Milliseconds>(now - *confirmedAt_);
    }
    return summary;
}

// --- a new version -----------------------------------------------------------------------------------

ExchangeRequests TableExchange::loaded(const std::optional<TableVersion> &former, TimePoint now)
{
    if (!inForce_) {
        // A table that the start gate has not let through is nothing to pass on: others would take it for
        // one that is in force here.
        return {};
    }
    return adopted(former, SpreadScope::Region, now);
}

ExchangeRequests TableExchange::adopted(const std::optional<TableVersion> &former, SpreadScope scope, TimePoint now)
{
    ExchangeRequests requests;
    const std::optional<TableVersion> held = store_.currentVersion();
    adoptedAt_ = now;
    if (conflict_ && held && conflict_->winner.number < held->number) {
        conflict_.reset();
    }
    if (former) {
        noteConflict(*former);
    }
    const std::optional<std::string> payload = former ? store_.changeSince(*former) : std::nullopt;
    if (!held || !payload || !directory_) {
        return requests;
    }
    const PushChange change{*former, *held, SpreadScope::Zone, *payload};
    pushToNextRegion(change, requests, now);
    if (scope >= SpreadScope::Region) {
        pushToOtherZones(change, requests, now);
    }
    pushToZone(change, requests, now);
    return requests;
}

void TableExchange::pushToZone(const PushChange &change, ExchangeRequests &requests, TimePoint now)
{
    for (const auto index : directory_->sampleZone(location_, settings_.zoneFanOut, own_, random_)) {
        addPush({directory_->peers()[index], change, 0}, requests, now);
    }
}

void TableExchange::pushToOtherZones(const PushChange &change, ExchangeRequests &requests, TimePoint now)
{
    const PeerDirectory::Region *const region = directory_->region(location_.region);
    if (region == nullptr) {
        return;
    }
    for (const auto zoneIndex : region->zones) {
        const Location &location = directory_->zones()[zoneIndex].location;
        if (location == location_) {
            continue;
        }
        for (const auto index : directory_->sampleZone(location, 1, own_, random_)) {
            addPush({directory_->peers()[index], change, 0}, requests, now);
        }
    }
}

void TableExchange::pushToNextRegion(const PushChange &change, ExchangeRequests &requests, TimePoint now)
{
    // Regions form a ring in the order of their names, and only the first reader of each sends along it. So
    // each paid link of the ring carries a change once, whoever brought it into the region.
    const auto &regions = directory_->regions();
    if (directory_->readerRank(own_) != std::size_t{0} || regions.size() < 2) {
        return;
    }
    const auto own = std::find_if(regions.begin(), regions.end(),
                                  [&](const PeerDirectory::Region &region) { return region.name == location_.region; });
    const std::size_t following = next(static_cast<std::size_t>(own - regions.begin()), regions.size());
    PushChange copy = change;
    copy.scope = SpreadScope::Region;
    addPush({directory_->peers()[regions[following].readers.front()], std::move(copy), 0}, requests, now);
}

void TableExchange::addPush(OutgoingPush push, ExchangeRequests &requests, TimePoint now)
{
    if (trySpend(push.receiver.location, push.change.payload.size(), now)) {
        requests.pushes.push_back(std::move(push));
    }
}

TableExchange::PushResult TableExchange::pushReceived(const VmRecord &sender, const PushChange &change, TimePoint now)
{
    PushResult result;
    hear(change.target);
    const std::optional<TableVersion> held = store_.currentVersion();
    const bool isNewer = !held || *held < change.target;
    if (isNewer && held == change.base && store_.applyChange(change.base, change.target, change.payload)) {
        result.requests = adopted(held, change.scope, now);
    } else if (isNewer) {
        // The base is missing here, or the change does not lead to what it promises.
        badPayloads_ += held == change.base ? 1 : 0;
        pullTable(sender, result.requests, now);
    }
    spend(sender.location, now);
    result.answer = summary(now);
    return result;
}

ExchangeRequests TableExchange::pushAnswered(const VmRecord &receiver, const TableSummary &answer, TimePoint now)
{
    ExchangeRequests requests;
    if (answer.version) {
        hear(*answer.version);
        if (answer.version > store_.currentVersion()) {
            pullTable(receiver, requests, now);
        }
    }
    return requests;
}

ExchangeRequests TableExchange::pushFailed(const OutgoingPush &push, TimePoint now)
{
    ExchangeRequests requests;
    const bool isOwnZone = push.receiver.location == location_;
    const bool isOutdated = store_.currentVersion() != push.change.target;
    if (push.attempt == LastAttempt || isOwnZone || isOutdated || !directory_) {
        return requests;
    }
    const auto attempt = static_cast<std::uint8_t>(push.attempt + 1);
    if (isPaid(push.receiver.location)) {
        if (const VmRecord *const receiver = nextRegionReceiver(push.receiver)) {
            addPush({*receiver, push.change, attempt}, requests, now);
        }
        return requests;
    }
    if (attempt < settings_.pushTries) {
        for (const auto index : directory_->sampleZone(push.receiver.location, 1, push.receiver.upstream, random_)) {
            addPush({directory_->peers()[index], push.change, attempt}, requests, now);
        }
    }
    return requests;
}

const VmRecord *TableExchange::nextRegionReceiver(const VmRecord &failed) const
{
    const auto &regions = directory_->regions();
    const auto region = std::find_if(regions.begin(), regions.end(), [&](const PeerDirectory::Region &candidate) {
        return candidate.name == failed.location.region;
    });
    if (region == regions.end()) {
        return nullptr;
    }
    const std::optional<std::size_t> rank = directory_->readerRank(failed.upstream);
    if (rank && *rank + 1 < region->readers.size()) {
        return &directory_->peers()[region->readers[*rank + 1]];
    }
    // The whole region is out of reach: the ring is closed around it.
    const std::size_t following = next(static_cast<std::size_t>(region - regions.begin()), regions.size());
    const bool isOwn = regions[following].name == location_.region;
    return isOwn ? nullptr : &directory_->peers()[regions[following].readers.front()];
}

// --- repair ------------------------------------------------------------------------------------------

PullAnswer TableExchange::pullReceived(const Location &senderLocation, const PullRequest &request, TimePoint now)
{
    PullAnswer answer;
    if (request.have) {
        noteConflict(*request.have);
    }
    answer.summary = summary(now);
    if (request.wantsTable && answer.summary.version > request.have) {
        addPayload(senderLocation, request, answer, now);
    }
    if (answer.kind == PayloadKind::None) {
        spend(senderLocation, now);
    }
    return answer;
}

void TableExchange::addPayload(const Location &receiver, const PullRequest &request, PullAnswer &answer, TimePoint now)
{
    std::optional<std::string> change = request.have ? store_.changeSince(*request.have) : std::nullopt;
    if (change) {
        const Bytes size(change->size() + MessageOverheadBytes);
        const bool fromWhole = !isPaid(receiver) && controlBudget_.available(now) < size;
        if (fromWhole ? !wholeBudget_.tryTake(size, now) : !trySpend(receiver, change->size(), now)) {
            return;
        }
        answer.kind = PayloadKind::Change;
        answer.base = request.have;
        answer.payload = std::move(*change);
    } else {
        std::string whole = store_.whole();
        if (!wholeBudget_.tryTake(Bytes(whole.size() + MessageOverheadBytes), now)) {
            return;
        }
        answer.kind = PayloadKind::Whole;
        answer.payload = std::move(whole);
    }
    answer.target = answer.summary.version;
}

ExchangeRequests TableExchange::pullAnswered(const VmRecord &receiver, const PullAnswer &answer, TimePoint sentAt,
                                             TimePoint now)
{
    ExchangeRequests requests;
    const std::optional<TableVersion> former = store_.currentVersion();
    if (answer.kind != PayloadKind::None) {
        tablePullSince_.reset();
    }
    if (answer.summary.heard) {
        hear(*answer.summary.heard);
    }
    if (apply(answer)) {
        requests = adopted(former, scopeTowards(receiver.location), now);
    }
    if (!answer.summary.version) {
        return requests;
    }
    const TableVersion &theirs = *answer.summary.version;
    hear(theirs);
    if (answer.summary.confirmedAge) {
        confirm(theirs, sentAt - *answer.summary.confirmedAge);
    }
    const std::optional<TableVersion> held = store_.currentVersion();
    if (held && theirs < *held) {
        repairPeer(receiver, theirs, requests, now);
    } else if (held < theirs && answer.kind == PayloadKind::None) {
        if (!isPaid(receiver.location)) {
            pullTable(receiver, requests, now);
        } else if (!regionRepair_) {
            regionRepair_ = RegionRepair{receiver, now + settings_.paidRepairDelay};
        }
    }
    return requests;
}

bool TableExchange::apply(const PullAnswer &answer)
{
    const std::optional<TableVersion> held = store_.currentVersion();
    if (answer.kind == PayloadKind::None || !answer.target || held >= answer.target) {
        return false;
    }
    if (answer.kind == PayloadKind::Change && (!held || answer.base != held)) {
        // Another version arrived while the answer was on its way. The next pull has the right base.
        return false;
    }
    const bool applied = answer.kind == PayloadKind::Change ? store_.applyChange(*held, *answer.target, answer.payload)
                                                            : store_.applyWhole(*answer.target, answer.payload);
    badPayloads_ += applied ? 0 : 1;
    return applied;
}

void TableExchange::repairPeer(const VmRecord &peer, const TableVersion &peerVersion, ExchangeRequests &requests,
                               TimePoint now)
{
    if (isPaid(peer.location) && now - adoptedAt_ < settings_.paidRepairDelay) {
        return;
    }
    if (const std::optional<std::string> payload = store_.changeSince(peerVersion)) {
        const PushChange change{peerVersion, *store_.currentVersion(), scopeTowards(peer.location), *payload};
        addPush(
            {peer, change, settings_.pushTries > 0 ? static_cast<std::uint8_t>(settings_.pushTries) : std::uint8_t{0}},
            requests, now);
    }
}

void TableExchange::pullFailed(const OutgoingPull &pull)
{
    if (pull.request.wantsTable) {
        tablePullSince_.reset();
    }
}

ExchangeRequests TableExchange::fetchFrom(const VmRecord &receiver, TimePoint now)
{
    ExchangeRequests requests;
    pullTable(receiver, requests, now);
    return requests;
}

void TableExchange::pullTable(const VmRecord &receiver, ExchangeRequests &requests, TimePoint now)
{
    // Many pushes of one version arrive at a node that lacks the base; one pull is enough.
    if (tablePullSince_ && now - *tablePullSince_ < settings_.pullTimeout) {
        return;
    }
    tablePullSince_ = now;
    addPull(receiver, true, requests, now);
}

void TableExchange::addPull(const VmRecord &receiver, bool wantsTable, ExchangeRequests &requests, TimePoint now)
{
    spend(receiver.location, now);
    requests.pulls.push_back({receiver, {store_.currentVersion(), wantsTable}});
}

// --- periodic work -----------------------------------------------------------------------------------

ExchangeRequests TableExchange::tick(TimePoint now)
{
    ExchangeRequests requests;
    if (now >= nextPullAt_) {
        nextPullAt_ = now + jittered(settings_.pullInterval);
        if (const VmRecord *const peer = randomRegionPeer()) {
            addPull(*peer, true, requests, now);
        }
    }
    if (now >= nextRegionPullAt_) {
        nextRegionPullAt_ = now + jittered(settings_.regionPullInterval);
        if (const VmRecord *const reader = randomForeignReader()) {
            addPull(*reader, false, requests, now);
        }
    }
    if (regionRepair_ && now >= regionRepair_->dueAt) {
        if (store_.currentVersion() < heard_) {
            pullTable(regionRepair_->holder, requests, now);
        }
        regionRepair_.reset();
    }
    return requests;
}

TimePoint TableExchange::nextAt() const
{
    const TimePoint pullAt = std::min(nextPullAt_, nextRegionPullAt_);
    return regionRepair_ ? std::min(pullAt, regionRepair_->dueAt) : pullAt;
}

const VmRecord *TableExchange::randomRegionPeer()
{
    const PeerDirectory::Region *const region = directory_ ? directory_->region(location_.region) : nullptr;
    if (region == nullptr) {
        return nullptr;
    }
    // The members of a region are neighbours in peers().
    const auto first = directory_->zones()[region->zones.front()].members.front();
    const auto last = directory_->zones()[region->zones.back()].members.back();
    std::uniform_int_distribution<PeerDirectory::Index> anyMember(first, last);
    const VmRecord &drawn = directory_->peers()[anyMember(random_)];
    return drawn.upstream == own_ ? nullptr : &drawn;
}

const VmRecord *TableExchange::randomForeignReader()
{
    if (!directory_ || !directory_->readerRank(own_) || directory_->regions().size() < 2) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> anyRegion(0, directory_->regions().size() - 1);
    const PeerDirectory::Region &region = directory_->regions()[anyRegion(random_)];
    if (region.name == location_.region) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> anyReader(0, region.readers.size() - 1);
    return &directory_->peers()[region.readers[anyReader(random_)]];
}

SpreadScope TableExchange::scopeTowards(const Location &other) const
{
    return isPaid(other) ? SpreadScope::Region : SpreadScope::Zone;
}

bool TableExchange::trySpend(const Location &receiver, std::size_t payloadBytes, TimePoint now)
{
    const Bytes bytes(payloadBytes + MessageOverheadBytes);
    if (isPaid(receiver) && paidBudget_.available(now) < bytes) {
        return paidBudget_.tryTake(bytes, now);
    }
    if (!controlBudget_.tryTake(bytes, now)) {
        return false;
    }
    if (isPaid(receiver)) {
        paidBudget_.take(bytes, now);
    }
    return true;
}

void TableExchange::spend(const Location &receiver, TimePoint now)
{
    controlBudget_.take(Bytes(MessageOverheadBytes), now);
    if (isPaid(receiver)) {
        paidBudget_.take(Bytes(MessageOverheadBytes), now);
    }
}

Duration TableExchange::jittered(Duration interval)
{
    std::uniform_real_distribution<double> stretch(0.5, 1.5);
    return std::chrono::duration_cast<Duration>(interval * stretch(random_));
}

}
