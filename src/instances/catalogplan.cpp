#include "instances/catalogplan.h"

#include <algorithm>
#include <random>
#include <utility>

namespace Egretpath
{

namespace
{

/// The largest number of nodes that an update passes through: twice the depth of the follower trees. A longer chain is
/// a cycle in which no node reads the store.
constexpr std::uint8_t MaxHops = 8;
/// A store that stops answering is noticed after this time at the latest.
constexpr Milliseconds StoreLossDetectionTime{1300};

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
    if (isActiveReader() && isReadingStore()) {
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
    ownReadsFailingSince_ = now;
    isStoreOverdue_ = false;
    hasRead_ = false;
}

void CatalogPlan::onOwnReadsFailed(TimePoint now)
{
    if (std::exchange(ownStoreAvailableSince_, std::nullopt)) {
        lastStoreAvailable_ = std::max<TimePoint>(lastStoreAvailable_, now - StoreLossDetectionTime);
    }
    ownReadsFailingSince_ = now;
}

void CatalogPlan::onOwnReadsRecovered(TimePoint now)
{
    ownReadsFailingSince_.reset();
    isStoreOverdue_ = false;
    recordStoreRead(now);
    endSearch();
}

void CatalogPlan::recordStoreAnswer(TimePoint now)
{
    lastStoreAnswerAt_ = now;
    if (std::exchange(isStoreOverdue_, false) && isActiveReader() && isReadingStore()) {
        endSearch();
    }
}

StoreCheckTimes CatalogPlan::checkTimes(TimePoint now) const
{
    if (!nextInRing(now)) {
        return {times_.storeCheckInterval, times_.maxUnconfirmedTime};
    }
    return {times_.ringCheckInterval,
            election_.isFirstInRing() ? times_.leadConfirmInterval : times_.maxUnconfirmedTime};
}

void CatalogPlan::endSearch()
{
    isSearchExhausted_ = false;
    election_.clearFailures();
    if (isActiveReader()) {
        following_.reset();
        hasUnavailableReport_ = false;
    }
}

bool CatalogPlan::isUsable(const Endpoint &node, const SourceReport &report, TimePoint now) const
{
    const bool isAvailable = report.store != StoreState::Unavailable;
    const bool isRecent = report.age < times_.maxReportAge && report.hops < MaxHops;
    // A source that has to search for a while keeps its followers, but gets no further ones.
    const bool hasReader = !report.isSearching || following_ == node;
    return isAvailable && isRecent && hasReader && !dependsOnThisNode(report) && !dependsOnLostReader(report, now);
}

/// Guards against nodes that lost the same reader and follow each other: each reports what it last heard of the store,
/// and none of them gets a further update.
bool CatalogPlan::dependsOnLostReader(const SourceReport &report, TimePoint now) const
{
    return lostReader_ && report.reader == lostReader_->reader && now - report.age <= lostReader_->at;
}

/// Guards against nodes that follow each other while the reader that they once had is well: the time at which it last
/// read grows too slowly to show it.
bool CatalogPlan::dependsOnThisNode(const SourceReport &report) const
{
    return report.reader == own_ || std::find(report.via.begin(), report.via.end(), hashOf(own_)) != report.via.end();
}

void CatalogPlan::recordLostReader(TimePoint at)
{
    if (hasAvailableSource()) {
        lostReader_ = LostReader{report_.reader, at};
    }
}

void CatalogPlan::onAnswer(const Endpoint &node, const SourceReport &report, TimePoint now)
{
    // The answer was still on its way when this reader's search ended.
    if (isActiveReader() && isReadingStore()) {
        return;
    }
    if (isUsable(node, report, now)) {
        follow(node, report, now);
    } else if (report.isStoreUnwatched) {
        recordNoNews(node, now);
    } else {
        recordUnavailableReport(node, report, now);
    }
}

void CatalogPlan::follow(const Endpoint &node, const SourceReport &report, TimePoint now)
{
    election_.recordAnswer(node);
    following_ = node;
    report_ = report;
    lostReader_.reset();
    lastStoreReadAt_ = now - report.age;
    sourceStoreAvailableSince_ = now - report.storeAvailableFor;
    lastStoreAvailable_ = std::max(lastStoreAvailable_, lastStoreReadAt_);
    hasUnavailableReport_ = false;
    isSearchExhausted_ = false;
    hasNoSource_ = false;
    hasStoreProbeSucceeded_ = false;
    nextStoreProbe_.reset();
    hasSilentNode_ = false;
}

void CatalogPlan::recordUnavailableReport(const Endpoint &node, const SourceReport &report, TimePoint now)
{
    election_.recordFailure(node, now);
    if (following_ == node && !dependsOnThisNode(report)) {
        recordLostReader(now);
    }
    // A node that reads the store knows better.
    hasNoSource_ = hasNoSource_ && isReadingStore();
    if (!std::exchange(hasUnavailableReport_, true)) {
        scheduleStoreProbe(now);
    }
    if (isActiveReader()) {
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

void CatalogPlan::recordNoNews(const Endpoint &node, TimePoint now)
{
    election_.recordFailure(node, now);
    if (following_ == node) {
        recordLostReader(now);
        following_.reset();
        isSearchExhausted_ = false;
    }
}

void CatalogPlan::onAlternativesFailed()
{
    hasNoSource_ = hasNoSource_ || !isActiveReader();
}

void CatalogPlan::onNoAnswer(const Endpoint &node, TimePoint now)
{
    election_.recordFailure(node, now);
    hasSilentNode_ = true;
    if (following_ == node) {
        // If @p node is between this node and the reader, only reports from before its answer was due are in question:
        // the reader itself may still be alive.
        recordLostReader(report_.reader == node ? now : now - times_.followMargin);
        following_.reset();
        isSearchExhausted_ = false;
    }
}

void CatalogPlan::storeProbeSucceeded(TimePoint now)
{
    hasStoreProbeSucceeded_ = true;
    ownReadsFailingSince_ = now;
}

std::optional<SourceQuery> CatalogPlan::query(const Endpoint &node) const
{
    SourceQuery query{node, Milliseconds{0}, StoreState::Available};
    // A node that is not followed yet is asked to answer at once.
    if (following_ == node) {
        query.wait = times_.followWait;
        query.knownState = report_.store;
    }
    return query;
}

std::optional<SourceQuery> CatalogPlan::nextQuery(TimePoint now)
{
    if (isActiveReader()) {
        return ownReadsFailingSince_ || isStoreOverdue_ ? search(now) : std::nullopt;
    }
    if (const auto source = election_.source(now)) {
        return query(*source);
    }
    // Two standbys that both read must not follow each other.
    if (isReadingStore()) {
        return std::nullopt;
    }
    if (hasAvailableSource() || hasUnavailableReport_) {
        return search(now);
    }
    // A node that is not on the list yet keeps following the node that it followed at its start.
    if (following_) {
        return query(*following_);
    }
    hasNoSource_ = true;
    return std::nullopt;
}

/// The query to send while none of this node's sources is usable.
std::optional<SourceQuery> CatalogPlan::search(TimePoint now)
{
    if (hasAvailableSource()) {
        return query(*following_);
    }
    if (const auto substitute = election_.substitute(now)) {
        return query(*substitute);
    }
    isSearchExhausted_ = true;
    if (following_) {
        return query(*following_);
    }
    hasNoSource_ = true;
    return std::nullopt;
}

StoreReading CatalogPlan::reading() const
{
    if (isActiveReader()) {
        return StoreReading::Reader;
    }
    const bool isActiveStandby = hasUnavailableReport_ && election_.isStandby();
    return isActiveStandby || hasStoreProbeSucceeded_ || hasNoSource_ ? StoreReading::Standby : StoreReading::None;
}

bool CatalogPlan::wantsStoreProbe(TimePoint now)
{
    const bool isDueInTurn = nextStoreProbe_ && now >= *nextStoreProbe_;
    // The list of a node that it doesn't name is from before the node came, and so are the nodes that it asks.
    const bool isInDoubt = hasSilentNode_ || !isListed_;
    const bool isDueForDoubt = isInDoubt && now - lastStoreProbe_ >= times_.doubtProbeInterval;
    if (reading() != StoreReading::None || !isStoreReportedUnavailable() || !(isDueInTurn || isDueForDoubt)) {
        return false;
    }
    lastStoreProbe_ = now;
    scheduleStoreProbe(now);
    return true;
}

void CatalogPlan::scheduleStoreProbe(TimePoint now)
{
    const Milliseconds mean =
        std::max(times_.probeIntervalPerNode * static_cast<int>(fleetSize_), times_.minProbeInterval);
    std::exponential_distribution<double> distribution(1.0);
    nextStoreProbe_ = now + std::chrono::duration_cast<Duration>(mean * distribution(random_));
}

StoreState CatalogPlan::store(TimePoint now, bool isRecovering) const
{
    const bool isLostForLong = ownReadsFailingSince_ && now - *ownReadsFailingSince_ >= times_.storeLossTolerance;
    const bool areOwnReadsFailing = isActiveReader() ? isLostForLong : ownReadsFailingSince_.has_value();
    if (reading() != StoreReading::None && hasRead_ && !areOwnReadsFailing) {
        return isRecovering ? StoreState::Recovering : StoreState::Available;
    }
    const bool isReportCurrent = following_ && !isSearchExhausted_ && now - lastStoreReadAt_ < times_.maxReportAge;
    if (!isReportCurrent) {
        return StoreState::Unavailable;
    }
    // While substitutes are queried, the last known state still counts.
    return hasAvailableSource() ? report_.store : StoreState::Available;
}

std::uint8_t CatalogPlan::hops() const
{
    return isReadingStore() || !following_ ? 0 : static_cast<std::uint8_t>(report_.hops + 1);
}

Endpoint CatalogPlan::reader() const
{
    return isReadingStore() || !following_ ? own_ : report_.reader;
}

std::vector<NodeHash> CatalogPlan::via() const
{
    if (isReadingStore() || !following_ || report_.reader == *following_) {
        return {};
    }
    std::vector<NodeHash> nodes{hashOf(*following_)};
    nodes.insert(nodes.end(), report_.via.begin(), report_.via.end());
    return nodes;
}

Milliseconds CatalogPlan::storeAvailableFor(TimePoint now) const
{
    if (isReadingStore() && ownStoreAvailableSince_) {
        return std::chrono::duration_cast<Milliseconds>(now - *ownStoreAvailableSince_);
    }
    return following_ ? std::chrono::duration_cast<Milliseconds>(now - sourceStoreAvailableSince_) : Milliseconds{0};
}

Milliseconds CatalogPlan::age(TimePoint now) const
{
    if (isReadingStore()) {
        return Milliseconds{0};
    }
    const TimePoint readAt = following_ ? lastStoreReadAt_ : lastStoreAnswerAt_.value_or(now);
    return std::chrono::duration_cast<Milliseconds>(now - readAt);
}

}
