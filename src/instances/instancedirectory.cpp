#include "instances/instancedirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Egretpath
{

namespace
{

/// Removals remembered; beyond it all are forgotten, since only changes of the last seconds can come late.
constexpr std::size_t RemovedCap = 4096;

}

InstanceDirectory::InstanceDirectory(DirectorySettings settings)
    : settings_(settings)
{
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
    for (auto place = records_.begin(); place != records_.end();) {
        const auto current = place++;
        const bool newer = current->second.record.revision > snapshot.revision;
        const bool held = current->second.heldUntil && holdsRemovals(now);
        if (!listed.contains(current->first) && !newer && !held) {
            rememberRemoval(current->first, snapshot.revision);
            remove(current, now);
        }
    }
    if (!std::exchange(hasList_, true)) {
        removalsSince_ = snapshot.revision;
    }
    reached(snapshot.revision);
    return true;
}

bool InstanceDirectory::applyChange(const InstanceChange &change, TimePoint now)
{
    const auto place = records_.find(change.id);
    const auto removedAt = removed_.find(change.id);
    const bool known = place != records_.end() && !place->second.heldUntil;
    const bool late = (known && place->second.record.revision >= change.revision)
        || (removedAt != removed_.end() && removedAt->second >= change.revision);
    if (late) {
        return false;
    }
    ++changeCount_;
    if (change.record) {
        removed_.erase(change.id);
        records_.insert_or_assign(change.id, Entry{*change.record, std::nullopt});
        return true;
    }
    rememberRemoval(change.id, change.revision);
    if (known) {
        remove(place, now);
    }
    return true;
}

void InstanceDirectory::rememberRemoval(const UpstreamName &id, StoreRevision revision)
{
    if (removed_.size() >= RemovedCap) {
        removed_.clear();
        removalsSince_ = std::max(revision_, revision);
    }
    removed_[id] = revision;
}

void InstanceDirectory::reached(StoreRevision revision)
{
    revision_ = std::max(revision_, revision);
}

void InstanceDirectory::storeLost(TimePoint lastStoreAvailable)
{
    if (!std::exchange(storeLost_, true)) {
        lastStoreAvailable_ = lastStoreAvailable;
        readUntil_ = lastStoreAvailable;
    }
}

void InstanceDirectory::storeBack(TimePoint now)
{
    if (!std::exchange(storeLost_, false)) {
        return;
    }
    backAt_ = now;
    const bool othersRead = std::exchange(othersReadStore_, false) || wasReadUntil(now);
    holdUntil(othersRead ? now : now + settings_.expiryHold);
}

void InstanceDirectory::storeAvailableThroughout(TimePoint from, TimePoint to)
{
    if (from > lastStoreAvailable_) {
        return;
    }
    readUntil_ = std::max(readUntil_, to);
    if (!storeLost_ && to < holdUntil_ && wasReadUntil(backAt_)) {
        holdUntil(to);
    }
}

bool InstanceDirectory::holdsRecords(TimePoint now) const
{
    return holdsRemovals(now)
        && std::any_of(records_.begin(), records_.end(), [](const auto &item) { return item.second.heldUntil; });
}

void InstanceDirectory::holdUntil(TimePoint end)
{
    holdUntil_ = end;
    for (auto &[id, entry] : records_) {
        if (entry.heldUntil) {
            entry.heldUntil = end;
        }
    }
}

bool InstanceDirectory::expire(TimePoint now)
{
    if (storeLost_) {
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
    if (indexedAt_ != changeCount_) {
        buildIndex();
    }
    const auto found = readyByService_.find(service);
    return found == readyByService_.end() ? empty : found->second;
}

void InstanceDirectory::buildIndex() const
{
    readyByService_.clear();
    std::unordered_map<Endpoint, StoreRevision> latest;
    for (const auto &[id, entry] : records_) {
        StoreRevision &revision = latest[entry.record.address];
        revision = std::max(revision, entry.record.revision);
    }
    for (const auto &[id, entry] : records_) {
        const bool superseded = entry.record.revision < latest[entry.record.address];
        if (entry.record.state == InstanceState::Ready && !superseded) {
            readyByService_[entry.record.service].push_back(&entry.record);
        }
    }
    indexedAt_ = changeCount_;
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
    const auto place = records_.find(id);
    return place == records_.end() ? nullptr : &place->second.record;
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
        const bool here = entry.record.*member == value;
        if (here && (newest == nullptr || newest->revision < entry.record.revision)) {
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

void InstanceDirectory::remove(std::map<UpstreamName, Entry>::iterator place, TimePoint now)
{
    ++changeCount_;
    // One that drains has said that it leaves: it did not lapse.
    if (holdsRemovals(now) && place->second.record.state == InstanceState::Ready) {
        place->second.heldUntil = storeLost_ ? TimePoint::max() : holdUntil_;
        return;
    }
    records_.erase(place);
}

bool InstanceDirectory::holdsRemovals(TimePoint now) const
{
    return storeLost_ || now < holdUntil_;
}

}
