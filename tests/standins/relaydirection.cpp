#include "standins/relaydirection.h"

#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t PieceBytes = 16384;
/// The most that one direction holds back; the sender is slowed down beyond it.
constexpr std::size_t LargestHeldBytes = std::size_t{16} * 1024 * 1024;

}

RelayDirection::RelayDirection(Socket from, Socket to, std::shared_ptr<const RelayConditions> conditions,
                               bool towardsServer)
    : from_(std::move(from))
    , to_(std::move(to))
    , conditions_(std::move(conditions))
    , towardsServer_(towardsServer)
    , changed_(from_->get_executor(), asio::steady_timer::time_point::max())
{
}

void RelayDirection::start()
{
    const auto self = shared_from_this();
    asio::co_spawn(
        from_->get_executor(), [self] { return self->take(); }, asio::detached);
    asio::co_spawn(
        from_->get_executor(), [self] { return self->deliver(); }, asio::detached);
}

void RelayDirection::wake()
{
    changed_.cancel();
}

bool RelayDirection::held() const
{
    return conditions_->partitioned || (towardsServer_ && conditions_->holdRequests);
}

asio::awaitable<void> RelayDirection::take()
{
    std::vector<char> buffer(PieceBytes);
    boost::system::error_code error;
    while (!error) {
        if (heldBytes_ >= LargestHeldBytes && to_->is_open()) {
            co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, error));
            error = {};
            continue;
        }
        const std::size_t count =
            co_await from_->async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        heldBytes_ += count;
        const TimePoint due = std::chrono::steady_clock::now() + conditions_->delay;
        if (count > 0) {
            pieces_.push_back(Piece{due, std::string(buffer.data(), count)});
        }
        if (error) {
            pieces_.push_back(Piece{due, std::string()});
        }
        wake();
    }
}

asio::awaitable<void> RelayDirection::deliver()
{
    boost::system::error_code error;
    while (!error && to_->is_open()) {
        co_await waitUntilDue();
        if (pieces_.empty()) {
            break; // The connection was reset.
        }
        const std::string bytes = std::move(pieces_.front().bytes);
        pieces_.pop_front();
        if (bytes.empty()) {
            break;
        }
        co_await asio::async_write(*to_, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        heldBytes_ -= bytes.size();
        changed_.cancel();
        if (conditions_->bytesPerSecond > 0) {
            co_await sleepFor(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(bytes.size()) / static_cast<double>(conditions_->bytesPerSecond))));
        }
    }
    to_->shutdown(tcp::socket::shutdown_send, error);
}

asio::awaitable<void> RelayDirection::waitUntilDue()
{
    boost::system::error_code ignored;
    while (to_->is_open()) {
        const bool waiting = pieces_.empty() || held();
        if (!waiting && pieces_.front().due <= std::chrono::steady_clock::now()) {
            // An expired time would make take() spin while a slow receiver holds the next write up.
            changed_.expires_at(TimePoint::max());
            co_return;
        }
        changed_.expires_at(waiting ? TimePoint::max() : pieces_.front().due);
        co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    pieces_.clear();
}

}
