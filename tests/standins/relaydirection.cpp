#include "standins/relaydirection.h"

#include <algorithm>
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

constexpr std::size_t ReadBytes = 16384;
/// On a link of limited bandwidth bytes arrive steadily: in so many pieces a second.
constexpr std::uint64_t PiecesPerSecond = 20;
constexpr std::size_t MinPieceBytes = 512;
/// Maximum number of bytes that one direction holds back. Beyond it, nothing more is read, so that the sender slows
/// down.
constexpr std::size_t MaxBufferedBytes = std::size_t{16} * 1024 * 1024;

std::size_t pieceBytes(const RelayConditions &conditions)
{
    if (conditions.bytesPerSecond == 0) {
        return ReadBytes;
    }
    return std::clamp<std::size_t>(conditions.bytesPerSecond / PiecesPerSecond, MinPieceBytes, ReadBytes);
}

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
        from_->get_executor(), [self] { return self->readLoop(); }, asio::detached);
    asio::co_spawn(
        from_->get_executor(), [self] { return self->writeLoop(); }, asio::detached);
}

void RelayDirection::wake()
{
    changed_.cancel();
}

bool RelayDirection::isHeld() const
{
    return conditions_->partitioned || (towardsServer_ && conditions_->holdRequests);
}

asio::awaitable<void> RelayDirection::readLoop()
{
    std::vector<char> buffer(ReadBytes);
    boost::system::error_code error;
    while (!error) {
        if (bufferedBytes_ >= MaxBufferedBytes && to_->is_open()) {
            co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, error));
            error = {};
            continue;
        }
        const std::size_t count = co_await from_->async_read_some(asio::buffer(buffer, pieceBytes(*conditions_)),
                                                                  asio::redirect_error(asio::use_awaitable, error));
        bufferedBytes_ += count;
        const TimePoint due = std::chrono::steady_clock::now() + conditions_->delay;
        if (count > 0) {
            chunks_.push_back(Chunk{due, std::string(buffer.data(), count)});
        }
        if (error) {
            chunks_.push_back(Chunk{due, std::string()});
        }
        wake();
    }
}

asio::awaitable<void> RelayDirection::writeLoop()
{
    boost::system::error_code error;
    while (!error && to_->is_open()) {
        co_await waitUntilDue();
        if (chunks_.empty()) {
            break; // The connection was reset.
        }
        const std::string bytes = std::move(chunks_.front().bytes);
        chunks_.pop_front();
        if (bytes.empty()) {
            break;
        }
        co_await asio::async_write(*to_, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        bufferedBytes_ -= bytes.size();
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
        const bool waiting = chunks_.empty() || isHeld();
        if (!waiting && chunks_.front().due <= std::chrono::steady_clock::now()) {
            // With an expiry in the past, readLoop() would spin while a slow receiver delays the next write.
            changed_.expires_at(TimePoint::max());
            co_return;
        }
        changed_.expires_at(waiting ? TimePoint::max() : chunks_.front().due);
        co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    chunks_.clear();
}
}
