#include "node/node.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include "core/currenttime.h"
#include "core/systemseed.h"
#include "http/httpserver.h"
#include "node/blackboard.h"
#include "node/callerresponse.h"
#include "node/healthcontroller.h"
#include "node/ingresscontroller.h"
#include "node/membershipcontroller.h"
#include "node/peerdispatcher.h"
#include "node/probecontroller.h"
#include "node/statuspage.h"
#include "node/tablecontroller.h"
#include "node/vmlistcontroller.h"
#include "rpc/peerserver.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint64_t LargestBody = 1ULL << 32U;
constexpr std::size_t OperatorConnections = 64;
constexpr Milliseconds DrainStep{20};
/// How long a leaving node goes on to take calls of callers, while its notices and refusals spread.
constexpr Milliseconds NoticeTime{1000};
constexpr Milliseconds FlushTime{200};
constexpr Milliseconds IdleSweep{10'000};
constexpr Milliseconds PeerIdleTime{60'000};

HttpLimits callerLimits(const LimitSettings &settings)
{
    HttpLimits limits;
    limits.headerBytes = static_cast<std::uint32_t>(settings.header.value());
    // The table's body_cap of each service is the limit that counts; IngressCall keeps it.
    limits.bodyBytes = LargestBody;
    limits.connections = settings.connections;
    limits.idleTime = settings.idle;
    // The listener refuses before it knows of a key, under which an earlier request may have run.
    const Failure refusal = mayHaveRun(Reason::BadRequest);
    limits.refusalHeaders.add("Egretpath-Verdict", std::string(toString(refusal.verdict)));
    limits.refusalHeaders.add("Egretpath-Reason", std::string(toString(refusal.reason)));
    return limits;
}

HttpLimits operatorLimits()
{
    HttpLimits limits;
    limits.connections = OperatorConnections;
    limits.bodyBytes = 0;
    return limits;
}

}

class Node::Implementation
{
public:
    Implementation(asio::io_context &context, const NodeSettings &settings)
        : context_(context)
        , executor_(context.get_executor())
        , board_(settings, drawIncarnation(), settings.random.seed.value_or(systemSeed()))
        , peers_(context, board_.self)
        , platform_(executor_, board_.settings.platform.address)
        , egress_(executor_, board_)
        , ingress_(executor_, board_, egress_, peers_)
        , tables_(executor_, board_, peers_, platform_, [this] { tableChanged(); })
        , membership_(executor_, board_, peers_)
        , lists_(executor_, board_, peers_, platform_, [this] { listChanged(); })
        , health_(executor_, board_, [this] { drainChanged(); })
        , probes_(executor_, board_, peers_)
        , status_(board_, egress_, ingress_, tables_, lists_, probes_, peers_, platform_)
        , dispatcher_(board_, egress_, tables_, membership_, lists_)
        , peerServer_(context, dispatcher_, board_.settings.limits.connections)
        , callers_(executor_, callerLimits(board_.settings.limits),
                   [this](HttpExchange &exchange) { return ingress_.serve(exchange); })
        , operators_(executor_, operatorLimits(), [this](HttpExchange &exchange) { return serveOperator(exchange); })
        , drainTimer_(executor_)
    {
    }

    Result<void> start()
    {
        try {
            peerServer_.listen(board_.settings.listen.peers);
        } catch (const boost::system::system_error &error) {
            return notRun(Reason::ConnectFailed, board_.settings.listen.peers.value() + ": " + error.what());
        }
        if (auto listening = callers_.listen(board_.settings.listen.callers); !listening) {
            return listening.error();
        }
        if (auto listening = operators_.listen(board_.settings.listen.operators); !listening) {
            return listening.error();
        }
        spawnWork();
        logStart();
        return boost::outcome_v2::success();
    }

    void stop()
    {
        if (std::exchange(board_.leaving.stopRequested, true)) {
            return;
        }
        board_.log.info(StructuredLine("stop").add("state", "requested"));
        membership_.announce(VmState::Leaving);
        asio::co_spawn(executor_, drain(), asio::detached);
    }

private:
    void spawnWork()
    {
        asio::co_spawn(executor_, tables_.run(), asio::detached);
        asio::co_spawn(executor_, lists_.run(), asio::detached);
        asio::co_spawn(executor_, membership_.run(), asio::detached);
        asio::co_spawn(executor_, health_.run(), asio::detached);
        asio::co_spawn(executor_, probes_.run(), asio::detached);
        asio::co_spawn(executor_, sweepIdle(), asio::detached);
        membership_.announce(VmState::Live);
    }

    void logStart()
    {
        StructuredLine line("start");
        line.add("upstream", board_.self.upstream.value()).add("incarnation", board_.self.incarnation.value());
        line.add("region", board_.location.region.value()).add("zone", board_.location.zone.value());
        line.add("callers", board_.settings.listen.callers.value());
        line.add("peers", board_.settings.listen.peers.value());
        board_.log.info(line);
    }

    void tableChanged()
    {
        egress_.tableChanged();
        probes_.tableChanged();
        forgetRemoved();
        lastTable_ = board_.table;
    }

    /// Records of upstreams that the table no longer has would pile up over the life of the node.
    void forgetRemoved()
    {
        if (!lastTable_) {
            return;
        }
        for (const UpstreamPolicy &policy : lastTable_->upstreams()) {
            if (board_.table->upstream(policy.upstream) == nullptr) {
                board_.load.forget(policy.upstream);
            }
        }
    }

    void listChanged()
    {
        tables_.directoryChanged();
        membership_.directoryChanged();
    }

    void drainChanged()
    {
        if (board_.leaving.upstreamDrains) {
            membership_.announce(VmState::Leaving);
        }
    }

    asio::awaitable<void> serveOperator(HttpExchange &exchange)
    {
        const std::string &target = exchange.head().target;
        HttpResponseHead head;
        std::string body;
        if (target == "/metrics") {
            head.headers.add("Content-Type", "text/plain; version=0.0.4");
            body = status_.metrics();
        } else if (target == "/status") {
            head.headers.add("Content-Type", "application/json");
            body = status_.json();
        } else {
            head.status = 404;
            body = "there are /metrics and /status\n";
        }
        [[maybe_unused]] const Result<void> sent = co_await exchange.respond(std::move(head), std::move(body));
    }

    asio::awaitable<void> sweepIdle()
    {
        asio::steady_timer timer(executor_);
        while (true) {
            timer.expires_after(IdleSweep);
            co_await timer.async_wait(asio::use_awaitable);
            peers_.closeIdle(currentTime(), PeerIdleTime);
        }
    }

    asio::awaitable<void> drain()
    {
        const TimePoint limit = currentTime() + board_.settings.drain.limit;
        const TimePoint noticed = currentTime() + NoticeTime;
        co_await waitUntil([noticed] { return currentTime() >= noticed; }, limit);
        callers_.stopAccepting();
        co_await waitUntil([this] { return isIdle(); }, limit);
        // The last answers are with the kernel; a process that ended now could reset connections under them.
        const TimePoint flushed = currentTime() + FlushTime;
        co_await waitUntil([flushed] { return currentTime() >= flushed; }, flushed);
        board_.log.info(StructuredLine("stop").add("state", isIdle() ? "drained" : "limit-reached"));
        callers_.closeAll();
        context_.stop();
    }

    template<typename Condition>
    asio::awaitable<void> waitUntil(Condition condition, TimePoint limit)
    {
        while (!condition() && currentTime() < limit) {
            drainTimer_.expires_after(DrainStep);
            co_await drainTimer_.async_wait(asio::use_awaitable);
        }
    }

    [[nodiscard]] bool isIdle() const
    {
        return egress_.isIdle() && ingress_.openCalls() == 0 && callers_.connectionCount() == 0;
    }

    asio::io_context &context_;
    asio::any_io_executor executor_;
    Blackboard board_;
    PeerClient peers_;
    PlatformClient platform_;
    EgressController egress_;
    IngressController ingress_;
    TableController tables_;
    MembershipController membership_;
    VmListController lists_;
    HealthController health_;
    ProbeController probes_;
    StatusPage status_;
    PeerDispatcher dispatcher_;
    PeerServer peerServer_;
    HttpServer callers_;
    HttpServer operators_;
    asio::steady_timer drainTimer_;
    TablePointer lastTable_;
};

Node::Node(asio::io_context &context, const NodeSettings &settings)
    : implementation_(std::make_unique<Implementation>(context, settings))
{
}

Node::~Node() = default;

Result<void> Node::start()
{
    return implementation_->start();
}

void Node::stop()
{
    implementation_->stop();
}

}
