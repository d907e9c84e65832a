#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/identity.h"
#include "http/httpexchange.h"
#include "standins/querytarget.h"
#include "standins/servicetime.h"
#include "standins/standinhistory.h"

namespace Egretpath
{

struct StandinUpstreamOptions
{
    std::string name = "upstream";
    std::string historyFile;
    std::size_t slots = 6;
    /// Calls that may wait for a slot; the next is shed.
    std::size_t queue = 12;
    std::uint64_t seed = 1;
    /// How old the health and load reports are.
    Duration reportLag = Milliseconds(1000);
    ServiceTimeOptions serviceTime;
};

/// Runs calls like a back end service: a few at once, each for a drawn time, until the caller goes away or its deadline
/// passes. See docs/standins.md. Thread safety: none.
class StandinUpstream
{
public:
    StandinUpstream(boost::asio::any_io_executor executor, StandinUpstreamOptions options);

    [[nodiscard]] boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    struct Counts
    {
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t shed = 0;
    };

    /// How the stand-in misbehaves; set through the control endpoint.
    struct Faults
    {
        bool failFast = false;
        bool truncate = false;
        bool lie = false;
        /// Goes on to run the calls that arrive while it drains; only its reports say that it leaves.
        bool runsWhileDraining = false;
    };

    struct Report
    {
        bool draining = false;
        std::size_t inFlight = 0;
        std::size_t queued = 0;
    };

    class Slot;

    [[nodiscard]] boost::asio::awaitable<void> run(HttpExchange &exchange, const QueryTarget &target);
    [[nodiscard]] boost::asio::awaitable<void> runInSlot(HttpExchange &exchange, const QueryTarget &target,
                                                         std::string body, TimePoint deadline);
    [[nodiscard]] boost::asio::awaitable<void> answer(HttpExchange &exchange, const QueryTarget &target,
                                                      std::string body);
    [[nodiscard]] boost::asio::awaitable<bool> waitForSlot(HttpExchange &exchange, TimePoint deadline);
    [[nodiscard]] boost::asio::awaitable<void> shed(HttpExchange &exchange, std::string cause);
    [[nodiscard]] boost::asio::awaitable<void> control(HttpExchange &exchange, const QueryTarget &target);
    [[nodiscard]] boost::asio::awaitable<void> report(HttpExchange &exchange, bool health);
    [[nodiscard]] boost::asio::awaitable<void> refreshReport();
    [[nodiscard]] std::string countsText() const;
    void freeSlot();

    boost::asio::any_io_executor executor_;
    StandinUpstreamOptions options_;
    NodeIdentity identity_;
    StandinHistory history_;
    ServiceTime serviceTime_;
    std::optional<TimePoint> leavingSince_;
    Faults faults_;
    Counts counts_;
    Report reported_;
    std::size_t running_ = 0;
    /// One timer for each call that waits for a slot, the first one first; cancelled when its turn comes.
    std::list<boost::asio::steady_timer *> waiting_;
};

}
