#include "node/keyissuer.h"

#include <utility>

#include "core/currenttime.h"
#include "idempotency/idempotencykey.h"
#include "node/candidateset.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds AskLimit{250};

}

KeyIssuer::KeyIssuer(Blackboard &board, Router &router, PeerClient &peers)
    : board_(board)
    , router_(router)
    , peers_(peers)
{
}

std::string KeyIssuer::issueFor(const NodeIdentity &owner)
{
    return issueKey(owner, std::chrono::system_clock::now(), board_.random).text().value();
}

asio::awaitable<Result<std::vector<std::string>>> KeyIssuer::issue(ServiceName service, unsigned count)
{
    const CandidateSet set = candidatesOf(board_, service, currentTime());
    std::vector<UpstreamName> silent;
    std::vector<std::string> keys;
    while (keys.size() < count) {
        const RouteRequest request{set.candidates, silent, set.regionSpill, currentTime()};
        const Result<Choice> choice = router_.choose(request);
        if (!choice && keys.empty()) {
            co_return choice.error();
        }
        if (!choice) {
            break;
        }
        const UpstreamName &upstream = choice.value().upstream;
        const Incarnation incarnation = co_await incarnationOf(upstream, set.nodes[choice.value().candidate]);
        if (incarnation == Incarnation()) {
            silent.push_back(upstream);
        } else {
            keys.push_back(issueFor({upstream, incarnation}));
        }
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
