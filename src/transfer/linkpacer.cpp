#include "transfer/linkpacer.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Bytes of a message in addition to its body: header fields, framing, and the headers of packets.
constexpr std::uint64_t MessageOverhead = 600;
/// A longer backlog is logged, at most once in each interval.
constexpr Milliseconds LoggedBacklog{100};
constexpr Milliseconds LogInterval{1000};

}

/// The scheduler with its timer, shared by the pacer and its transfers.
class LinkPacerState
{
public:
    LinkPacerState(asio::any_io_executor executor, const LinkSchedulerSettings &settings, EventLog &log,
                   Metrics &metrics)
        : executor_(std::move(executor))
        , scheduler_(settings)
        , log_(log)
        , metrics_(metrics)
        , timer_(executor_, [this] { startDueChunks(); })
    {
    }

    [[nodiscard]] const asio::any_io_executor &executor() const { return executor_; }
    [[nodiscard]] const LinkScheduler &scheduler() const { return scheduler_; }

    [[nodiscard]] TransferId open(PacedTransfer &transfer, std::uint8_t priority)
    {
        const TransferId id = scheduler_.open(priority);
        transfers_.emplace(id, &transfer);
        return id;
    }

    void close(TransferId id)
    {
        if (transfers_.erase(id) > 0) {
            scheduler_.close(id);
        }
    }

    void offer(TransferId id, Bytes size)
    {
        scheduler_.offer(id, size, currentTime());
        startDueChunks();
        logBacklog();
    }

    void onAccepted(TransferId id, Bytes size)
    {
        scheduler_.onAccepted(id);
        metrics_.count("egretpath_link_bulk_bytes_total", {}, size.value());
    }

    void recordShortMessage(Bytes size) { scheduler_.onShortMessage(size, currentTime()); }

private:
    void startDueChunks()
    {
        const TimePoint now = currentTime();
        while (const std::optional<TransferId> due = scheduler_.start(now)) {
            PacedTransfer &transfer = *transfers_.at(*due);
            transfer.hasTurn_ = true;
            transfer.turnSignal_.cancel();
        }
        if (scheduler_.waitingChunks() > 0) {
            timer_.expireAt(scheduler_.nextDue());
        } else {
            timer_.disarm();
        }
    }

    void logBacklog()
    {
        const TimePoint now = currentTime();
        const auto backlog = std::chrono::duration_cast<Milliseconds>(scheduler_.backlog(now));
        if (backlog <= LoggedBacklog || now < nextLog_) {
            return;
        }
        nextLog_ = now + LogInterval;
        StructuredLine line("link");
        line.add("backlog_ms", std::int64_t{backlog.count()});
        line.add("waiting", std::uint64_t{scheduler_.waitingChunks()});
        log_.info(line);
    }

    asio::any_io_executor executor_;
    LinkScheduler scheduler_;
    EventLog &log_;
    Metrics &metrics_;
    /// Each transfer removes itself before it is destroyed.
    std::unordered_map<TransferId, PacedTransfer *> transfers_;
    SocketTimer timer_;
    TimePoint nextLog_;
};

PacedTransfer::PacedTransfer(std::shared_ptr<LinkPacerState> pacer, std::uint8_t priority)
    : pacer_(std::move(pacer))
    , id_(pacer_->open(*this, priority))
    , turnSignal_(pacer_->executor(), asio::steady_timer::time_point::max())
{
}

PacedTransfer::~PacedTransfer()
{
    pacer_->close(id_);
}

void PacedTransfer::cancel()
{
    isCancelled_ = true;
    pacer_->close(id_);
    turnSignal_.cancel();
}

asio::awaitable<bool> PacedTransfer::write(std::string data, ChunkWriter writer)
{
    const auto self = shared_from_this();
    for (std::size_t begin = 0; begin < data.size(); begin += MaxChunkBytes) {
        std::string chunk = data.substr(begin, MaxChunkBytes);
        const Bytes size(chunk.size());
        const bool hasTurn = co_await waitForTurn(size);
        if (!hasTurn) {
            co_return false;
        }
        const bool isAccepted = co_await writer(std::move(chunk));
        if (!isAccepted) {
            cancel();
            co_return false;
        }
        pacer_->onAccepted(id_, size);
    }
    co_return !isCancelled_;
}

asio::awaitable<bool> PacedTransfer::waitForTurn(Bytes size)
{
    if (isCancelled_) {
        co_return false;
    }
    hasTurn_ = false;
    pacer_->offer(id_, size);
    while (!hasTurn_ && !isCancelled_) {
        boost::system::error_code ignored;
        co_await turnSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return !isCancelled_;
}

LinkPacer::LinkPacer(asio::any_io_executor executor, const LinkSchedulerSettings &settings, EventLog &log,
                     Metrics &metrics)
    : state_(std::make_shared<LinkPacerState>(std::move(executor), settings, log, metrics))
{
}

LinkPacer::~LinkPacer() = default;

std::shared_ptr<PacedTransfer> LinkPacer::open(std::uint8_t priority)
{
    return std::make_shared<PacedTransfer>(state_, priority);
}

void LinkPacer::recordShortMessage(Bytes body)
{
    state_->recordShortMessage(Bytes(body.value() + MessageOverhead));
}

Duration LinkPacer::backlog() const
{
    return state_->scheduler().backlog(currentTime());
}

std::size_t LinkPacer::waitingChunks() const
{
    return state_->scheduler().waitingChunks();
}

std::unique_ptr<LinkPacer> makeLinkPacer(const asio::any_io_executor &executor, double megabitsPerSecond, EventLog &log,
                                         Metrics &metrics)
{
    if (megabitsPerSecond <= 0.0) {
        return nullptr;
    }
    LinkSchedulerSettings settings;
    settings.megabitsPerSecond = megabitsPerSecond;
    return std::make_unique<LinkPacer>(executor, settings, log, metrics);
}

}
