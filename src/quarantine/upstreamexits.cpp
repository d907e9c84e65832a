#include "quarantine/upstreamexits.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

constexpr std::chrono::minutes Memory{2};
constexpr std::size_t MaxExits = 8;
/// So many ends that no request explains are no chance any more.
constexpr std::ptrdiff_t UnexplainedExits = 2;

}

bool UpstreamExits::flaps(UpstreamCrashId crash, const Quarantine &quarantine, TimePoint now) const
{
    const auto isUnexplained = [&](const End &end) {
        const bool explained = std::any_of(end.held.begin(), end.held.end(), [&](const RequestFingerprint &request) {
            return quarantine.rejection(request, now).has_value();
        });
        return end.crash != crash && now - end.at < Memory && !explained;
    };
    return std::count_if(exits_.begin(), exits_.end(), isUnexplained) >= UnexplainedExits;
}

void UpstreamExits::record(UpstreamCrashId crash, const std::vector<RequestFingerprint> &held, TimePoint now)
{
    if (exits_.empty() || exits_.back().crash != crash) {
        exits_.push_back({crash, now, {}});
    }
    std::vector<RequestFingerprint> &all = exits_.back().held;
    all.insert(all.end(), held.begin(), held.end());
    if (exits_.size() > MaxExits) {
        exits_.pop_front();
    }
}

}
