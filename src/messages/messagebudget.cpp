#include "messages/messagebudget.h"

#include <algorithm>
#include <cmath>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// This part of the limit is for short messages alone.
constexpr std::uint64_t ShortShareDivisor = 8;
constexpr std::uint64_t UnreadDivisor = 16;
/// Enough for a large body over the longest links.
constexpr std::uint64_t MaxUnreadBytes = std::uint64_t{192} * 1024;
/// The part of the limit that a client which found no room waits for.
constexpr double ReturnShare = 0.1;
/// Released bytes count for the rate with weight 1/e after a second.
constexpr double RateSeconds = 1.0;
constexpr double MinReturnSeconds = 0.05;
constexpr double MaxReturnSeconds = 2.0;

}

MessageId MessageBudget::begin(TimePoint now)
{
    const MessageId id(++lastId_);
    Message &message = messages_[id];
    message.begunAt = now;
    message.progressAt = now;
    account(message);
    return id;
}

MessageBudget::Room MessageBudget::grow(MessageId id, Bytes size, TimePoint now)
{
    Room room;
    const auto grower = messages_.find(id);
    recordProgress(grower->second, size.value(), now);
    while (!hasRoom(grower->second, size.value())) {
        const auto victim = findVictim(grower, size.value(), now);
        if (victim == grower) {
            return room;
        }
        room.givenUp.push_back(victim->first);
        remove(victim, now);
    }
    unaccount(grower->second);
    grower->second.bytes += size.value();
    account(grower->second);
    room.isGranted = true;
    return room;
}

void MessageBudget::progress(MessageId id, Bytes size, TimePoint now)
{
    recordProgress(messages_.at(id), size.value(), now);
}

void MessageBudget::stopYielding(MessageId id)
{
    Message &message = messages_.at(id);
    unaccount(message);
    message.isYielding = false;
    account(message);
}

void MessageBudget::end(MessageId id, TimePoint now)
{
    if (const auto position = messages_.find(id); position != messages_.end()) {
        remove(position, now);
    }
}

bool MessageBudget::canMakeRoom(Bytes size) const
{
    const bool isLarge = size > MaxShort;
    const std::uint64_t kept = held_ - heldByYielding_;
    return kept + size.value() <= limitOf(isLarge);
}

Milliseconds MessageBudget::returnDelay(TimePoint now) const
{
    const double rate = released_ * std::exp(-inSeconds(now - releasedAt_) / RateSeconds) / RateSeconds;
    const double wanted = static_cast<double>(limit_) * ReturnShare;
    const double stallSeconds = inSeconds(StallTime);
    const double seconds = rate > 0.0 ? std::min(wanted / rate, MaxReturnSeconds) : stallSeconds;
    return std::chrono::ceil<Milliseconds>(fromSeconds(std::max(seconds, MinReturnSeconds)));
}

Bytes MessageBudget::unreadShare() const
{
    const std::uint64_t share = limit_ / UnreadDivisor / std::max<std::uint64_t>(yieldingCount_, 1);
    return Bytes(std::clamp(share, MinUnread.value(), MaxUnreadBytes));
}

std::uint64_t MessageBudget::limitOf(bool isLarge) const
{
    return isLarge ? limit_ - limit_ / ShortShareDivisor : limit_;
}

bool MessageBudget::hasRoom(const Message &grower, std::uint64_t size) const
{
    if (held_ + size > limit_) {
        return false;
    }
    if (grower.bytes + size <= MaxShort.value()) {
        return true;
    }
    const std::uint64_t others = heldByLarge_ - (grower.isLarge() ? grower.held() : 0);
    return others + grower.held() + size <= limitOf(true);
}

MessageBudget::Messages::iterator MessageBudget::findVictim(Messages::iterator grower, std::uint64_t size,
                                                            TimePoint now)
{
    const bool growsLarge = grower->second.bytes + size > MaxShort.value();
    auto stalled = messages_.end();
    auto youngest = messages_.end();
    auto largestShort = messages_.end();
    for (auto position = messages_.begin(); position != messages_.end(); ++position) {
        const Message &message = position->second;
        const bool isLarge = message.isLarge() || (position == grower && growsLarge);
        // Short messages don't give way to large ones.
        if (!message.isYielding || (growsLarge && !isLarge)) {
            continue;
        }
        const bool isStalled = now - message.progressAt >= StallTime;
        if (isStalled && (stalled == messages_.end() || message.bytes > stalled->second.bytes)) {
            stalled = position;
        }
        if (isLarge && (youngest == messages_.end() || message.begunAt >= youngest->second.begunAt)) {
            youngest = position;
        }
        if (!isLarge && (largestShort == messages_.end() || message.bytes > largestShort->second.bytes)) {
            largestShort = position;
        }
    }
    for (const auto found : {stalled, youngest, largestShort}) {
        if (found != messages_.end()) {
            return found;
        }
    }
    return grower;
}

void MessageBudget::recordProgress(Message &message, std::uint64_t size, TimePoint now)
{
    message.moved += size;
    if (message.moved >= MinProgress.value()) {
        message.moved = 0;
        message.progressAt = now;
    }
}

void MessageBudget::account(const Message &message)
{
    held_ += message.held();
    heldByLarge_ += message.isLarge() ? message.held() : 0;
    heldByYielding_ += message.isYielding ? message.held() : 0;
    yieldingCount_ += message.isYielding ? 1 : 0;
}

void MessageBudget::unaccount(const Message &message)
{
    held_ -= message.held();
    heldByLarge_ -= message.isLarge() ? message.held() : 0;
    heldByYielding_ -= message.isYielding ? message.held() : 0;
    yieldingCount_ -= message.isYielding ? 1 : 0;
}

void MessageBudget::remove(Messages::iterator position, TimePoint now)
{
    released_ = released_ * std::exp(-inSeconds(now - releasedAt_) / RateSeconds)
        + static_cast<double>(position->second.held());
    releasedAt_ = now;
    unaccount(position->second);
    messages_.erase(position);
}

}
