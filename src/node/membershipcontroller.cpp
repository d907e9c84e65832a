#include "node/membershipcontroller.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds RequestLimit{1000};
constexpr Milliseconds NoticeStep{50};

}

MembershipController::MembershipController(asio::any_io_executor executor, Blackboard &board, PeerClient &peers)
    : executor_(std::move(executor))
    , board_(board)
    , peers_(peers)
    , spreader_({}, board.self.upstream, board.location, board.membership, board.random())
{
}

asio::awaitable<void> MembershipController::run()
{
    asio::steady_timer timer(executor_);
    while (true) {
        const TimePoint now = currentTime();
        if (now >= spreader_.nextAt()) {
            for (NoticeBatch &batch : spreader_.tick(now)) {
                asio::co_spawn(executor_, sendNotices(std::move(batch)), asio::detached);
            }
        }
        timer.expires_after(NoticeStep);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void MembershipController::noticesReceived(const std::vector<MembershipNotice> &notices)
{
    for (const MembershipNotice &notice : notices) {
        const bool news = board_.membership.noticeReceived(notice, currentTime());
        if (news && board_.log.admitsDecision(currentTime())) {
            StructuredLine line("membership");
            line.add("upstream", notice.upstream.value()).add("incarnation", notice.incarnation.value());
            line.add("state", notice.state == VmState::Leaving ? "leaving" : "live").add("source", "notice");
            board_.log.decision(line);
        }
    }
}

void MembershipController::announce(VmState state)
{
    board_.membership.announce(board_.self.upstream, board_.self.incarnation, state, currentTime());
}

asio::awaitable<void> MembershipController::sendNotices(NoticeBatch batch)
{
    // A lost batch is not sent again: each piece of news goes out in several rounds.
    [[maybe_unused]] const auto sent =
        co_await peers_.notify(batch.receiver.node, std::move(batch.notices), currentTime() + RequestLimit);
}

}
