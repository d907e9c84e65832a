#include "egress/egressrole.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "egress/upstreamrequest.h"
#include "routing/upstreamcandidates.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Bytes MaxProbeAnswer{4096};
/// An upstream that sends without end fills the buffers of all its connections.
constexpr std::size_t MaxUnreadBytes = std::size_t{16} * 1024;
constexpr std::uint16_t HealthyStatus = 200;
constexpr Milliseconds DrainingRetryAfter{50};
/// The downloads that may be under way at the upstream for each of its slots.
constexpr std::uint32_t DownloadsPerSlot = 2;
/// Weight of the newest call in the smoothed delay. About the last ten calls count, which is some tenths of a second on
/// a busy node.
constexpr double ArrivalDelayGain = 0.1;
/// Longer delays count as this delay: a call that a cut link held up says nothing about the delay of the next call.
constexpr Milliseconds MaxArrivalDelay{500};

std::uint32_t asMicroseconds(Duration duration)
{
    const auto count = std::chrono::ceil<Microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<Microseconds::rep>(count, 0, UINT32_MAX));
}

HttpPoolLimits poolLimits(const EgressSettings &settings)
{
    HttpPoolLimits limits;
    limits.idleTime = settings.idleTime;
    // It may read an upload slowly. Its requests have deadlines.
    limits.silentPeer = SilentPeer::MayPause;
    limits.unreadBytes = MaxUnreadBytes;
    return limits;
}

}

EgressRole::EgressRole(asio::any_io_executor executor, EgressSettings settings, NodeIdentity self, Location location,
                       EgressSources sources, const UpstreamDialect &dialect, EventLog &log, Metrics &metrics,
                       Random random)
    : executor_(std::move(executor))
    , settings_(std::move(settings))
    , self_(std::move(self))
    , dialect_(dialect)
    , log_(log)
    , metrics_(metrics)
    , slots_(executor_, settings_.queue)
    , pool_(executor_, poolLimits(settings_))
    , sources_(sources)
    , servingCheck_(std::move(location), sources_.routes, sources_.evacuatedZones)
    , recentAnswers_(random())
    , exitMonitor_(
          executor_, pool_, settings_.upstream, random,
          [this](UpstreamCrashId crash, const std::vector<HeldRequest> &held) { reportUpstreamExit(crash, held); })
    , rate_(log_, metrics_)
    , turns_(executor_, rate_, metrics_, settings_.turns)
    , probeFinished_(executor_, asio::steady_timer::time_point::max())
{
    slots_.onUpstreamUpdatesNeeded([this] {
        if (!std::exchange(isProbingForWaiting_, true)) {
            asio::co_spawn(executor_, probeForWaitingRequests(), asio::detached);
        }
    });
    slots_.onDisplaced([this] { metrics_.count("egretpath_displaced_total"); });
}

EgressRole::~EgressRole() = default;

asio::awaitable<CallOutcome> EgressRole::call(CallHead head, RequestBody body, std::shared_ptr<AnswerReceiver> answer,
                                              std::shared_ptr<Cancellation> cancellation)
{
    const auto request = std::make_shared<UpstreamRequest>(*this, std::move(head), std::move(body), std::move(answer),
                                                           std::move(cancellation));
    co_return co_await request->run();
}

CallOutcome EgressRole::refuse(const CallHead &head, Failure failure) const
{
    return {self_, report(head.route), std::move(failure), CatalogVersions(), QuarantineDigest(), false};
}

void EgressRole::setInstanceRecord(const InstanceRecord *record)
{
    if (record != nullptr) {
        setSlots(record->slots);
        calls_.setUpstream(record->id);
        if (record->id != presence_.name()) {
            rate_.onReplaced(record->id);
        }
    }
    presence_.onListed(record);
    if (record != nullptr && rate_.wantsHealthCheck()) {
        startProbe();
    }
    refuseWaitingForDeparted();
}

void EgressRole::setMaxConnections(std::uint32_t maxConnections)
{
    pool_.setMaxConnections(maxConnections);
}

Failure EgressRole::drainingRejection()
{
    return notRun(Reason::Draining, "the node beside the upstream stops", DrainingRetryAfter);
}

LoadReport EgressRole::report(const RouteName &route) const
{
    LoadReport report = slots_.queue().report(route, currentTime());
    report.draining = isDraining_;
    report.arrivalDelayMicroseconds = static_cast<std::uint32_t>(arrivalDelayMicroseconds_);
    report.limitedForMicroseconds = asMicroseconds(turns_.lastWait());
    report.urgentWaitMicroseconds = std::max(report.urgentWaitMicroseconds, asMicroseconds(turns_.urgentWait()));
    if (linkBacklog_) {
        report.linkBacklogMicroseconds = asMicroseconds(linkBacklog_());
    }
    return report;
}

asio::awaitable<void> EgressRole::refreshUpstreamState()
{
    const bool isSlowdownOld = currentTime() - slowdownUpdatedAt_ >= settings_.slowdownMaxAge;
    const bool shouldWait = isSlowdownOld || rate_.needsHealthCheck(settings_.slowdownMaxAge);
    if (shouldWait || rate_.wantsHealthCheck()) {
        startProbe();
    }
    if (!shouldWait) {
        co_return;
    }
    asio::steady_timer probeWaitTimer(executor_, settings_.maxProbeWait);
    probeWaitTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            probeFinished_.cancel();
        }
    });
    boost::system::error_code ignored;
    co_await probeFinished_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void EgressRole::startProbe()
{
    if (!std::exchange(isProbing_, true)) {
        asio::co_spawn(executor_, probe(), asio::detached);
    }
}

asio::awaitable<void> EgressRole::probeForWaitingRequests()
{
    asio::steady_timer timer(executor_);
    while (slots_.needsUpstreamUpdates(currentTime())) {
        startProbe();
        timer.expires_after(settings_.slowdownWatchInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    isProbingForWaiting_ = false;
}

void EgressRole::recordOverdue()
{
    ++overdueCount_;
    if (settings_.keepsAccount && !std::exchange(isProbingForOverdue_, true)) {
        asio::co_spawn(executor_, probeForOverdueRequests(), asio::detached);
    }
}

asio::awaitable<void> EgressRole::probeForOverdueRequests()
{
    asio::steady_timer timer(executor_);
    while (overdueCount_ > 0) {
        startProbe();
        timer.expires_after(settings_.accountInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    isProbingForOverdue_ = false;
}

void EgressRole::updateAccount(const UpstreamLoadSample &load)
{
    const std::uint64_t requests = std::uint64_t{load.running} + load.waiting;
    account_.onReport(static_cast<std::uint32_t>(std::min<std::uint64_t>(requests, MaxUsableSlots)), currentTime());
    slots_.setExternalRequests(account_.externalRequests());
    for (const CallId call : account_.lostCalls()) {
        const auto found = requestsAtUpstream_.find(call);
        if (found != requestsAtUpstream_.end()) {
            metrics_.count("egretpath_lost_at_upstream_total");
            found->second->abort(
                mayHaveRun(Reason::LostAtUpstream, "the upstream has it no longer and did not answer"));
        }
    }
}

asio::awaitable<void> EgressRole::probe()
{
    // Much longer than maxProbeWait, the time for which a request waits for the probe: a late answer still helps later
    // requests.
    const TimePoint deadline = currentTime() + Milliseconds(500);
    metrics_.count("egretpath_upstream_probes_total");
    bool isAnswered = false;
    auto opened = co_await pool_.open(settings_.upstream, deadline);
    if (opened) {
        HttpClientCall &call = *opened.value();
        const HttpRequestHead head("GET", settings_.healthPath);
        account_.onQuerySent(currentTime());
        if (co_await call.sendRequest(head, std::string())) {
            const auto answer = co_await call.readHead();
            const auto body = co_await call.readCompleteBody(MaxProbeAnswer);
            if (answer && body) {
                isAnswered = true;
                const UpstreamAnswerMetadata metadata = dialect_.read(answer.value());
                applyAnswerMetadata(metadata);
                rate_.onHealthAnswer(metadata.warmUpLeft);
                // An upstream that leaves gets no more requests, so that only a probe can show that it stays.
                const bool isHealthy = answer.value().status == HealthyStatus;
                applyLeaving(metadata.isLeaving || (presence_.saysItLeaves() && !isHealthy));
                if (metadata.load && settings_.keepsAccount) {
                    updateAccount(*metadata.load);
                }
            }
        }
    }
    if (!isAnswered) {
        rate_.onDisconnected();
    }
    isProbing_ = false;
    probeFinished_.cancel();
}

void EgressRole::applyAnswerMetadata(const UpstreamAnswerMetadata &metadata)
{
    if (!metadata.upstream.value().empty()) {
        presence_.onAnswered(metadata.upstream);
    }
    if (!metadata.load) {
        return;
    }
    if (metadata.load->slots > 0) {
        setSlots(metadata.load->slots);
    }
    if (metadata.load->slowdownPercent > 0) {
        slots_.setSlowdown(metadata.load->slowdownPercent);
        slowdownUpdatedAt_ = currentTime();
    }
}

void EgressRole::setSlots(std::uint32_t slots)
{
    upstreamSlots_ = std::min(slots, MaxUsableSlots);
    slots_.setSlots(slots);
}

void EgressRole::applyStatements(const UpstreamAnswerMetadata &metadata)
{
    if (metadata.isWrongUpstream || !metadata.isAuthentic) {
        return;
    }
    rate_.onAnswer(metadata.limit);
    applyLeaving(metadata.isLeaving);
}

void EgressRole::applyLeaving(bool isLeaving)
{
    if (presence_.saysItLeaves() == isLeaving) {
        return;
    }
    presence_.onLeavingStated(isLeaving);
    log_.info(
        StructuredLine("upstream-says").add("id", presence_.name().value()).add("leaves", isLeaving ? "yes" : "no"));
    refuseWaitingForDeparted();
}

void EgressRole::startDraining()
{
    isDraining_ = true;
    turns_.refuseWaiting([](const UpstreamName & /*target*/) { return drainingRejection(); });
}

void EgressRole::logCutRequests() const
{
    for (const auto &[call, request] : waitingRequests_) {
        request->logCut("waiting");
    }
    for (const auto &[call, request] : requestsAtUpstream_) {
        request->logCut("at-upstream");
    }
}

void EgressRole::refuseAllWaiting()
{
    refuseWaiting([](const UpstreamName & /*target*/) { return drainingRejection(); });
}

void EgressRole::refuseWaiting(const std::function<std::optional<Failure>(const UpstreamName &)> &rejection)
{
    turns_.refuseWaiting(rejection);
    slots_.refuseWaiting(rejection);
}

void EgressRole::refuseWaitingForDeparted()
{
    refuseWaiting([this](const UpstreamName &target) { return presence_.rejection(target); });
}

void EgressRole::evacuatedZonesChanged()
{
    refuseWaiting([this](const UpstreamName & /*target*/) { return servingCheck_.evacuationRejection(); });
}

std::optional<Failure> EgressRole::downloadRejection()
{
    if (const auto held = heldAnswers_.lock()) {
        if (auto rejection = held->rejection("egress")) {
            return rejection;
        }
    }
    if (openDownloads_ < DownloadsPerSlot * std::max<std::uint32_t>(upstreamSlots_, 1)) {
        return std::nullopt;
    }
    metrics_.count("egretpath_downloads_refused_total", R"(role="egress",cause="upstream")");
    return notRun(Reason::Overloaded, "as many downloads as the upstream may have are under way");
}

void EgressRole::recordArrival(Duration delay)
{
    const double sample = std::chrono::duration<double, std::micro>(std::min<Duration>(delay, MaxArrivalDelay)).count();
    arrivalDelayMicroseconds_ += ArrivalDelayGain * (sample - arrivalDelayMicroseconds_);
}

void EgressRole::reportUpstreamExit(UpstreamCrashId crash, const std::vector<HeldRequest> &held)
{
    metrics_.count("egretpath_upstream_crashes_total");
    for (const HeldRequest &item : held) {
        if (!log_.admitsDecision(currentTime(), DecisionKind::Failure)) {
            continue;
        }
        StructuredLine line("held");
        line.add("request", item.request.value()).add("fingerprint", toHex(item.fingerprint));
        line.add("upstream", presence_.name().value()).add("crash", crash.value());
        line.add("held", std::uint64_t{held.size()}).add("answered_lately", std::uint64_t{item.answeredRecently});
        log_.decision(line);
    }
    if (upstreamExitListener_) {
        upstreamExitListener_(crash, held);
    }
}

void EgressRole::endQuarantinedRequests()
{
    for (const auto &[call, request] : waitingRequests_) {
        if (auto rejection = request->quarantineRejection()) {
            slots_.refuse(call, std::move(*rejection));
        }
    }
    for (const auto &[call, request] : requestsAtUpstream_) {
        if (const auto rejection = request->quarantineRejection()) {
            request->abort(mayHaveRun(rejection->reason, rejection->detail));
        }
    }
}

void EgressRole::recordAnswer(bool failed)
{
    health_.record(failed, currentTime());
    updateFailureShare();
}

void EgressRole::updateFailureShare()
{
    slots_.setFailureShare(health_.failureShare(currentTime()));
}

}
