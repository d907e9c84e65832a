#include "node/exchangedriver.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds RequestLimit{1000};
constexpr Milliseconds WatchTime{20'000};

}

ExchangeDriver::ExchangeDriver(asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                               PlatformClient &platform, TableStore &store, ExchangeSource &source,
                               ExchangeDriverSettings settings)
    : executor_(std::move(executor))
    , board_(board)
    , peers_(peers)
    , platform_(platform)
    , store_(store)
    , source_(source)
    , subject_(settings.subject)
    , key_(std::move(settings.key))
    , exchange_(settings.exchange, board.self.upstream, board.location, store, board.random(), currentTime())
    , election_(settings.readers, board.self.upstream, board.random(), currentTime())
{
}

void ExchangeDriver::step(TimePoint now)
{
    if (now >= exchange_.nextAt()) {
        send(exchange_.tick(now));
    }
    stepReads(now);
    source_.storeChanged();
}

void ExchangeDriver::directoryChanged()
{
    exchange_.setDirectory(board_.directory);
    election_.setDirectory(board_.directory);
}

void ExchangeDriver::poll()
{
    if (!std::exchange(polling_, true)) {
        asio::co_spawn(executor_, readValue(), asio::detached);
    }
}

void ExchangeDriver::send(ExchangeRequests requests)
{
    for (OutgoingPush &outgoing : requests.pushes) {
        asio::co_spawn(executor_, push(std::move(outgoing)), asio::detached);
    }
    for (OutgoingPull &outgoing : requests.pulls) {
        asio::co_spawn(executor_, pull(std::move(outgoing)), asio::detached);
    }
}

TableSummary ExchangeDriver::pushReceived(const UpstreamName &sender, const PushChange &push)
{
    TableExchange::PushResult result = exchange_.pushReceived(recordOf(sender), push, currentTime());
    send(std::move(result.requests));
    source_.storeChanged();
    return result.answer;
}

PullAnswer ExchangeDriver::pullReceived(const UpstreamName &sender, const PullRequest &pull)
{
    return exchange_.pullReceived(recordOf(sender).location, pull, currentTime());
}

VmRecord ExchangeDriver::recordOf(const UpstreamName &upstream) const
{
    const auto instance = board_.membership.instance(upstream, currentTime());
    if (instance) {
        return *instance->record;
    }
    // Not listed yet: nothing can be sent there, and its place is taken for a foreign one.
    VmRecord unknown;
    unknown.upstream = upstream;
    return unknown;
}

std::uint64_t ExchangeDriver::bytes() const
{
    return exchange_.controlBudget().spent().value() + exchange_.wholeBudget().spent().value();
}

void ExchangeDriver::stepReads(TimePoint now)
{
    if (const auto confirmed = exchange_.confirmedAt()) {
        election_.setConfirmedAt(*confirmed);
    }
    const ReadDecision decision = election_.decide(now);
    if (decision.action == ReadAction::Watch && !watching_) {
        watching_ = true;
        asio::co_spawn(executor_, watchValue(), asio::detached);
    } else if (decision.action == ReadAction::Poll) {
        poll();
    }
}

asio::awaitable<void> ExchangeDriver::push(OutgoingPush push)
{
    const TimePoint limit = currentTime() + RequestLimit;
    const auto answer = co_await peers_.pushTable(push.receiver.node, subject_, push.change, limit);
    if (answer) {
        send(exchange_.pushAnswered(push.receiver, answer.value(), currentTime()));
    } else {
        send(exchange_.pushFailed(push, currentTime()));
    }
    source_.storeChanged();
}

asio::awaitable<void> ExchangeDriver::pull(OutgoingPull pull)
{
    const TimePoint sentAt = currentTime();
    const auto answer = co_await peers_.pullTable(pull.receiver.node, subject_, pull.request, sentAt + RequestLimit);
    if (answer) {
        send(exchange_.pullAnswered(pull.receiver, answer.value(), sentAt, currentTime()));
    } else {
        exchange_.pullFailed(pull);
        source_.pullFailed(pull.receiver.upstream);
    }
    source_.storeChanged();
}

asio::awaitable<void> ExchangeDriver::readValue()
{
    const auto value = co_await platform_.read(key_);
    co_await takeValue(value);
    polling_ = false;
}

asio::awaitable<void> ExchangeDriver::watchValue()
{
    if (valueIndex_ == 0) {
        const auto value = co_await platform_.read(key_);
        co_await takeValue(value);
    } else {
        const auto value = co_await platform_.watch(key_, valueIndex_, WatchTime);
        co_await takeValue(value);
    }
    watching_ = false;
}

asio::awaitable<void> ExchangeDriver::takeValue(const PlatformResult<PlatformValue> &value)
{
    if (value) {
        valueIndex_ = value.value().index;
        co_await takeText(value.value().value);
        co_return;
    }
    valueIndex_ = value.error().index;
    if (value.error().problem == PlatformProblem::Absent) {
        source_.valueAbsent();
    }
    readFailed(value.error());
}

asio::awaitable<void> ExchangeDriver::takeText(std::string text)
{
    const TimePoint readAt = currentTime();
    const auto held = store_.currentVersion();
    const SourceReading reading = co_await source_.valueRead(std::move(text));
    if (reading.version) {
        election_.headRead(*reading.version, held, readAt);
    }
    if (reading.failure) {
        readFailed(*reading.failure);
    }
    if (!reading.version) {
        co_return;
    }
    if (reading.loaded) {
        send(exchange_.loaded(held, currentTime()));
    }
    exchange_.headRead(*reading.version, readAt);
    source_.storeChanged();
}

void ExchangeDriver::readFailed(const PlatformFailure &failure)
{
    election_.readFailed(currentTime());
    board_.metrics.count("egretpath_platform_read_failures_total");
    if (board_.log.admitsDecision(currentTime())) {
        StructuredLine line("platform-read-failed");
        line.add("key", key_.value()).add("detail", failure.detail);
        board_.log.warning(line);
    }
}

}
