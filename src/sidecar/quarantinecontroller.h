#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "egress/upstreamexitmonitor.h"
#include "quarantine/quarantinespread.h"
#include "quarantine/upstreamexits.h"
#include "rpc/peerclient.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// Tells other nodes of requests that end upstreams, and learns of them.
///
/// A crash goes to the nodes that join the crashes of its service; a request that is refused from then on goes from
/// node to node. A node that missed it, since it has just started or was cut off, learns with the next answer of any
/// node that refuses something else than it does, to a call or to the question for news. Thread safety: none.
/// Precondition: references outlive the controller.
class QuarantineController
{
public:
    /// @p changed is called when requests are refused that were not before.
    QuarantineController(boost::asio::any_io_executor executor, SidecarState &state, PeerClient &peers,
                         std::function<void()> changed);

    void start();
    /// The settings were read again.
    void settingsChanged();
    /// The upstream beside this node has ended with @p held under way.
    void upstreamExited(UpstreamCrashId crash, const std::vector<HeldRequest> &held);
    /// See PeerService::quarantine().
    [[nodiscard]] QuarantineUpdate answer(const QuarantineUpdate &update);
    /// @p peer has said in an answer which requests it refuses.
    void recordDigest(const Endpoint &peer, QuarantineDigest digest);
    /// The requests that are refused, for operators: one line each.
    [[nodiscard]] std::string page() const;

private:
    /// Tells @p node, several times if it does not answer, and takes what it knows more.
    boost::asio::awaitable<void> tell(Endpoint node, std::vector<SuspectedRequest> requests);
    void tellKeepers(const std::vector<SuspectedRequest> &known);
    /// Takes what @p from says; passes on what is news.
    void take(const std::vector<SuspectedRequest> &told, const std::string &from);
    void noteRefused(const std::vector<SuspectedRequest> &refused, const std::string &from);
    void passOn(const std::vector<SuspectedRequest> &refused);
    boost::asio::awaitable<void> passOnAt(TimePoint due);
    boost::asio::awaitable<void> exchange(Endpoint peer);
    boost::asio::awaitable<void> expireOldOnes();
    [[nodiscard]] QuarantineUpdate updateOf(std::vector<SuspectedRequest> requests);

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    PeerClient &peers_;
    std::function<void()> changed_;
    QuarantineSpread spread_;
    UpstreamExits exits_;
    bool exchanging_ = false;
    TimePoint nextExchange_;
    Duration exchangePause_;
};

}
