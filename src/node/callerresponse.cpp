#include "node/callerresponse.h"

#include <array>
#include <string>
#include <utility>

#include "node/headernames.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t BadRequestStatus = 400;
constexpr std::uint16_t ConflictStatus = 409;
constexpr std::uint16_t ContentTooLargeStatus = 413;
constexpr std::uint16_t BadGatewayStatus = 502;
constexpr std::uint16_t UnavailableStatus = 503;
constexpr std::uint16_t GatewayTimeoutStatus = 504;

/// Statuses of reasons that have one of their own; all others follow from the verdict.
struct ReasonStatus
{
    Reason reason;
    std::uint16_t status;
};

constexpr std::array<ReasonStatus, 8> ReasonStatuses{{
    {Reason::BadRequest, BadRequestStatus},
    {Reason::BadKey, BadRequestStatus},
    {Reason::TooLarge, ContentTooLargeStatus},
    {Reason::KeyInUse, ConflictStatus},
    {Reason::AnswerNotHeld, ConflictStatus},
    {Reason::KeyOutOfMemory, ConflictStatus},
    {Reason::WrongIncarnation, ConflictStatus},
    {Reason::DeadlinePassed, GatewayTimeoutStatus},
}};

std::string wholeSeconds(Milliseconds duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

}

std::uint16_t statusOf(const Failure &failure)
{
    for (const ReasonStatus &entry : ReasonStatuses) {
        if (entry.reason == failure.reason) {
            return entry.status;
        }
    }
    return failure.verdict == Verdict::NotRun ? UnavailableStatus : BadGatewayStatus;
}

HttpResponseHead failureHead(const Failure &failure)
{
    HttpResponseHead head;
    head.status = statusOf(failure);
    head.headers.add(std::string(HeaderNames::VerdictName), std::string(toString(failure.verdict)));
    head.headers.add(std::string(HeaderNames::ReasonName), std::string(toString(failure.reason)));
    head.headers.add(std::string(HeaderNames::RetryAfter), wholeSeconds(failure.retryAfter));
    head.headers.add(std::string(HeaderNames::RetryAfterMs), std::to_string(failure.retryAfter.count()));
    head.headers.add("Content-Type", "text/plain; charset=utf-8");
    return head;
}

std::string failureBody(const Failure &failure)
{
    std::string body(toString(failure.verdict));
    body.append(": ").append(toString(failure.reason));
    if (!failure.detail.empty()) {
        body.append(": ").append(failure.detail);
    }
    return body.append("\n");
}

asio::awaitable<void> respondFailure(HttpExchange &exchange, Failure failure)
{
    HttpResponseHead head = failureHead(failure);
    // The caller may be gone; there is nobody left to tell.
    [[maybe_unused]] const Result<void> sent = co_await exchange.respond(std::move(head), failureBody(failure));
}

}
