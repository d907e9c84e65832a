#include "core/verdict.h"

#include <array>
#include <utility>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 3> VerdictWords{"answered", "not-run", "may-have-run"};

constexpr std::array<std::string_view, 29> ReasonWords{
    "none",
    "bad-request",
    "overloaded",
    "draining",
    "deadline-passed",
    "no-upstream",
    "connect-failed",
    "connection-lost",
    "bad-answer",
    "cancelled",
    "bad-key",
    "key-out-of-memory",
    "key-in-use",
    "answer-not-held",
    "wrong-incarnation",
    "no-table",
    "budget-spent",
    "too-large",
    "shed",
    "declined",
    "no-route",
    "lost-at-upstream",
    "ends-upstreams",
    "outside-regions",
    "zone-evacuated",
    "limited",
    "kept-connection-lost",
    "older-routes",
    "body-timeout",
};

}

std::string_view toString(Verdict verdict)
{
    return VerdictWords.at(static_cast<std::size_t>(verdict));
}

std::string_view toString(Reason reason)
{
    return ReasonWords.at(static_cast<std::size_t>(reason));
}

std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (std::size_t index = 0; index < VerdictWords.size(); ++index) {
        if (VerdictWords[index] == text) {
            return static_cast<Verdict>(index);
        }
    }
    return std::nullopt;
}

Failure notRun(Reason reason, std::string detail, Milliseconds retryAfter)
{
    return Failure{Verdict::NotRun, reason, retryAfter, std::move(detail)};
}

Failure mayHaveRun(Reason reason, std::string detail, Milliseconds retryAfter)
{
    return Failure{Verdict::MayHaveRun, reason, retryAfter, std::move(detail)};
}

}
