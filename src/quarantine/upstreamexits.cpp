#include "quarantine/upstreamexits.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Older exits are not counted.
constexpr std::chrono::minutes MaxExitAge{2};
constexpr std::size_t MaxExits = 8;
/// An upstream counts as flapping after at least this many exits that no refused request explains. Fewer may be chance.
constexpr std::ptrdiff_t MinUnexplainedExits = 2;

}

bool UpstreamExits::isFlapping(UpstreamCrashId crash, const Quarantine &quarantine, TimePoint now) const
{
    const auto isUnexplained = [&](const Exit &earlier) {
        const bool isExplained =
            std::any_of(earlier.held.begin(), earlier.held.end(), [&](const RequestFingerprint &request) {
                return quarantine.rejection(request, now).has_value();
            });
        return earlier.crash != crash && now - earlier.at < MaxExitAge && !isExplained;
    };
    return std::count_if(exits_.begin(), exits_.end(), isUnexplained) >= MinUnexplainedExits;
}

void UpstreamExits::record(UpstreamCrashId crash, const std::vector<RequestFingerprint> &held, TimePoint now)
{
    if (exits_.empty() || exits_.back().crash != crash) {
        exits_.push_back({crash, now, {}});
    }
    std::vector<RequestFingerprint> &allHeld = exits_.back().held;
    allHeld.insert(allHeld.end(), held.begin(), held.end());
    if (exits_.size() > MaxExits) {
        exits_.pop_front();
    }
}

}
