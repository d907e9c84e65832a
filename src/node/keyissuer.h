#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/identity.h"
#include "core/verdict.h"
#include "node/blackboard.h"
#include "routing/router.h"
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

    KeyIssuer(Blackboard &board, Router &router, PeerClient &peers);

    /// A key that @p owner accepts. Precondition: @p owner was heard from itself.
    [[nodiscard]] std::string issueFor(const NodeIdentity &owner);
    /// @p count keys for calls of @p service, each bound to the upstream that a call would go to now: the load at the
    /// time of issue decides, since a call with a key can't be sent elsewhere later. An upstream whose incarnation is
    /// not known is asked for it.
    /// Errors: NotRun with NoUpstream or Overloaded, as Router::choose(), also when no upstream answers.
    boost::asio::awaitable<Result<std::vector<std::string>>> issue(ServiceName service, unsigned count);

private:
    boost::asio::awaitable<Incarnation> incarnationOf(UpstreamName upstream, Endpoint node);

    Blackboard &board_;
    Router &router_;
    PeerClient &peers_;
};

}
