#pragma once

#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "membership/noticespreader.h"
#include "node/blackboard.h"
#include "rpc/peerclient.h"

namespace Egretpath
{

/// Passes news of starting and leaving nodes on, and takes what others pass on into the membership view.
///
/// Preconditions: references outlive the controller. Thread safety: none.
class MembershipController
{
public:
    MembershipController(boost::asio::any_io_executor executor, Blackboard &board, PeerClient &peers);

    /// Does the periodic work until the node ends; spawn it once.
    boost::asio::awaitable<void> run();
    /// Another list of VMs is in use.
    void directoryChanged() { spreader_.setDirectory(board_.directory); }

    void noticesReceived(const std::vector<MembershipNotice> &notices);
    /// Tells the fleet that this node starts or leaves.
    void announce(VmState state);

private:
    boost::asio::awaitable<void> sendNotices(NoticeBatch batch);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    PeerClient &peers_;
    NoticeSpreader spreader_;
};

}
