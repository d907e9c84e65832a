#include "http/refusalstatus.h"

namespace Egretpath
{

namespace
{

constexpr std::uint16_t BadRequestStatus = 400;
constexpr std::uint16_t ContentTooLargeStatus = 413;
constexpr std::uint16_t HeaderTooLargeStatus = 431;
constexpr std::uint16_t VersionStatus = 505;

}

std::uint16_t refusalStatus(MessageProblem problem, bool areSizesProvisional)
{
    switch (problem) {
    case MessageProblem::HeaderTooLarge:
        return areSizesProvisional ? UnavailableStatus : HeaderTooLargeStatus;
    case MessageProblem::BodyTooLarge:
        return areSizesProvisional ? UnavailableStatus : ContentTooLargeStatus;
    case MessageProblem::VersionNotSupported:
        return VersionStatus;
    case MessageProblem::None:
    case MessageProblem::Malformed:
        break;
    }
    return BadRequestStatus;
}

}
