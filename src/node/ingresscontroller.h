#pragma once

#include <cstdint>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "core/random.h"
#include "http/httpexchange.h"
#include "idempotency/keyrouter.h"
#include "node/blackboard.h"
#include "node/egresscontroller.h"
#include "node/keyissuer.h"
#include "routing/retrybudget.h"
#include "routing/retrypolicy.h"
#include "routing/router.h"
#include "rpc/peerclient.h"

namespace Egretpath
{

/// The ingress role: takes calls from callers, decides where each goes and gives each exactly one answer.
///
/// Preconditions: references outlive the controller and its calls. Thread safety: none.
class IngressController
{
public:
    IngressController(boost::asio::any_io_executor executor, Blackboard &board, EgressController &egress,
                      PeerClient &peers);

    /// Serves one request of a caller; the handler of the callers' HTTP server.
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

    /// Calls that have not ended.
    [[nodiscard]] std::size_t openCalls() const { return openCalls_; }

private:
    friend class IngressCall;

    boost::asio::awaitable<void> serveKeys(HttpExchange &exchange);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    EgressController &egress_;
    PeerClient &peers_;
    Router router_;
    RetryBudget retryBudget_;
    RetryPolicy retryPolicy_;
    KeyRouter keyRouter_;
    KeyIssuer keyIssuer_;
    std::uint64_t lastSequence_ = 0;
    std::size_t openCalls_ = 0;
};

}
