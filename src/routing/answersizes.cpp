#include "routing/answersizes.h"

namespace Egretpath
{

namespace
{

/// Weight of the newest answer in the mean of its route and in the mean of all routes.
constexpr double Gain = 0.1;

}

void AnswerSizes::record(const RouteName &route, Bytes answerSize)
{
    const auto size = static_cast<double>(answerSize.value());
    const auto [entry, isNew] = bytes_.try_emplace(route, size);
    if (!isNew) {
        entry->second += Gain * (size - entry->second);
    }
    overallBytes_ += Gain * (size - overallBytes_);
}

Bytes AnswerSizes::typicalAnswerSize(const RouteName &route) const
{
    const auto found = bytes_.find(route);
    const double mean = found == bytes_.end() ? overallBytes_ : found->second;
    return Bytes(static_cast<std::uint64_t>(mean));
}

}
