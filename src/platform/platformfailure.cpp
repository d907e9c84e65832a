#include "platform/platformfailure.h"

#include <array>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 6> ProblemWords{
    "unreachable", "timed-out", "absent", "throttled", "too-large", "bad-answer",
};

}

std::string_view toString(PlatformProblem problem)
{
    return ProblemWords.at(static_cast<std::size_t>(problem));
}

}
