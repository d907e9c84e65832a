#include "transfer/linkscheduler.h"

#include <algorithm>
#include <iterator>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

constexpr double BytesPerMegabit = 1e6 / 8.0;

}

LinkScheduler::LinkScheduler(const LinkSchedulerSettings &settings)
    : settings_(settings)
{
}

TransferId LinkScheduler::open(std::uint8_t priority)
{
    const TransferId transfer(++lastTransfer_);
    transfers_[transfer].priority = priority;
    return transfer;
}

void LinkScheduler::close(TransferId transfer)
{
    const auto found = transfers_.find(transfer);
    if (found == transfers_.end()) {
        return;
    }
    const Transfer &closed = found->second;
    unacceptedBytes_ -= closed.unacceptedBytes;
    if (!closed.waiting.empty()) {
        const auto level = levels_.find(closed.priority);
        std::erase(level->second.turns, transfer);
        if (level->second.turns.empty()) {
            levels_.erase(level);
        }
        waitingChunks_ -= closed.waiting.size();
        for (const Bytes size : closed.waiting) {
            waitingBytes_ -= size.value();
        }
    }
    transfers_.erase(found);
}

void LinkScheduler::offer(TransferId transfer, Bytes size, TimePoint now)
{
    const auto found = transfers_.find(transfer);
    if (found == transfers_.end()) {
        return;
    }
    if (waitingChunks_ == 0) {
        // Time in which no chunk waited is not made up.
        linkFreeAt_ = std::max(linkFreeAt_, now);
    }
    if (found->second.waiting.empty()) {
        levels_[found->second.priority].turns.push_back(transfer);
    }
    found->second.waiting.push_back(size);
    ++waitingChunks_;
    waitingBytes_ += size.value();
}

std::optional<TransferId> LinkScheduler::start(TimePoint now)
{
    if (waitingChunks_ == 0 || now < nextDue()) {
        return std::nullopt;
    }
    const auto level = nextLevel();
    const TransferId id = level->second.turns.front();
    level->second.turns.pop_front();
    Transfer &transfer = transfers_.at(id);
    const Bytes size = transfer.waiting.front();
    transfer.waiting.pop_front();
    transfer.unacceptedBytes += size.value();
    unacceptedBytes_ += size.value();
    --waitingChunks_;
    waitingBytes_ -= size.value();
    updateShares(level, size);
    if (!transfer.waiting.empty()) {
        level->second.turns.push_back(id);
    } else if (level->second.turns.empty()) {
        levels_.erase(level);
    }
    const auto bytes = static_cast<double>(size.value());
    const TimePoint begin = std::max(linkFreeAt_, now - settings_.maxCatchUp);
    linkFreeAt_ = begin + timeToSend(bytes, settings_.pacedShare);
    latestStart_ = now + timeToSend(bytes, settings_.minBulkShare);
    return id;
}

LinkScheduler::Levels::iterator LinkScheduler::nextLevel()
{
    const auto mostUrgent = levels_.begin();
    for (auto level = std::prev(levels_.end()); level != mostUrgent; --level) {
        const Bytes size = transfers_.at(level->second.turns.front()).waiting.front();
        if (level->second.earnedBytes >= static_cast<double>(size.value())) {
            return level;
        }
    }
    return mostUrgent;
}

void LinkScheduler::updateShares(Levels::iterator started, Bytes size)
{
    const auto bytes = static_cast<double>(size.value());
    started->second.earnedBytes = std::max(started->second.earnedBytes - bytes, 0.0);
    const double earnedShare = settings_.lowestPriorityShare / (1.0 - settings_.lowestPriorityShare);
    for (auto level = std::next(started); level != levels_.end(); ++level) {
        level->second.earnedBytes += bytes * earnedShare;
    }
}

void LinkScheduler::onAccepted(TransferId transfer)
{
    const auto found = transfers_.find(transfer);
    if (found != transfers_.end()) {
        unacceptedBytes_ -= found->second.unacceptedBytes;
        found->second.unacceptedBytes = 0;
    }
}

void LinkScheduler::onShortMessage(Bytes size, TimePoint now)
{
    const TimePoint free = std::max(linkFreeAt_, now);
    const TimePoint delayed = free + timeToSend(static_cast<double>(size.value()), settings_.pacedShare);
    linkFreeAt_ = std::max(free, std::min<TimePoint>(delayed, now + settings_.maxShortMessageDebt));
}

TimePoint LinkScheduler::nextDue() const
{
    return std::min(linkFreeAt_, latestStart_);
}

Duration LinkScheduler::backlog(TimePoint now) const
{
    const Duration started = std::max(timeToSend(static_cast<double>(unacceptedBytes_), settings_.pacedShare),
                                      std::max<Duration>(linkFreeAt_ - now, Duration{0}));
    return started + timeToSend(static_cast<double>(waitingBytes_), settings_.pacedShare);
}

Duration LinkScheduler::timeToSend(double bytes, double share) const
{
    return fromSeconds(bytes / (settings_.megabitsPerSecond * BytesPerMegabit * share));
}

}
