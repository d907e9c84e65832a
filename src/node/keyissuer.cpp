#include "node/keyissuer.h"

#include <algorithm>
#include <utility>

#include "idempotency/idempotencykey.h"
#include "node/candidateset.h"
#include "routing/weighteddraw.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds AskLimit{250};
constexpr Milliseconds NoUpstreamRetryAfter{200};

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

/// Keeps the candidates of the nearest place that has any: calls with a key go to its owner whatever the load, so the
/// owner should be near.
CandidateSet nearest(const CandidateSet &set, const Location &own)
{
    CandidateSet near;
    const auto take = [&](auto &&matches) {
        for (std::size_t index = 0; index < set.candidates.size() && near.candidates.size() < set.candidates.size();
             ++index) {
            if (matches(set.candidates[index].location)) {
                near.candidates.push_back(set.candidates[index]);
                near.nodes.push_back(set.nodes[index]);
            }
        }
    };
    take([&own](const Location &location) { return location == own; });
    if (near.candidates.empty()) {
        take([&own](const Location &location) { return location.region == own.region; });
    }
    return near.candidates.empty() ? set : near;
}

}

KeyIssuer::KeyIssuer(Blackboard &board, PeerClient &peers)
    : board_(board)
    , peers_(peers)
{
}

std::string KeyIssuer::issueFor(const NodeIdentity &owner)
{
    return issueKey(owner, std::chrono::system_clock::now(), board_.random).text().value();
}

asio::awaitable<Result<std::vector<std::string>>> KeyIssuer::issue(ServiceName service, unsigned count)
{
    CandidateSet set = nearest(candidatesOf(board_, service, currentTime()), board_.location);
    std::vector<double> weights;
    for (const Candidate &candidate : set.candidates) {
        weights.push_back(candidate.weight);
    }
    std::vector<std::string> keys;
    while (keys.size() < count
           && std::any_of(weights.begin(), weights.end(), [](double weight) { return weight > 0; })) {
        const std::size_t drawn = drawWeighted(weights, board_.random);
        const UpstreamName &upstream = set.candidates[drawn].upstream;
        const Incarnation incarnation = co_await incarnationOf(upstream, set.nodes[drawn]);
        if (incarnation == Incarnation()) {
            weights[drawn] = 0;
            continue;
        }
        keys.push_back(issueFor({upstream, incarnation}));
    }
    if (keys.empty()) {
        co_return notRun(Reason::NoUpstream, "no upstream of the service answers", NoUpstreamRetryAfter);
    }
    co_return keys;
}

asio::awaitable<Incarnation> KeyIssuer::incarnationOf(UpstreamName upstream, Endpoint node)
{
    if (upstream == board_.self.upstream) {
        co_return board_.self.incarnation;
    }
    if (const Incarnation known = board_.membership.incarnationOf(upstream); known != Incarnation()) {
        co_return known;
    }
    const TimePoint sentAt = currentTime();
    const Result<PeerProbe> probe = co_await peers_.probe(node, sentAt + AskLimit);
    if (!probe || probe.value().identity.upstream != upstream) {
        board_.membership.connectFailed(upstream, currentTime());
        co_return Incarnation();
    }
    board_.membership.answered(upstream, probe.value().identity.incarnation, sentAt, currentTime());
    co_return probe.value().identity.incarnation;
}

}
