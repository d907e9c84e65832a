#include "soak/soakrun.h"

#include <sstream>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// A part counts as hit for so long after a fault.
constexpr Milliseconds SettleTime{3000};
constexpr Milliseconds StartLimit{20'000};
constexpr Milliseconds ReadyPoll{50};
constexpr Milliseconds ProbeLimit{500};
/// The end of a run that is held against recoveredShare.
constexpr Milliseconds RecoveredTime{2500};
/// Answers to the last requests arrive within this time.
constexpr Milliseconds LastAnswers{2500};
constexpr std::size_t ProbeAnswerBytes = 4096;

Random generator(std::uint64_t seed, std::uint64_t use)
{
    return Random(seed * 1'000'003 + use);
}

}

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options))
    , random_(generator(options_.deployment.seed, 0))
    , disturbances_(SettleTime)
    , stalls_(disturbances_)
    , checker_(options_.bounds, disturbances_, stalls_, versions_)
    , store_(context_.get_executor())
    , operators_(store_, versions_, generator(options_.deployment.seed, 1))
    , deployment_(context_, options_.deployment, store_, checker_)
    , callers_(context_, deployment_, operators_, checker_, generator(options_.deployment.seed, 2))
    , injector_(context_, deployment_, store_, operators_, callers_, disturbances_, checker_, options_.deployment)
    , probes_(context_.get_executor(), HttpPoolLimits())
{
    if (!options_.calm) {
        plan_ = drawFaults(options_.faults, generator(options_.deployment.seed, 3));
    }
}

bool SoakRun::run()
{
    std::exception_ptr thrown;
    asio::co_spawn(context_, play(), [&](std::exception_ptr error) {
        thrown = error;
        context_.stop();
    });
    context_.run();
    deployment_.stop();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    checker_.finish();
    return checker_.violations().empty();
}

asio::awaitable<void> SoakRun::play()
{
    operators_.publishNext();
    deployment_.start([this](NodeNumber node) { return callers_.innerCalls(node); },
                      [this](Member &member) { injector_.upstreamCrashed(member); });
    co_await waitUntilReady();
    asio::co_spawn(context_, watchStalls(), asio::detached);
    const TimePoint start = currentTime();
    const TimePoint end = start + options_.faults.length;
    callers_.start(options_.rate, end);
    for (const PlannedFault &fault : plan_) {
        asio::co_spawn(context_, injectAt(fault, start), asio::detached);
    }
    co_await checkRecovery(end);
    co_await sleepFor(LastAnswers);
}

asio::awaitable<void> SoakRun::waitUntilReady()
{
    const TimePoint limit = currentTime() + StartLimit;
    for (const auto &member : deployment_.members()) {
        while (!co_await isReady(*member)) {
            if (currentTime() > limit) {
                throw std::runtime_error("node " + std::to_string(member->number) + " does not become ready");
            }
            co_await sleepFor(ReadyPoll);
        }
    }
}

asio::awaitable<bool> SoakRun::isReady(const Member &member)
{
    constexpr std::uint16_t OkStatus = 200;
    auto opened = co_await probes_.open(member.ready, currentTime() + ProbeLimit, HttpConnectionChoice::Fresh);
    if (!opened) {
        co_return false;
    }
    HttpRequestHead head("GET", "/v1/readiness");
    (void)co_await opened.value()->sendRequest(std::move(head), std::string());
    const auto answer = co_await opened.value()->readHead();
    (void)co_await opened.value()->readCompleteBody(Bytes(ProbeAnswerBytes));
    co_return answer.has_value() && answer.value().status == OkStatus;
}

asio::awaitable<void> SoakRun::injectAt(PlannedFault fault, TimePoint start)
{
    asio::steady_timer timer(context_, start + fault.at);
    co_await timer.async_wait(asio::use_awaitable);
    co_await injector_.inject(fault);
}

asio::awaitable<void> SoakRun::watchStalls()
{
    while (true) {
        co_await sleepFor(StallWatch::Step);
        stalls_.noteAwake(currentTime());
    }
}

/// When all faults are over, callers are served again and every node is ready.
asio::awaitable<void> SoakRun::checkRecovery(TimePoint end)
{
    asio::steady_timer timer(context_, end - RecoveredTime);
    co_await timer.async_wait(asio::use_awaitable);
    (void)callers_.takeTally();
    timer.expires_at(end);
    co_await timer.async_wait(asio::use_awaitable);
    const SoakCallers::Tally tally = callers_.takeTally();
    recovered_ = tally.attempts > 0 ? static_cast<double>(tally.successes) / static_cast<double>(tally.attempts) : 0.0;
    if (recovered_ < options_.recoveredShare) {
        checker_.violated("all comes back", "a share of " + std::to_string(recovered_) + " succeeds after the faults");
    }
    for (const auto &member : deployment_.members()) {
        if (!co_await isReady(*member)) {
            checker_.violated("all comes back", "node " + std::to_string(member->number) + " is not ready");
        }
    }
}

std::string SoakRun::report() const
{
    std::ostringstream text;
    for (const PlannedFault &fault : plan_) {
        text << "fault " << fault.at.count() << " ms " << toString(fault.kind) << " node " << fault.node << " for "
             << fault.length.count() << " ms\n";
    }
    text << "stalls " << stalls_.stalls() << ", the longest "
         << std::chrono::duration_cast<Milliseconds>(stalls_.longest()).count() << " ms\nrecovered " << recovered_
         << "\nstore-calls " << store_.calls() << '\n'
         << checker_.summary();
    return text.str();
}

}
