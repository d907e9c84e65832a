#include "admission/upstreamaccount.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// An upstream on a busy VM has read a request, and counts it, so long after it was written.
constexpr Milliseconds ReadTime{50};
/// Answers that were made before a count have arrived so long after it, on a busy VM.
constexpr Milliseconds SettleTime{100};
/// Claims kept; each report makes one at most, and the newest ones know most.
constexpr std::size_t ClaimsCap = 8;

}

void UpstreamAccount::begun(CallId call)
{
    open_.push_back({call, std::nullopt});
    ++query_.mayCount;
}

void UpstreamAccount::written(CallId call, TimePoint now)
{
    const auto place = std::find_if(open_.begin(), open_.end(), [call](const Open &item) { return item.call == call; });
    if (place != open_.end()) {
        place->written = now;
    }
}

void UpstreamAccount::answered(CallId call)
{
    end(call, true);
}

void UpstreamAccount::givenUp(CallId call)
{
    end(call, false);
}

void UpstreamAccount::end(CallId call, bool answered)
{
    std::erase_if(open_, [call](const Open &item) { return item.call == call; });
    query_.known.erase(call);
    for (Claim &claim : claims_) {
        const bool concerned = claim.among.erase(call) > 0;
        // One that was given up may be among the lost ones; an answer may have been made before the count.
        if (concerned && claim.lost > 0 && (!answered || !claim.settled)) {
            --claim.lost;
        }
    }
    std::erase_if(claims_, [](const Claim &claim) { return claim.lost == 0; });
}

void UpstreamAccount::asked(TimePoint now)
{
    query_ = {};
    query_.at = now;
    query_.mayCount = static_cast<std::uint32_t>(open_.size());
    for (const Open &item : open_) {
        if (item.written && now - *item.written >= ReadTime) {
            query_.known.insert(item.call);
        }
    }
}

void UpstreamAccount::reported(std::uint32_t held, TimePoint now)
{
    counts_ = counts_ || held > 0;
    others_ = held > query_.mayCount ? held - query_.mayCount : 0;
    settleClaims();
    if (counts_ && query_.known.size() > held) {
        makeClaim(held, now);
    }
}

/// While a question that was asked later went there and back, the answers on their way were read, also in a process
/// that had stood still.
void UpstreamAccount::settleClaims()
{
    for (Claim &claim : claims_) {
        claim.settled = claim.settled || query_.at - claim.made >= SettleTime;
    }
}

void UpstreamAccount::makeClaim(std::uint32_t held, TimePoint now)
{
    if (claims_.size() == ClaimsCap) {
        claims_.erase(claims_.begin());
    }
    const auto known = static_cast<std::uint32_t>(query_.known.size());
    claims_.push_back({std::move(query_.known), known - held, now, false});
    query_.known.clear();
}

std::vector<CallId> UpstreamAccount::lost() const
{
    std::set<CallId> lost;
    for (const Claim &claim : claims_) {
        if (claim.settled && claim.among.size() == claim.lost) {
            lost.insert(claim.among.begin(), claim.among.end());
        }
    }
    return {lost.begin(), lost.end()};
}

}
