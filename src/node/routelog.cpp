#include "node/routelog.h"

#include <string>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

std::string alternativesOf(const Choice &choice, const CandidateSet &set)
{
    std::string text;
    for (std::size_t index = 0; index < choice.alternativeCount; ++index) {
        const Alternative &alternative = choice.alternatives.at(index);
        text.append(text.empty() ? "" : ",");
        text.append(set.candidates[alternative.candidate].upstream.value()).append(":");
        text.append(std::to_string(static_cast<std::int64_t>(alternative.score)));
    }
    return text;
}

}

RouteLog::RouteLog(Blackboard &board, RequestId request, ServiceName service)
    : board_(board)
    , request_(std::move(request))
    , service_(std::move(service))
{
}

void RouteLog::route(const Choice &choice, const CandidateSet &set, std::size_t tryNumber)
{
    if (!board_.log.admitsDecision(currentTime())) {
        return;
    }
    StructuredLine line("route");
    line.add("request", request_.value()).add("try", std::uint64_t{tryNumber});
    line.add("service", service_.value()).add("chosen", choice.upstream.value());
    line.add("why", toString(choice.reason)).add("link", toString(choice.link));
    line.add("score", choice.score).add("expected_us", choice.expectedMicroseconds);
    line.add("considered", std::uint64_t{choice.considered}).add("alternatives", alternativesOf(choice, set));
    board_.log.decision(line);
}

void RouteLog::owner(const KeyTarget &target)
{
    if (!board_.log.admitsDecision(currentTime())) {
        return;
    }
    StructuredLine line("route");
    line.add("request", request_.value()).add("service", service_.value());
    line.add("chosen", target.upstream.value()).add("why", "owner-of-key");
    board_.log.decision(line);
}

void RouteLog::retry(const UpstreamName &upstream, const Failure &failure, RetryDecision decision)
{
    if (!board_.log.admitsDecision(currentTime())) {
        return;
    }
    StructuredLine line("retry");
    line.add("request", request_.value()).add("after", upstream.value());
    line.add("verdict", toString(failure.verdict)).add("reason", toString(failure.reason));
    line.add("decision", toString(decision));
    board_.log.decision(line);
}

}
