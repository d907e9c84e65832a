#include "quarantine/recentanswers.h"

#include "core/digest.h"

namespace Egretpath
{

namespace
{

/// Time for which an answer is remembered.
constexpr std::chrono::seconds Lifetime{30};

}

void RecentAnswers::record(const RequestContent &request, TimePoint now)
{
    const std::uint64_t hash = hashOf(request);
    answers_[hash % SlotCount] = {hash, now};
}

bool RecentAnswers::contains(const RequestContent &request, TimePoint now) const
{
    const std::uint64_t hash = hashOf(request);
    const Answer &answer = answers_[hash % SlotCount];
    return answer.hash == hash && now - answer.answeredAt < Lifetime;
}

std::uint64_t RecentAnswers::hashOf(const RequestContent &request) const
{
    std::uint64_t hash = stableHash(request.method, seed_);
    hash = stableHash(request.host, hash);
    hash = stableHash(request.target, hash);
    return stableHash(request.body, hash);
}

}
