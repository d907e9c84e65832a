#include "quarantine/recentanswers.h"

#include "core/digest.h"

namespace Egretpath
{

namespace
{

constexpr std::chrono::seconds Lifetime{30};

}

void RecentAnswers::record(const RequestContent &request, TimePoint now)
{
    const std::uint64_t name = nameOf(request);
    answers_[name % Places] = {name, now};
}

bool RecentAnswers::contains(const RequestContent &request, TimePoint now) const
{
    const std::uint64_t name = nameOf(request);
    const Answer &answer = answers_[name % Places];
    return answer.name == name && now - answer.at < Lifetime;
}

std::uint64_t RecentAnswers::nameOf(const RequestContent &request) const
{
    std::uint64_t name = stableHash(request.method, seed_);
    name = stableHash(request.host, name);
    name = stableHash(request.target, name);
    return stableHash(request.body, name);
}

}
