#include "node/membershipcontroller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds RequestLimit{1000};
constexpr Milliseconds NoticeStep{50};
/// All nodes together read the list at most this often in a second.
constexpr double FleetReadsPerSecond = 200.0;

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

}

MembershipController::MembershipController(asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                                           PlatformClient &platform, std::function<void()> listChanged)
    : executor_(std::move(executor))
    , board_(board)
    , peers_(peers)
    , platform_(platform)
    , listChanged_(std::move(listChanged))
    , spreader_({}, board.self.upstream, board.location, board.membership, board.random())
{
}

asio::awaitable<void> MembershipController::runList()
{
    asio::steady_timer timer(executor_);
    while (true) {
        const auto value = co_await platform_.read(PlatformKey(board_.settings.platform.vmsKey));
        if (value) {
            takeList(value.value().value, "platform");
        } else if (board_.membership.listVersion() == 0) {
            co_await askSeeds();
        }
        timer.expires_after(listInterval());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> MembershipController::runNotices()
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

std::string MembershipController::listText() const
{
    return printVmList(board_.membership.list());
}

void MembershipController::takeList(const std::string &text, std::string_view source)
{
    VmListParse parse = parseVmList(text);
    if (!parse.list) {
        StructuredLine line("vm-list-refused");
        line.add("source", source).add("line", std::uint64_t{parse.problems.front().line});
        line.add("problem", parse.problems.front().message);
        board_.log.error(line);
        return;
    }
    if (parse.list->version == board_.membership.listVersion()) {
        return;
    }
    if (!board_.membership.applyList(std::move(*parse.list), currentTime())) {
        return;
    }
    board_.directory = std::make_shared<PeerDirectory>(board_.membership.list());
    spreader_.setDirectory(board_.directory);
    StructuredLine line("vm-list");
    line.add("version", board_.membership.listVersion()).add("source", source);
    line.add("vms", std::uint64_t{board_.membership.list().records.size()});
    board_.log.info(line);
    listChanged_();
}

asio::awaitable<void> MembershipController::askSeeds()
{
    for (const Endpoint &seed : board_.settings.peers.seeds) {
        const Result<std::string> list = co_await peers_.vmList(seed, currentTime() + RequestLimit);
        if (list) {
            takeList(list.value(), seed.value());
        }
        if (board_.membership.listVersion() != 0) {
            co_return;
        }
    }
}

Duration MembershipController::listInterval()
{
    const auto fleet = static_cast<double>(board_.membership.list().records.size());
    const auto spread = std::chrono::duration<double>(fleet / FleetReadsPerSecond);
    const Duration least = board_.settings.platform.pollInterval;
    const Duration interval = std::max(least, std::chrono::duration_cast<Duration>(spread));
    // Jittered, so that nodes that started together do not read together.
    std::uniform_real_distribution<double> jitter(0.75, 1.25);
    return std::chrono::duration_cast<Duration>(interval * jitter(board_.random));
}

asio::awaitable<void> MembershipController::sendNotices(NoticeBatch batch)
{
    // A lost batch is not sent again: each piece of news goes out in several rounds.
    [[maybe_unused]] const auto sent =
        co_await peers_.notify(batch.receiver.node, std::move(batch.notices), currentTime() + RequestLimit);
}

}
