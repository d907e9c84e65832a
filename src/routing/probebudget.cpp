#include "routing/probebudget.h"

#include <algorithm>

namespace Egretpath
{

ProbeBudget::ProbeBudget(ProbeBudgetSettings settings)
{
    setSettings(settings);
}

void ProbeBudget::setSettings(const ProbeBudgetSettings &settings)
{
    settings_ = settings;
    free_.bytesPerSecond = settings.bytesPerSecond;
    paid_.bytesPerSecond = settings.paidBytesPerSecond;
    for (Bucket *bucket : {&free_, &paid_}) {
        bucket->tokens = std::min(bucket->tokens, bucket->bytesPerSecond * settings.burstSeconds);
    }
}

bool ProbeBudget::spend(LinkKind link, Bytes size, TimePoint now)
{
    Bucket &bucket = link == LinkKind::BetweenRegions ? paid_ : free_;
    ProbeCount &count = counts_.at(static_cast<std::size_t>(link));
    refill(bucket, now);
    const auto cost = static_cast<double>(size.value());
    if (bucket.tokens < cost) {
        ++count.denied;
        return false;
    }
    bucket.tokens -= cost;
    ++count.sent;
    count.bytes = Bytes{count.bytes.value() + size.value()};
    return true;
}

void ProbeBudget::refill(Bucket &bucket, TimePoint now) const
{
    const double most = bucket.bytesPerSecond * settings_.burstSeconds;
    if (!bucket.started) {
        bucket.started = true;
        bucket.tokens = most;
    } else if (now > bucket.filled) {
        // A process that slept for an hour must not wake up with an hour of probes: the burst caps it.
        const std::chrono::duration<double> elapsed = now - bucket.filled;
        bucket.tokens = std::min(most, bucket.tokens + elapsed.count() * bucket.bytesPerSecond);
    }
    bucket.filled = std::max(bucket.filled, now);
}

}
