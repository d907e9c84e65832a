#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "egress/upstreamexitmonitor.h"
#include "quarantine/quarantinegossip.h"
#include "quarantine/upstreamexits.h"
#include "rpc/peerclient.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// Shares with other nodes the knowledge of requests that crash upstreams.
///
/// A crash is reported to the collectors of the upstream's service: the nodes that combine all crashes of the service.
/// The fingerprint of a request that is refused from then on is passed on from node to node. A node that missed it,
/// because it has just started or was cut off, learns of it from the next answer of any node that refuses a different
/// set of requests. Both the answer to a call and the answer to a catalog request carry the digest that shows this.
/// Thread safety: none. Precondition: references outlive the controller.
class QuarantineController
{
public:
    /// @p onChanged is called when further requests are refused.
    QuarantineController(boost::asio::any_io_executor executor, SidecarState &state, PeerClient &peerClient,
                         std::function<void()> onChanged);

    void start();
    /// Applies the allowed requests of the current settings. To be called after each reload of the settings.
    void applySettings();
    /// The upstream beside this node exited while it held the requests @p held.
    void upstreamExited(UpstreamCrashId crash, const std::vector<HeldRequest> &held);
    /// See PeerService::quarantine().
    [[nodiscard]] QuarantineUpdate answer(const QuarantineUpdate &update);
    /// Records the digest of refused requests that @p peer reported in an answer.
    void recordDigest(const Endpoint &peer, QuarantineDigest digest);
    /// The refused requests for operators, as CSV: a header line, then one line for each request.
    [[nodiscard]] std::string csvText() const;

private:
    /// Sends @p requests to @p node, several times if it does not answer, and applies the requests in its answer.
    boost::asio::awaitable<void> sendUpdate(Endpoint node, std::vector<SuspectedRequest> requests);
    void reportCrashes(const std::vector<SuspectedRequest> &known);
    /// Applies what @p from reported, and passes on what is new.
    void apply(const std::vector<SuspectedRequest> &received, const std::string &from);
    void recordRefused(const std::vector<SuspectedRequest> &refused, const std::string &from);
    void forward(const std::vector<SuspectedRequest> &refused);
    boost::asio::awaitable<void> forwardAt(TimePoint due);
    boost::asio::awaitable<void> exchange(Endpoint peer);
    boost::asio::awaitable<void> expirePeriodically();
    [[nodiscard]] QuarantineUpdate makeUpdate(std::vector<SuspectedRequest> requests);

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    PeerClient &peerClient_;
    std::function<void()> onChanged_;
    QuarantineGossip gossip_;
    UpstreamExits exits_;
    bool isExchanging_ = false;
    TimePoint nextExchangeAt_;
    Duration exchangeInterval_;
};

}
