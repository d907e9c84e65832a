#include "distribution/readerelection.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

namespace
{

/// How long a decision to watch stands before it is asked for again.
constexpr Milliseconds WatchReview{1'000};
constexpr std::uint32_t MaxCountedFailures = 10;
/// Intervals are stretched by up to this share. They are never shortened: the sum of all fallback reads
/// must stay under the limit.
constexpr double JitterShare = 0.5;

Duration scaled(Duration interval, double factor)
{
    return std::chrono::duration_cast<Duration>(interval * factor);
}

}

ReaderElection::ReaderElection(ReaderSettings settings, UpstreamName own, std::uint64_t seed, TimePoint now)
    : settings_(settings)
    , own_(std::move(own))
    , random_(seed)
    , confirmedAt_(now - settings.fallbackAfter)
    , watchUntil_(now)
    , nextPollAt_(now)
{
}

void ReaderElection::setDirectory(std::shared_ptr<const PeerDirectory> directory)
{
    directory_ = std::move(directory);
    rank_ = directory_ ? directory_->readerRank(own_) : std::nullopt;
}

void ReaderElection::headRead(const TableVersion &head, const std::optional<TableVersion> &held, TimePoint now)
{
    failures_ = 0;
    if (rank_ && (!held || *held < head)) {
        watchUntil_ = now + settings_.takeoverHold;
    }
}

void ReaderElection::readFailed(TimePoint now)
{
    failures_ = std::min(failures_ + 1, MaxCountedFailures);
    const Milliseconds backoff = settings_.standbyInterval * (1U << failures_);
    nextPollAt_ = std::max(nextPollAt_, now + jittered(std::min(backoff, settings_.failureLimit)));
}

void ReaderElection::setConfirmedAt(TimePoint readAt)
{
    confirmedAt_ = std::max(confirmedAt_, readAt);
}

ReadDecision ReaderElection::decide(TimePoint now)
{
    if (!rank_) {
        return decideFallback(now);
    }
    fallbackPlanned_ = false;
    return *rank_ == 0 ? decideReader(now) : decideStandby(now);
}

ReadDecision ReaderElection::decideReader(TimePoint now)
{
    if (failures_ > 0 && now < nextPollAt_) {
        return {ReadAction::None, nextPollAt_};
    }
    return watch(now);
}

ReadDecision ReaderElection::decideStandby(TimePoint now)
{
    if (failures_ == 0 && now < watchUntil_) {
        return watch(now);
    }
    return poll(now, settings_.standbyInterval);
}

ReadDecision ReaderElection::decideFallback(TimePoint now)
{
    const TimePoint silentAt = confirmedAt_ + settings_.fallbackAfter;
    if (now < silentAt) {
        fallbackPlanned_ = false;
        return {ReadAction::None, silentAt};
    }
    if (!fallbackPlanned_) {
        // All nodes fall silent at about the same time; the first reads are spread over a whole interval.
        fallbackPlanned_ = true;
        std::uniform_real_distribution<double> share(0.0, 1.0);
        nextPollAt_ = std::max(nextPollAt_, now + scaled(fallbackInterval(), share(random_)));
    }
    return poll(now, fallbackInterval());
}

ReadDecision ReaderElection::watch(TimePoint now) const
{
    return {ReadAction::Watch, now + WatchReview};
}

ReadDecision ReaderElection::poll(TimePoint now, Duration interval)
{
    if (now < nextPollAt_) {
        return {ReadAction::None, nextPollAt_};
    }
    nextPollAt_ = now + jittered(interval);
    return {ReadAction::Poll, nextPollAt_};
}

Duration ReaderElection::fallbackInterval() const
{
    const std::size_t fleetSize = directory_ ? directory_->peers().size() : settings_.assumedFleetSize;
    const std::chrono::duration<double> even(static_cast<double>(fleetSize) / settings_.fleetReadsPerSecond);
    return std::max<Duration>(settings_.fallbackFloor, std::chrono::duration_cast<Duration>(even));
}

Duration ReaderElection::jittered(Duration interval)
{
    std::uniform_real_distribution<double> stretch(1.0, 1.0 + JitterShare);
    return scaled(interval, stretch(random_));
}

}
