#include "node/tablecontroller.h"

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

constexpr Milliseconds StepInterval{50};
constexpr Milliseconds RequestLimit{1000};
constexpr Milliseconds WatchTime{20'000};
/// A fetch that brought nothing is asked for again after this time.
constexpr Milliseconds FetchInterval{1000};

TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

StartGateSettings gateSettings(const StartSettings &settings)
{
    StartGateSettings gate;
    gate.sampleSize = settings.quorumSample;
    return gate;
}

ReaderSettings readerSettings(const PlatformSettings &settings)
{
    ReaderSettings reader;
    reader.standbyInterval = settings.pollInterval;
    return reader;
}

}

TableController::TableController(asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                                 PlatformClient &platform, std::function<void()> tableChanged)
    : executor_(std::move(executor))
    , board_(board)
    , peers_(peers)
    , platform_(platform)
    , tableChanged_(std::move(tableChanged))
    , exchange_({}, board.self.upstream, board.location, store_, board.random(), currentTime())
    , gate_(gateSettings(board.settings.start), board.self.upstream, board.random(), currentTime())
    , election_(readerSettings(board.settings.platform), board.self.upstream, board.random(), currentTime())
{
}

asio::awaitable<void> TableController::run()
{
    asio::steady_timer timer(executor_);
    while (true) {
        step();
        timer.expires_after(StepInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void TableController::directoryChanged()
{
    exchange_.setDirectory(board_.directory);
    election_.setDirectory(board_.directory);
    gate_.setDirectory(board_.directory, currentTime());
}

TableSummary TableController::pushReceived(const UpstreamName &sender, const PushChange &push)
{
    TableExchange::PushResult result = exchange_.pushReceived(recordOf(sender), push, currentTime());
    send(std::move(result.requests));
    afterChange();
    return result.answer;
}

PullAnswer TableController::pullReceived(const UpstreamName &sender, const PullRequest &pull)
{
    return exchange_.pullReceived(recordOf(sender).location, pull, currentTime());
}

void TableController::step()
{
    const TimePoint now = currentTime();
    if (startState_ != StartState::Open) {
        stepGate(now);
    }
    if (now >= exchange_.nextAt()) {
        send(exchange_.tick(now));
    }
    stepReads(now);
    afterChange();
}

void TableController::stepGate(TimePoint now)
{
    for (VmRecord &peer : gate_.peersToAsk(now)) {
        asio::co_spawn(executor_, askForSummary(std::move(peer)), asio::detached);
    }
    if (!gateReadDone_ && !polling_) {
        polling_ = true;
        asio::co_spawn(executor_, pollHead(), asio::detached);
    }
    const StartDecision decision = gate_.decide(store_.currentVersion(), now);
    if (decision.state != startState_) {
        startState_ = decision.state;
        board_.log.info(StructuredLine("start-gate").add("state", std::uint64_t(startState_)));
    }
    if (decision.required) {
        exchange_.hear(*decision.required);
    }
    const bool mayFetch = !fetchAskedAt_ || now - *fetchAskedAt_ > FetchInterval;
    if (decision.state == StartState::Fetching && decision.holder && mayFetch) {
        fetchAskedAt_ = now;
        send(exchange_.fetchFrom(recordOf(*decision.holder), now));
    }
    if (startState_ == StartState::Open) {
        exchange_.setInForce(true);
    }
}

void TableController::stepReads(TimePoint now)
{
    if (const auto confirmed = exchange_.confirmedAt()) {
        election_.setConfirmedAt(*confirmed);
    }
    const ReadDecision decision = election_.decide(now);
    if (decision.action == ReadAction::Watch && !watching_) {
        watching_ = true;
        asio::co_spawn(executor_, watchHead(), asio::detached);
    } else if (decision.action == ReadAction::Poll && !polling_) {
        polling_ = true;
        asio::co_spawn(executor_, pollHead(), asio::detached);
    }
}

void TableController::afterChange()
{
    if (startState_ == StartState::Open) {
        putInForce();
    }
}

void TableController::putInForce()
{
    const TablePointer &held = store_.held();
    if (!held || board_.table == held) {
        return;
    }
    // The store only ever moves to a larger version; this check is the last guard of the promise that a table in force
    // never gives way to an older one.
    if (board_.table && held->version() <= board_.table->version()) {
        return;
    }
    board_.table = held;
    StructuredLine line("table-in-force");
    line.add("number", held->number().value()).add("digest", toHex(held->digest()));
    board_.log.info(line);
    board_.metrics.set("egretpath_table_number", "", static_cast<double>(held->number().value()));
    tableChanged_();
}

asio::awaitable<void> TableController::askForSummary(VmRecord peer)
{
    const PullRequest request{store_.currentVersion(), false};
    const auto answer = co_await peers_.pullTable(peer.node, request, currentTime() + RequestLimit);
    if (answer) {
        gate_.peerAnswered(peer.upstream, answer.value().summary, currentTime());
    } else {
        gate_.peerFailed(peer.upstream, currentTime());
    }
}

asio::awaitable<void> TableController::push(OutgoingPush push)
{
    const auto answer = co_await peers_.pushTable(push.receiver.node, push.change, currentTime() + RequestLimit);
    if (answer) {
        send(exchange_.pushAnswered(push.receiver, answer.value(), currentTime()));
    } else {
        send(exchange_.pushFailed(push, currentTime()));
    }
    afterChange();
}

asio::awaitable<void> TableController::pull(OutgoingPull pull)
{
    const TimePoint sentAt = currentTime();
    const auto answer = co_await peers_.pullTable(pull.receiver.node, pull.request, sentAt + RequestLimit);
    if (answer) {
        send(exchange_.pullAnswered(pull.receiver, answer.value(), sentAt, currentTime()));
    } else {
        exchange_.pullFailed(pull);
        gate_.peerFailed(pull.receiver.upstream, currentTime());
    }
    afterChange();
}

asio::awaitable<void> TableController::pollHead()
{
    const auto value = co_await platform_.read(headKey());
    co_await takeHead(value);
    polling_ = false;
}

asio::awaitable<void> TableController::watchHead()
{
    if (headIndex_ == 0) {
        const auto value = co_await platform_.read(headKey());
        co_await takeHead(value);
    } else {
        const auto value = co_await platform_.watch(headKey(), headIndex_, WatchTime);
        co_await takeHead(value);
    }
    watching_ = false;
}

asio::awaitable<void> TableController::takeHead(const PlatformResult<PlatformValue> &value)
{
    if (value) {
        headIndex_ = value.value().index;
        gateReadDone_ = true;
        co_await headRead(value.value().value);
        co_return;
    }
    headIndex_ = value.error().index;
    if (value.error().problem == PlatformProblem::Absent) {
        gate_.platformAnswered(std::nullopt, currentTime());
        gateReadDone_ = true;
    }
    readFailed(value.error());
}

PlatformKey TableController::headKey() const
{
    return PlatformKey(TablePublication::headKey(board_.settings.platform.tablePrefix));
}

asio::awaitable<void> TableController::headRead(std::string text)
{
    const TimePoint readAt = currentTime();
    const auto head = TablePublication::parseHead(text, board_.settings.platform.tablePrefix);
    if (!head) {
        refuse(toString(head.error()));
        co_return;
    }
    const TableVersion version = head.value().version;
    const auto held = store_.currentVersion();
    gate_.platformAnswered(version, readAt);
    election_.headRead(version, held, readAt);
    if ((!held || version > *held) && co_await load(head.value())) {
        send(exchange_.loaded(held, currentTime()));
        refusedTable_.clear();
    }
    exchange_.headRead(version, readAt);
    afterChange();
}

asio::awaitable<bool> TableController::load(TableHead head)
{
    const std::string &prefix = board_.settings.platform.tablePrefix;
    TableParts parts;
    if (store_.held()) {
        // Parts that did not change are made again from the table held instead of read.
        auto split = TablePublication::split(*store_.held());
        if (split) {
            parts = std::move(split).value().parts;
        }
    }
    for (const Digest &part : TablePublication::missingParts(head, parts)) {
        const auto value = co_await platform_.read(PlatformKey(TablePublication::partKey(prefix, part)));
        if (!value) {
            readFailed(value.error());
            co_return false;
        }
        parts.emplace(part, value.value().value);
    }
    auto table = TablePublication::assemble(head, parts, prefix);
    if (!table) {
        refuse(toString(table.error()));
        co_return false;
    }
    co_return store_.load(std::move(table).value());
}

void TableController::readFailed(const PlatformFailure &failure)
{
    election_.readFailed(currentTime());
    board_.metrics.count("egretpath_platform_read_failures_total");
    if (board_.log.admitsDecision(currentTime())) {
        board_.log.warning(StructuredLine("platform-read-failed").add("detail", failure.detail));
    }
}

void TableController::send(ExchangeRequests requests)
{
    for (OutgoingPush &outgoing : requests.pushes) {
        asio::co_spawn(executor_, push(std::move(outgoing)), asio::detached);
    }
    for (OutgoingPull &outgoing : requests.pulls) {
        asio::co_spawn(executor_, pull(std::move(outgoing)), asio::detached);
    }
}

void TableController::refuse(std::string why)
{
    if (why == refusedTable_) {
        return;
    }
    refusedTable_ = std::move(why);
    board_.metrics.count("egretpath_tables_refused_total");
    board_.log.error(StructuredLine("table-refused").add("problems", refusedTable_));
}

VmRecord TableController::recordOf(const UpstreamName &sender) const
{
    const auto instance = board_.membership.instance(sender, currentTime());
    if (instance) {
        return *instance->record;
    }
    // Not listed yet: nothing can be sent there, and its place is taken for a foreign one.
    VmRecord unknown;
    unknown.upstream = sender;
    return unknown;
}

}
