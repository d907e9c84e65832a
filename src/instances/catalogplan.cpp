#include "instances/catalogplan.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Egretpath
{

namespace
{

/// News passes through so many nodes at most, twice as many as the trees are deep; a longer chain is a circle, in which
/// nobody reads.
constexpr std::uint8_t MostHops = 8;
/// A store that falls silent is noticed after this time at the latest.
constexpr Milliseconds SilenceNoticed{1300};

}

CatalogPlan::CatalogPlan(RegionName region, const ReaderElectionSettings &readers, const CatalogTimes &times,
                         Random random)
    : times_(times)
    , random_(random)
    , election_(std::move(region), readers)
{
}

void CatalogPlan::listChanged(const InstanceDirectory &directory, const Endpoint &own, bool isListed)
{
    own_ = own;
    hasList_ = true;
    isListed_ = isListed;
    fleetSize_ = std::max<std::size_t>(directory.size(), 1);
    election_.update(directory, own);
    if (isReaderHere() && readsInOrder()) {
        following_.reset();
    }
}

void CatalogPlan::recordStoreRead(TimePoint now)
{
    hasRead_ = true;
    ownStoreAvailableSince_ = ownStoreAvailableSince_.value_or(now);
}

void CatalogPlan::beginReading(TimePoint now)
{
    ownStoreAvailableSince_.reset();
    ownLostSince_ = now;
    hasRead_ = false;
}

void CatalogPlan::ownReadingLost(TimePoint now)
{
    if (std::exchange(ownStoreAvailableSince_, std::nullopt)) {
        lastStoreAvailable_ = std::max<TimePoint>(lastStoreAvailable_, now - SilenceNoticed);
    }
    ownLostSince_ = now;
}

void CatalogPlan::ownReadingBack(TimePoint now)
{
    ownLostSince_.reset();
    recordStoreRead(now);
    searched_ = false;
    election_.forgiveAll();
    if (isReaderHere()) {
        following_.reset();
        heardAway_ = false;
    }
}

bool CatalogPlan::isUsable(const SourceReport &report) const
{
    // A node that has its news from this one brings none.
    const bool proven = report.age < times_.provenFor && report.hops < MostHops && report.reader != own_;
    return report.store != StoreState::Unavailable && proven;
}

void CatalogPlan::answered(const Endpoint &node, const SourceReport &report, TimePoint now)
{
    if (isUsable(report)) {
        follow(node, report, now);
    } else {
        noteAway(node, report, now);
    }
}

void CatalogPlan::follow(const Endpoint &node, const SourceReport &report, TimePoint now)
{
    election_.answered(node);
    following_ = node;
    report_ = report;
    provenAt_ = now - report.age;
    sourceStoreAvailableSince_ = now - report.storeAvailableFor;
    lastStoreAvailable_ = std::max(lastStoreAvailable_, provenAt_);
    heardAway_ = false;
    searched_ = false;
    isOrphan_ = false;
    isVolunteer_ = false;
    nextLook_.reset();
}

void CatalogPlan::noteAway(const Endpoint &node, const SourceReport &report, TimePoint now)
{
    election_.failed(node, now);
    isOrphan_ = false;
    if (!std::exchange(heardAway_, true)) {
        planLook(now);
    }
    if (isReaderHere()) {
        if (following_ == node) {
            following_.reset();
        }
        return;
    }
    if (!following_ || following_ == node) {
        following_ = node;
        report_ = report;
        report_.store = StoreState::Unavailable;
    }
}

void CatalogPlan::silent(const Endpoint &node, TimePoint now)
{
    election_.failed(node, now);
    if (following_ == node) {
        following_.reset();
        searched_ = false;
    }
}

void CatalogPlan::storeProbeSucceeded(TimePoint now)
{
    isVolunteer_ = true;
    ownLostSince_ = now;
}

std::optional<SourceQuery> CatalogPlan::query(const Endpoint &node) const
{
    SourceQuery query{node, Milliseconds{0}, StoreState::Available};
    // The first answer of a node comes at once.
    if (following_ == node) {
        query.wait = times_.followWait;
        query.known = report_.store;
    }
    return query;
}

std::optional<SourceQuery> CatalogPlan::nextQuery(TimePoint now)
{
    if (isReaderHere()) {
        const bool searches = ownLostSince_ && now - *ownLostSince_ >= times_.lossBeforeAsking;
        return searches || (ownLostSince_ && isFollowingWell()) ? search(now) : std::nullopt;
    }
    if (const auto source = election_.source(now)) {
        return query(*source);
    }
    // Two that stand in must not follow each other.
    if (readsInOrder()) {
        return std::nullopt;
    }
    if (isFollowingWell() || heardAway_) {
        return search(now);
    }
    // A node that is not on the list yet goes on with the one that it began at.
    if (following_) {
        return query(*following_);
    }
    isOrphan_ = true;
    return std::nullopt;
}

/// The sources of this node are of no use just now.
std::optional<SourceQuery> CatalogPlan::search(TimePoint now)
{
    if (isFollowingWell()) {
        return query(*following_);
    }
    if (const auto substitute = election_.substitute(now)) {
        return query(*substitute);
    }
    searched_ = true;
    if (following_) {
        return query(*following_);
    }
    isOrphan_ = true;
    return std::nullopt;
}

StoreReading CatalogPlan::reading() const
{
    if (isReaderHere()) {
        return StoreReading::Usual;
    }
    const bool standsIn = heardAway_ && election_.isStandby();
    return standsIn || isVolunteer_ || isOrphan_ ? StoreReading::Standby : StoreReading::None;
}

bool CatalogPlan::wantsStoreProbe(TimePoint now)
{
    if (reading() != StoreReading::None || !isStoreReportedUnavailable() || !nextLook_ || now < *nextLook_) {
        return false;
    }
    planLook(now);
    return true;
}

void CatalogPlan::planLook(TimePoint now)
{
    const Milliseconds mean = std::max(times_.lookPerNode * static_cast<int>(fleetSize_), times_.minProbeInterval);
    std::exponential_distribution<double> spread(1.0);
    nextLook_ = now + std::chrono::duration_cast<Duration>(mean * spread(random_));
}

StoreState CatalogPlan::store(TimePoint now, bool settles) const
{
    const bool lostForLong = ownLostSince_ && now - *ownLostSince_ >= times_.lossBeforeAsking;
    const bool ownIsLost = isReaderHere() ? lostForLong : ownLostSince_.has_value();
    if (reading() != StoreReading::None && hasRead_ && !ownIsLost) {
        return settles ? StoreState::Recovering : StoreState::Available;
    }
    const bool knowsBetter = following_ && !searched_ && now - provenAt_ < times_.provenFor;
    if (!knowsBetter) {
        return StoreState::Unavailable;
    }
    // While others are asked, what was true a moment ago.
    return isFollowingWell() ? report_.store : StoreState::Available;
}

std::uint8_t CatalogPlan::hops() const
{
    return readsInOrder() || !following_ ? 0 : static_cast<std::uint8_t>(report_.hops + 1);
}

Endpoint CatalogPlan::reader() const
{
    return readsInOrder() || !following_ ? own_ : report_.reader;
}

Milliseconds CatalogPlan::storeAvailableFor(TimePoint now) const
{
    if (readsInOrder() && ownStoreAvailableSince_) {
        return std::chrono::duration_cast<Milliseconds>(now - *ownStoreAvailableSince_);
    }
    return following_ ? std::chrono::duration_cast<Milliseconds>(now - sourceStoreAvailableSince_) : Milliseconds{0};
}

Milliseconds CatalogPlan::age(TimePoint now) const
{
    const bool isSource = readsInOrder() || !following_;
    return isSource ? Milliseconds{0} : std::chrono::duration_cast<Milliseconds>(now - provenAt_);
}

}
