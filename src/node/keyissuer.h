#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/identity.h"
#include "core/verdict.h"
#include "node/blackboard.h"
#include "rpc/peerclient.h"

namespace Egretpath
{

/// Issues idempotency keys, each bound to one incarnation of one node.
///
/// Preconditions: references outlive the issuer. Thread safety: none.
class KeyIssuer
{
public:
    static constexpr unsigned CountCap = 1000;

    KeyIssuer(Blackboard &board, PeerClient &peers);

    /// A key that @p owner accepts. Precondition: @p owner was heard from itself.
    [[nodiscard]] std::string issueFor(const NodeIdentity &owner);
    /// @p count keys for calls of @p service, spread over its upstreams near here by weight. An upstream whose
    /// incarnation is not known is asked for it.
    /// Errors: NotRun/NoUpstream when no upstream answers.
    boost::asio::awaitable<Result<std::vector<std::string>>> issue(ServiceName service, unsigned count);

private:
    boost::asio::awaitable<Incarnation> incarnationOf(UpstreamName upstream, Endpoint node);

    Blackboard &board_;
    PeerClient &peers_;
};

}
