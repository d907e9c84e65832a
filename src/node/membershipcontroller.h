#pragma once

#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "membership/noticespreader.h"
#include "node/blackboard.h"
#include "platform/platformclient.h"
#include "rpc/peerclient.h"

namespace Egretpath
{

/// Keeps the view of who is there: reads the platform's list of VMs, takes it from seeds while the platform can't be
/// read, and passes news of starting and leaving nodes on.
///
/// Preconditions: references outlive the controller. Thread safety: none.
class MembershipController
{
public:
    /// @p listChanged is called after another list was taken.
    MembershipController(boost::asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                         PlatformClient &platform, std::function<void()> listChanged);

    /// Do the periodic work until the node ends; spawn each once.
    boost::asio::awaitable<void> runList();
    boost::asio::awaitable<void> runNotices();

    void noticesReceived(const std::vector<MembershipNotice> &notices);
    /// Tells the fleet that this node starts or leaves.
    void announce(VmState state);
    /// The list in use as text, for a node that starts while the platform is away.
    [[nodiscard]] std::string listText() const;

private:
    void takeList(const std::string &text, std::string_view source);
    boost::asio::awaitable<void> askSeeds();
    [[nodiscard]] Duration listInterval();
    boost::asio::awaitable<void> sendNotices(NoticeBatch batch);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    PeerClient &peers_;
    PlatformClient &platform_;
    std::function<void()> listChanged_;
    NoticeSpreader spreader_;
};

}
