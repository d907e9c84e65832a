#include "sidecar/sidecar.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>

#include "answers/heldanswers.h"
#include "core/currenttime.h"
#include "core/systemseed.h"
#include "egress/egressrole.h"
#include "http/httpserver.h"
#include "ingress/ingressrole.h"
#include "routing/link.h"
#include "rpc/peerclient.h"
#include "rpc/peerserver.h"
#include "sidecar/catalogcontroller.h"
#include "sidecar/nodelimits.h"
#include "sidecar/operatorpages.h"
#include "sidecar/peercalls.h"
#include "sidecar/plannedstop.h"
#include "sidecar/quarantinecontroller.h"
#include "sidecar/sidecarstate.h"
#include "transfer/linkpacer.h"
#include "transfer/pacedanswerreceiver.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t MaxPeerConnections = 1500;
constexpr Milliseconds UnusedCheckInterval{10'000};
constexpr Milliseconds MaxPeerIdleTime{60'000};
constexpr Milliseconds StopPollInterval{50};
/// The time in which the callers of requests that the end of the process cuts are told.
constexpr Milliseconds LastAnswersTime{20};

LocalNode localNode(const SidecarState &state)
{
    return {state.self, state.location, state.settings.service, state.settings.peers};
}

}

class Sidecar::Implementation final : public PeerService
{
public:
    Implementation(asio::io_context &context, const SidecarSettings &settings, SidecarPlatform platform,
                   const DecisionSettings &decisions)
        : context_(context)
        , executor_(context.get_executor())
        , platform_(std::move(platform))
        , state_(settings, drawIncarnation(), systemSeed())
        , linkPacer_(makeLinkPacer(executor_, settings.linkMbps, state_.log, state_.metrics))
        , heldAnswers_(std::make_shared<HeldAnswers>(answerLimit(settings), state_.log, state_.metrics))
        , heldMessages_(std::make_shared<HeldMessages>(messageLimit(settings), state_.log, state_.metrics))
        , peerClient_(context)
        , egress_(executor_, egressSettings(settings, decisions), state_.self, state_.location,
                  EgressSources{state_.routes, state_.evacuatedZones, state_.quarantine}, *platform_.upstreams,
                  state_.log, state_.metrics, Random(state_.random()))
        , ingress_(executor_, localNode(state_),
                   IngressSources{state_.routes, state_.directory, state_.evacuatedZones, state_.quarantine},
                   *platform_.callers, egress_, peerClient_, state_.log, state_.metrics, Random(state_.random()),
                   decisions.ingress)
        , peerCalls_(egress_, heldMessages_, linkPacer_.get())
        , catalog_(executor_, state_, *platform_.catalog, peerClient_, decisions, [this] { catalogChanged(); })
        , quarantine_(executor_, state_, peerClient_, [this] { egress_.endQuarantinedRequests(); })
        , operatorPages_(state_, *heldAnswers_, *heldMessages_, catalog_, egress_, ingress_, quarantine_,
                         linkPacer_.get())
        , peerServer_(context, *this, MaxPeerConnections)
        , callerServer_(executor_, callerLimitsBeforeConfig(),
                        [this](HttpExchange &exchange) { return ingress_.serve(exchange); })
        , readinessServer_(executor_, probeLimits(),
                           [this](HttpExchange &exchange) { return serveReadiness(exchange); })
        , operatorServer_(executor_, probeLimits(),
                          [this](HttpExchange &exchange) { return operatorPages_.serve(exchange); })
    {
        egress_.setHeldAnswers(heldAnswers_);
        ingress_.setHeldAnswers(heldAnswers_);
        ingress_.setHeldMessages(heldMessages_);
        applyRetryLimits();
        ingress_.setLinkPrices(state_.settings.linkPrices);
        if (linkPacer_) {
            ingress_.setLinkPacer(linkPacer_.get());
            egress_.setLinkBacklog([this] { return linkPacer_->backlog(); });
        }
        if (decisions.compressesPaidLinks) {
            peerClient_.setPaidLinks([this](const Endpoint &peer) { return isInOtherRegion(peer); });
        }
        ingress_.onOutcome([this](const Endpoint &peer, const CallOutcome &outcome) {
            catalog_.recordVersions(peer, outcome.catalog);
            quarantine_.recordDigest(peer, outcome.quarantine);
        });
        catalog_.onQuarantineDigest(
            [this](const Endpoint &peer, QuarantineDigest digest) { quarantine_.recordDigest(peer, digest); });
        egress_.onUpstreamExit([this](UpstreamCrashId crash, const std::vector<HeldRequest> &held) {
            quarantine_.upstreamExited(crash, held);
        });
        ingress_.setMayLackRoutes([this] { return catalog_.mayLackRoutes(); });
        ingress_.onNoRoutes([this] { catalog_.recordWaitingCaller(); });
        ingress_.onOlderRoutes([this](const Endpoint &peer) { catalog_.takeNewerRoutes(peer); });
    }

    Result<void> start()
    {
        if (auto listening = listenForPeers(); !listening) {
            return listening.error();
        }
        if (auto listening = callerServer_.listen(state_.settings.callers); !listening) {
            return listening.error();
        }
        if (auto listening = readinessServer_.listen(state_.settings.ready); !listening) {
            return listening.error();
        }
        if (!state_.settings.metrics.value().empty()) {
            if (auto listening = operatorServer_.listen(state_.settings.metrics); !listening) {
                return listening.error();
            }
        }
        logStart();
        catalog_.start();
        quarantine_.start();
        asio::co_spawn(executor_, releaseUnused(), asio::detached);
        return boost::outcome_v2::success();
    }

    void reload(const SidecarSettings &settings)
    {
        state_.takeReloaded(settings);
        quarantine_.applySettings();
        applyRetryLimits();
        ingress_.setLinkPrices(state_.settings.linkPrices);
        state_.log.info(StructuredLine("reload").add("seeds", std::uint64_t{settings.seeds.size()}));
    }

    void recordRefusedReload(const SettingsProblems &problems)
    {
        for (const SettingsProblem &problem : problems) {
            state_.log.error(StructuredLine("reload-refused").add("problem", toString(problem)));
        }
    }

    void recordEscapedError(std::string_view error)
    {
        state_.metrics.count("egretpath_escaped_errors_total");
        state_.log.error(StructuredLine("escaped-error").add("what", error));
    }

    void stop()
    {
        if (std::exchange(state_.isStopping, true)) {
            return;
        }
        state_.log.info(
            StructuredLine("stop").add("state", "requested").add("grace_ms", state_.settings.grace.count()));
        callerServer_.disableKeepAlive();
        asio::co_spawn(executor_, runStop(), asio::detached);
    }

    // Implementation of PeerService.
    asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                      std::shared_ptr<Cancellation> cancellation) override
    {
        co_return withVersions(
            co_await peerCalls_.call(std::move(head), std::move(body), std::move(answer), std::move(cancellation)));
    }
    asio::awaitable<CallOutcome> callWithBody(CallHead head, std::shared_ptr<BodySource> body,
                                              std::shared_ptr<AnswerReceiver> answer,
                                              std::shared_ptr<Cancellation> cancellation) override
    {
        co_return withVersions(co_await peerCalls_.callWithBody(std::move(head), std::move(body), std::move(answer),
                                                                std::move(cancellation)));
    }
    PeerProbe probe() override { return {state_.self, egress_.report(RouteName())}; }
    asio::awaitable<Catalog> catalog(CatalogRequest request) override { return catalog_.answer(request); }
    QuarantineUpdate quarantine(const QuarantineUpdate &update) override { return quarantine_.answer(update); }

private:
    [[nodiscard]] CallOutcome withVersions(CallOutcome outcome) const
    {
        outcome.catalog = catalog_.versions();
        outcome.quarantine = state_.quarantine.digest();
        return outcome;
    }

    Result<void> listenForPeers()
    {
        try {
            peerServer_.listen(state_.settings.peers);
            if (!state_.settings.starters.value().empty()) {
                peerServer_.listen(state_.settings.starters);
            }
        } catch (const boost::system::system_error &error) {
            return notRun(Reason::ConnectFailed, state_.settings.peers.value() + ": " + error.what());
        }
        return boost::outcome_v2::success();
    }

    [[nodiscard]] bool isInOtherRegion(const Endpoint &peer) const
    {
        const InstanceRecord *record = state_.directory.findByNode(peer);
        return record != nullptr && linkBetween(state_.location, record->location) == LinkKind::BetweenRegions;
    }

    void logStart()
    {
        StructuredLine line("start");
        line.add("node", state_.settings.name).add("incarnation", state_.self.incarnation.value());
        line.add("service", state_.settings.service.value()).add("zone", state_.location.zone.value());
        line.add("callers", state_.settings.callers.value()).add("peers", state_.settings.peers.value());
        line.add("upstream", state_.settings.upstream.value());
        state_.log.info(line);
    }

    void applyRetryLimits() { ingress_.setRetryLimits({state_.settings.retryRatio, state_.settings.retrySlack}); }

    void catalogChanged()
    {
        state_.directory.namedServicesChanged();
        if (state_.routes) {
            callerServer_.setLimits(callerLimits(state_.routes->limits()));
            if (const ServiceEntry *service = state_.routes->service(state_.settings.service)) {
                egress_.setHealthPath(service->healthPath);
                egress_.setMaxConnections(service->maxConnections);
                egress_.setColdRate(service->coldRate);
            }
        }
        reportReady();
        egress_.setInstanceRecord(state_.directory.findByAddress(state_.settings.upstream));
        egress_.evacuatedZonesChanged();
        ingress_.catalogChanged();
    }

    /// Logs when this node becomes ready for callers for the first time.
    void reportReady()
    {
        if (!state_.isReady() || std::exchange(hasBeenReady_, true)) {
            return;
        }
        const Milliseconds timeToReady = timeSince(startedAt_);
        state_.log.info(StructuredLine("ready").add("after_ms", timeToReady.count()));
        state_.metrics.set("egretpath_ready_after_seconds", {}, std::chrono::duration<double>(timeToReady).count());
    }

    asio::awaitable<void> serveReadiness(HttpExchange &exchange)
    {
        const bool isReadinessPath = exchange.head().target == platform_.callers->readinessPath();
        const HttpResponseHead head(!isReadinessPath ? 404 : state_.isReady() ? 200 : 503);
        [[maybe_unused]] const Result<void> sent = co_await exchange.respond(head, std::string());
    }

    asio::awaitable<void> releaseUnused()
    {
        asio::steady_timer timer(executor_);
        while (true) {
            timer.expires_after(UnusedCheckInterval);
            co_await timer.async_wait(asio::use_awaitable);
            peerClient_.closeIdle(currentTime(), MaxPeerIdleTime);
            heldAnswers_->returnRestOfMemory();
            heldMessages_->returnRestOfMemory();
        }
    }

    [[nodiscard]] StopActivity stopActivity() const
    {
        return {!egress_.isIdle() || ingress_.openRequests() > 0, callerServer_.connectionCount() > 0,
                peerServer_.hasUnsentAnswers()};
    }

    asio::awaitable<void> runStop()
    {
        const TimePoint startedAt = currentTime();
        PlannedStop stop(startedAt, state_.settings.grace);
        // A request that outlasts the process would be cut off. So it is refused at once: its caller is told that the
        // request has not run, and when the next process will have started.
        ingress_.beginStop(stop.answersDue(), stop.servesUntil());
        egress_.beginStop(stop.answersDue());
        asio::steady_timer timer(executor_);
        while (stop.phase() != StopPhase::Ended) {
            timer.expires_at(std::min(currentTime() + StopPollInterval, std::max(stop.end(), currentTime())));
            co_await timer.async_wait(asio::use_awaitable);
            longestStopDelay_ = std::max(longestStopDelay_, currentTime() - timer.expiry());
            while (stop.advance(currentTime(), stopActivity())) {
                enter(stop.phase());
                logStop(toString(stop.phase()), startedAt);
            }
        }
        egress_.logCutRequests();
        logStop(stopActivity().hasRequests ? "grace-over" : "drained", startedAt);
        if (ingress_.openRequests() > 0) {
            ingress_.endRequests();
            timer.expires_after(LastAnswersTime);
            co_await timer.async_wait(asio::use_awaitable);
        }
        context_.stop();
    }

    void logStop(std::string_view state, TimePoint startedAt)
    {
        StructuredLine line("stop");
        line.add("state", state).add("after_ms", timeSince(startedAt).count());
        line.add("egress", egress_.isIdle() ? "idle" : "busy");
        line.add("ingress_requests", std::uint64_t{ingress_.openRequests()});
        line.add("caller_connections", std::uint64_t{callerServer_.connectionCount()});
        line.add("unacknowledged_bytes", std::uint64_t{callerServer_.unacknowledgedBytes()});
        line.add("held_up_ms", std::chrono::duration_cast<Milliseconds>(longestStopDelay_).count());
        state_.log.info(line);
    }

    void enter(StopPhase phase)
    {
        switch (phase) {
        case StopPhase::Draining:
            egress_.startDraining();
            break;
        case StopPhase::Closing:
            // Requests that still arrive on connections which are being closed are refused.
            ingress_.close();
            callerServer_.stopAccepting();
            break;
        case StopPhase::Expiring:
            egress_.refuseAllWaiting();
            break;
        case StopPhase::Leaving:
            // While a request is under way, other nodes may not take their calls for ones that were not run.
            if (const StopActivity activity = stopActivity(); !activity.hasRequests && !activity.hasUnsentAnswers) {
                peerServer_.announceStop();
            }
            break;
        case StopPhase::Serving:
        case StopPhase::Ended:
            break;
        }
    }

    asio::io_context &context_;
    asio::any_io_executor executor_;
    SidecarPlatform platform_;
    SidecarState state_;
    /// Null if the rate of the link is not known.
    std::unique_ptr<LinkPacer> linkPacer_;
    std::shared_ptr<HeldAnswers> heldAnswers_;
    std::shared_ptr<HeldMessages> heldMessages_;
    PeerClient peerClient_;
    EgressRole egress_;
    IngressRole ingress_;
    PeerCalls peerCalls_;
    CatalogController catalog_;
    QuarantineController quarantine_;
    OperatorPages operatorPages_;
    PeerServer peerServer_;
    HttpServer callerServer_;
    HttpServer readinessServer_;
    HttpServer operatorServer_;
    TimePoint startedAt_ = currentTime();
    bool hasBeenReady_ = false;
    /// The longest time for which the event loop was late in a planned stop.
    Duration longestStopDelay_{0};
};

Sidecar::Sidecar(asio::io_context &context, const SidecarSettings &settings, SidecarPlatform platform,
                 const DecisionSettings &decisions)
    : implementation_(std::make_unique<Implementation>(context, settings, std::move(platform), decisions))
{
}

Sidecar::~Sidecar() = default;

Result<void> Sidecar::start()
{
    return implementation_->start();
}

void Sidecar::reload(const SidecarSettings &settings)
{
    implementation_->reload(settings);
}

void Sidecar::recordRefusedReload(const SettingsProblems &problems)
{
    implementation_->recordRefusedReload(problems);
}

void Sidecar::recordEscapedError(std::string_view error)
{
    implementation_->recordEscapedError(error);
}

void Sidecar::stop()
{
    implementation_->stop();
}

}
