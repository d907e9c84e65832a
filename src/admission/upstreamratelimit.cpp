#include "admission/upstreamratelimit.h"

#include <algorithm>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// An upstream that names a lower limit, or zero, still gets a request at this interval: its answer is what tells that
/// the limit has changed.
constexpr Milliseconds MaxInterval{4000};
/// Number of requests that may follow each other at once.
constexpr int RequestsAtOnce = 2;
/// A cold upstream counts the requests that it got within this time.
constexpr std::chrono::seconds RecentTime{1};
/// In this time, a cold upstream may get this number of requests beyond its rate.
constexpr double MaxExcess = 3.0;
/// The part of the rate that is used in the first second of a process.
constexpr double ShareAfterStart = 0.5;

}

UpstreamRateLimit::UpstreamRateLimit(TimePoint startedAt)
    : startedAt_(startedAt)
{
}

void UpstreamRateLimit::setRate(RateGround ground, std::optional<RequestRate> rate, TimePoint now)
{
    const bool wasLimited = lowestRate().has_value();
    rates_.at(static_cast<std::size_t>(ground)) = rate;
    if (!lowestRate()) {
        return;
    }
    if (!wasLimited) {
        usedUpAt_ = ground == RateGround::Cold ? usedUpByRecentRequests(now) : now;
        return;
    }
    // A raised limit shortens the wait for the turns that were taken under the lower one.
    usedUpAt_ = std::min(usedUpAt_, std::max(now + RequestsAtOnce * interval(), usedUpByRecentRequests(now)));
}

const std::optional<RequestRate> &UpstreamRateLimit::rate(RateGround ground) const
{
    return rates_.at(static_cast<std::size_t>(ground));
}

void UpstreamRateLimit::onHandOver(TimePoint now)
{
    forgetOldRequests(now);
    recentRequests_.push_back(now);
}

TimePoint UpstreamRateLimit::takeTurn(TimePoint now)
{
    if (!lowestRate()) {
        return now;
    }
    const TimePoint due = now + timeUntilNext(now);
    usedUpAt_ = std::max(usedUpAt_, now) + interval();
    return due;
}

bool UpstreamRateLimit::hasRoom(TimePoint now)
{
    if (!rate(RateGround::Cold)) {
        return true;
    }
    forgetOldRequests(now);
    // An earlier process may have handed over as much as is allowed just before this one started.
    const bool mayHavePredecessor = now - startedAt_ < RecentTime;
    const double rateShare = mayHavePredecessor ? ShareAfterStart : 1.0;
    const double allowed = rateShare * lowestRate()->value() + MaxExcess;
    return static_cast<double>(recentRequests_.size()) < allowed;
}

Duration UpstreamRateLimit::timeUntilNext(TimePoint now) const
{
    if (!lowestRate()) {
        return Duration{0};
    }
    const Duration wait = usedUpAt_ - now - (RequestsAtOnce - 1) * interval();
    return std::max(wait, Duration{0});
}

std::optional<RequestRate> UpstreamRateLimit::lowestRate() const
{
    std::optional<RequestRate> lowest;
    for (const std::optional<RequestRate> &rate : rates_) {
        if (rate && (!lowest || *rate < *lowest)) {
            lowest = rate;
        }
    }
    return lowest;
}

Duration UpstreamRateLimit::interval() const
{
    const double minPerSecond = 1.0 / inSeconds(Duration{MaxInterval});
    return fromSeconds(1.0 / std::max(lowestRate()->value(), minPerSecond));
}

TimePoint UpstreamRateLimit::usedUpByRecentRequests(TimePoint now)
{
    forgetOldRequests(now);
    const Duration used = interval() * static_cast<Duration::rep>(recentRequests_.size());
    return now + std::clamp<Duration>(used - RecentTime, Duration{0}, RecentTime);
}

void UpstreamRateLimit::forgetOldRequests(TimePoint now)
{
    while (!recentRequests_.empty() && now - recentRequests_.front() >= RecentTime) {
        recentRequests_.pop_front();
    }
}

}
