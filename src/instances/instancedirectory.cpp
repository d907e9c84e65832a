#include "instances/instancedirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Egretpath
{

namespace
{

/// The largest number of remembered removals. All are forgotten when it is reached, because only changes of the last
/// seconds can arrive late.
constexpr std::size_t MaxRemovals = 4096;

}

InstanceDirectory::InstanceDirectory(DirectorySettings settings)
    : settings_(settings)
{
}

void InstanceDirectory::setNamedServices(std::function<bool(const ServiceName &)> isNamed)
{
    isNamed_ = std::move(isNamed);
    namedServicesChanged();
}

bool InstanceDirectory::supersedes(const InstanceRecord &record, const InstanceRecord &other) const
{
    const bool isNamed = isNamed_(record.service);
    return isNamed == isNamed_(other.service) ? record.revision > other.revision : isNamed;
}

bool InstanceDirectory::applySnapshot(const InstanceSnapshot &snapshot, TimePoint now)
{
    if (hasList_ && snapshot.revision < revision_) {
        return false;
    }
    std::set<UpstreamName> listed;
    for (const InstanceRecord &record : snapshot.records) {
        listed.insert(record.id);
        applyChange({record.id, record.revision, record}, now);
    }
    for (auto it = records_.begin(); it != records_.end();) {
        const auto current = it++;
        const bool isNewer = current->second.record.revision > snapshot.revision;
        const bool isHeld = current->second.heldUntil && holdsRemovals(now);
        if (!listed.contains(current->first) && !isNewer && !isHeld) {
            recordRemoval(current->first, snapshot.revision);
            remove(current, now);
        }
    }
    if (!std::exchange(hasList_, true)) {
        removalsSince_ = snapshot.revision;
    }
    advanceTo(snapshot.revision);
    return true;
}

bool InstanceDirectory::applyChange(const InstanceChange &change, TimePoint now)
{
    const auto it = records_.find(change.id);
    const auto removedAt = removed_.find(change.id);
    const bool isKnown = it != records_.end() && !it->second.heldUntil;
    const bool isLate = (isKnown && it->second.record.revision >= change.revision)
        || (removedAt != removed_.end() && removedAt->second >= change.revision);
    if (isLate) {
        return false;
    }
    ++changeCount_;
    if (change.record) {
        removed_.erase(change.id);
        records_.insert_or_assign(change.id, Entry{*change.record, std::nullopt});
        return true;
    }
    recordRemoval(change.id, change.revision);
    if (isKnown) {
        remove(it, now);
    }
    return true;
}

void InstanceDirectory::recordRemoval(const UpstreamName &id, StoreRevision revision)
{
    if (removed_.size() >= MaxRemovals) {
        removed_.clear();
        removalsSince_ = std::max(revision_, revision);
    }
    removed_[id] = revision;
}

void InstanceDirectory::advanceTo(StoreRevision revision)
{
    revision_ = std::max(revision_, revision);
}

void InstanceDirectory::onStoreLost(TimePoint lastStoreAvailable)
{
    if (!std::exchange(isStoreLost_, true)) {
        lastStoreAvailable_ = lastStoreAvailable;
        readElsewhereUntil_ = lastStoreAvailable;
    }
}

void InstanceDirectory::onStoreRecovered(TimePoint now)
{
    if (!std::exchange(isStoreLost_, false)) {
        return;
    }
    recoveredAt_ = now;
    const bool wasAvailableElsewhere = std::exchange(isStoreAvailableElsewhere_, false) || wasReadElsewhereUntil(now);
    setHoldEnd(wasAvailableElsewhere ? now : now + settings_.expiryHold);
}

void InstanceDirectory::storeAvailableThroughout(TimePoint from, TimePoint to)
{
    if (from > lastStoreAvailable_) {
        return;
    }
    readElsewhereUntil_ = std::max(readElsewhereUntil_, to);
    if (!isStoreLost_ && to < holdEnd_ && wasReadElsewhereUntil(recoveredAt_)) {
        setHoldEnd(to);
    }
}

bool InstanceDirectory::holdsRecords(TimePoint now) const
{
    return holdsRemovals(now)
        && std::any_of(records_.begin(), records_.end(), [](const auto &item) { return item.second.heldUntil; });
}

void InstanceDirectory::setHoldEnd(TimePoint end)
{
    holdEnd_ = end;
    for (auto &[id, entry] : records_) {
        if (entry.heldUntil) {
            entry.heldUntil = end;
        }
    }
}

bool InstanceDirectory::expire(TimePoint now)
{
    if (isStoreLost_) {
        return false;
    }
    const std::size_t erased = std::erase_if(
        records_, [now](const auto &item) { return item.second.heldUntil && *item.second.heldUntil <= now; });
    changeCount_ += erased > 0 ? 1 : 0;
    return erased > 0;
}

const std::vector<const InstanceRecord *> &InstanceDirectory::ready(const ServiceName &service) const
{
    static const std::vector<const InstanceRecord *> empty;
    if (indexedChangeCount_ != changeCount_) {
        buildIndex();
    }
    const auto found = readyByService_.find(service);
    return found == readyByService_.end() ? empty : found->second;
}

void InstanceDirectory::buildIndex() const
{
    readyByService_.clear();
    std::unordered_map<Endpoint, const InstanceRecord *> latest;
    for (const auto &[id, entry] : records_) {
        const auto [known, isFirst] = latest.try_emplace(entry.record.address, &entry.record);
        if (!isFirst && supersedes(entry.record, *known->second)) {
            known->second = &entry.record;
        }
    }
    for (const auto &[id, entry] : records_) {
        const InstanceRecord *newest = latest[entry.record.address];
        const bool isSuperseded = newest != &entry.record && supersedes(*newest, entry.record);
        if (entry.record.state == InstanceState::Ready && !isSuperseded) {
            readyByService_[entry.record.service].push_back(&entry.record);
        }
    }
    indexedChangeCount_ = changeCount_;
}

void InstanceDirectory::forEachReady(const std::function<void(const InstanceRecord &)> &action) const
{
    for (const auto &[id, entry] : records_) {
        if (entry.record.state == InstanceState::Ready) {
            action(entry.record);
        }
    }
}

const InstanceRecord *InstanceDirectory::find(const UpstreamName &id) const
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second.record;
}

const InstanceRecord *InstanceDirectory::findByAddress(const Endpoint &address) const
{
    return newestWith(&InstanceRecord::address, address);
}

const InstanceRecord *InstanceDirectory::findByNode(const Endpoint &node) const
{
    return newestWith(&InstanceRecord::node, node);
}

const InstanceRecord *InstanceDirectory::newestWith(Endpoint InstanceRecord::*member, const Endpoint &value) const
{
    const InstanceRecord *newest = nullptr;
    for (const auto &[id, entry] : records_) {
        const bool matches = entry.record.*member == value;
        if (matches && (newest == nullptr || supersedes(entry.record, *newest))) {
            newest = &entry.record;
        }
    }
    return newest;
}

std::vector<InstanceChange> InstanceDirectory::snapshotAsChanges() const
{
    std::vector<InstanceChange> changes;
    for (const auto &[id, entry] : records_) {
        if (!entry.heldUntil) {
            changes.push_back({id, entry.record.revision, entry.record});
        }
    }
    return changes;
}

std::optional<std::vector<InstanceChange>> InstanceDirectory::changesSince(StoreRevision revision) const
{
    if (!hasList_ || revision < removalsSince_) {
        return std::nullopt;
    }
    std::vector<InstanceChange> changes;
    for (const auto &[id, entry] : records_) {
        if (entry.record.revision > revision && !entry.heldUntil) {
            changes.push_back({id, entry.record.revision, entry.record});
        }
    }
    for (const auto &[id, removedAt] : removed_) {
        if (removedAt > revision) {
            changes.push_back({id, removedAt, std::nullopt});
        }
    }
    return changes;
}

void InstanceDirectory::remove(std::map<UpstreamName, Entry>::iterator it, TimePoint now)
{
    ++changeCount_;
    // A draining upstream reported that it will leave, so its removal is no expiry.
    if (holdsRemovals(now) && it->second.record.state == InstanceState::Ready) {
        it->second.heldUntil = isStoreLost_ ? TimePoint::max() : holdEnd_;
        return;
    }
    records_.erase(it);
}

bool InstanceDirectory::holdsRemovals(TimePoint now) const
{
    return isStoreLost_ || now < holdEnd_;
}

}
