#include "distribution/bytebudget.h"

#include <algorithm>

namespace Egretpath
{

ByteBudget::ByteBudget(Bytes bytesPerSecond, Bytes burst, TimePoint now)
    : bytesPerSecond_(static_cast<double>(bytesPerSecond.value()))
    , burst_(static_cast<double>(burst.value()))
    , tokens_(burst_)
    , refilledAt_(now)
{
}

bool ByteBudget::tryTake(Bytes bytes, TimePoint now)
{
    refill(now);
    if (tokens_ < static_cast<double>(bytes.value())) {
        ++refusals_;
        return false;
    }
    take(bytes, now);
    return true;
}

void ByteBudget::take(Bytes bytes, TimePoint now)
{
    refill(now);
    tokens_ -= static_cast<double>(bytes.value());
    spent_ = Bytes(spent_.value() + bytes.value());
}

Bytes ByteBudget::available(TimePoint now)
{
    refill(now);
    return Bytes(static_cast<std::uint64_t>(std::max(tokens_, 0.0)));
}

void ByteBudget::refill(TimePoint now)
{
    if (now <= refilledAt_) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(burst_, tokens_ + seconds * bytesPerSecond_);
    refilledAt_ = now;
}

}
