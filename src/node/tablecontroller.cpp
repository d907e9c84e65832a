#include "node/tablecontroller.h"

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

constexpr Milliseconds StepInterval{50};
constexpr Milliseconds RequestLimit{1000};
/// A fetch that brought nothing is asked for again after this time.
constexpr Milliseconds FetchInterval{1000};
/// The gate waits for the platform's first answer, so a read that failed is tried again soon. With no pause between the
/// tries, a platform that refuses fast would be asked by each starting node at every step.
constexpr Milliseconds GateReadInterval{500};

StartGateSettings gateSettings(const StartSettings &settings)
{
    StartGateSettings gate;
    gate.sampleSize = settings.quorumSample;
    return gate;
}

ExchangeDriverSettings driverSettings(const PlatformSettings &platform)
{
    ExchangeDriverSettings settings;
    settings.key = PlatformKey(TablePublication::headKey(platform.tablePrefix));
    settings.readers.standbyInterval = platform.pollInterval;
    return settings;
}

/// The head under which @p table is published; it tells which parts of a newer one differ.
std::optional<TableHead> headOf(const TablePointer &table)
{
    if (!table) {
        return std::nullopt;
    }
    auto split = TablePublication::split(*table);
    if (!split) {
        return std::nullopt;
    }
    return std::move(split).value().head;
}

}

TableController::TableController(asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                                 PlatformClient &platform, std::function<void()> tableChanged)
    : executor_(executor)
    , board_(board)
    , peers_(peers)
    , platform_(platform)
    , tableChanged_(std::move(tableChanged))
    , driver_(std::move(executor), board, peers, platform, store_, *this, driverSettings(board.settings.platform))
    , gate_(gateSettings(board.settings.start), board.self.upstream, board.random(), currentTime())
{
}

asio::awaitable<void> TableController::run()
{
    asio::steady_timer timer(executor_);
    while (true) {
        const TimePoint now = currentTime();
        if (startState_ != StartState::Open) {
            stepGate(now);
        }
        driver_.step(now);
        timer.expires_after(StepInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void TableController::directoryChanged()
{
    driver_.directoryChanged();
    gate_.setDirectory(board_.directory, currentTime());
}

void TableController::stepGate(TimePoint now)
{
    for (VmRecord &peer : gate_.peersToAsk(now)) {
        asio::co_spawn(executor_, askForSummary(std::move(peer)), asio::detached);
    }
    if (!gateReadDone_ && now >= nextGateReadAt_) {
        nextGateReadAt_ = now + GateReadInterval;
        driver_.poll();
    }
    const StartDecision decision = gate_.decide(store_.currentVersion(), now);
    if (decision.state != startState_) {
        startState_ = decision.state;
        board_.log.info(StructuredLine("start-gate").add("state", std::uint64_t(startState_)));
    }
    if (decision.required) {
        driver_.exchange().hear(*decision.required);
    }
    const bool mayFetch = !fetchAskedAt_ || now - *fetchAskedAt_ > FetchInterval;
    if (decision.state == StartState::Fetching && decision.holder && mayFetch) {
        fetchAskedAt_ = now;
        driver_.send(driver_.exchange().fetchFrom(driver_.recordOf(*decision.holder), now));
    }
    if (startState_ == StartState::Open) {
        driver_.exchange().setInForce(true);
    }
}

void TableController::storeChanged()
{
    if (startState_ == StartState::Open) {
        putInForce();
    }
}

void TableController::pullFailed(const UpstreamName &peer)
{
    gate_.peerFailed(peer, currentTime());
}

void TableController::valueAbsent()
{
    gate_.platformAnswered(std::nullopt, currentTime());
    gateReadDone_ = true;
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
    const TimePoint limit = currentTime() + RequestLimit;
    const auto answer = co_await peers_.pullTable(peer.node, ExchangeSubject::Table, request, limit);
    if (answer) {
        gate_.peerAnswered(peer.upstream, answer.value().summary, currentTime());
    } else {
        gate_.peerFailed(peer.upstream, currentTime());
    }
}

asio::awaitable<SourceReading> TableController::valueRead(std::string value)
{
    gateReadDone_ = true;
    const auto head = TablePublication::parseHead(value, board_.settings.platform.tablePrefix);
    if (!head) {
        refuse(toString(head.error()));
        co_return SourceReading();
    }
    gate_.platformAnswered(head.value().version, currentTime());
    co_return co_await loadIfNewer(head.value());
}

asio::awaitable<SourceReading> TableController::loadIfNewer(TableHead head)
{
    SourceReading reading;
    reading.version = head.version;
    const TablePointer held = store_.held();
    if (held && head.version <= held->version()) {
        co_return reading;
    }
    const std::string &prefix = board_.settings.platform.tablePrefix;
    const std::optional<TableHead> base = headOf(held);
    TableParts parts;
    for (const Digest &part :
         base ? TablePublication::changedParts(*base, head) : TablePublication::missingParts(head, parts)) {
        const auto value = co_await platform_.read(PlatformKey(TablePublication::partKey(prefix, part)));
        if (!value) {
            reading.failure = value.error();
            co_return reading;
        }
        parts.emplace(part, value.value().value);
    }
    auto table = base ? TablePublication::update(*held, *base, head, parts, prefix)
                      : TablePublication::assemble(head, parts, prefix);
    if (!table) {
        refuse(toString(table.error()));
        co_return reading;
    }
    reading.loaded = store_.load(std::move(table).value());
    if (reading.loaded) {
        refusedTable_.clear();
    }
    co_return reading;
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

}
