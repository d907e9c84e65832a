#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpconnectionpool.h"
#include "standins/loadarrivals.h"
#include "standins/loadkeys.h"
#include "standins/loadplan.h"
#include "standins/loadsummary.h"
#include "standins/standinhistory.h"

namespace Egretpath
{

/// Sends the calls of a plan, checks each answer and records what the callers saw. Thread safety: none.
class LoadGenerator
{
public:
    LoadGenerator(boost::asio::any_io_executor executor, LoadPlan plan);

    /// Runs the plan and waits for its last call, which the calls' deadlines bound.
    [[nodiscard]] boost::asio::awaitable<void> run();

    [[nodiscard]] LoadSummary &summary() { return summary_; }

private:
    /// What stays the same over all tries of one call.
    struct Call
    {
        CallKind kind = CallKind::Lookup;
        bool direct = false;
        std::string service;
        std::string key;
        std::string body;
        TimePoint arrival;
        TimePoint deadline;
        /// The ids of the tries so far; an answer to any of them is the caller's own.
        std::vector<std::string> ids;
        /// A try under the present key may have run.
        bool keyMayHaveRun = false;
    };

    [[nodiscard]] boost::asio::awaitable<void> perform(LoadArrivals::Arrival arrival, TimePoint start);
    [[nodiscard]] boost::asio::awaitable<CallOutcome> attempt(Call &call, Endpoint target);
    [[nodiscard]] boost::asio::awaitable<CallOutcome> exchange(Call &call, Endpoint target);
    [[nodiscard]] CallOutcome judge(const Call &call, const HttpResponseHead &head, Result<std::string> body);
    [[nodiscard]] static Milliseconds retryAfterOf(const HttpResponseHead &head);
    void checkAnswer(const Call &call, const HttpResponseHead &head, const std::string &answer);
    [[nodiscard]] Endpoint nextTarget(bool direct);
    [[nodiscard]] std::string bodyOf(CallKind kind);
    [[nodiscard]] HttpRequestHead headOf(const Call &call) const;

    LoadPlan plan_;
    HttpConnectionPool pool_;
    LoadKeys keys_;
    StandinHistory history_;
    LoadSummary summary_;
    std::string uploadContent_;
    std::string runId_;
    std::uint64_t lastCall_ = 0;
    std::size_t lastIngress_ = 0;
    std::size_t lastDirect_ = 0;
    std::size_t lastService_ = 0;
    std::size_t inFlight_ = 0;
};

}
