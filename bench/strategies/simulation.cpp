#include "simulation.h"

#include <cmath>
#include <stdexcept>

using namespace Egretpath;

namespace
{

constexpr std::size_t Regions = 2;
constexpr std::size_t ZonesPerRegion = 2;
constexpr std::size_t UpstreamsPerZone = 6;
constexpr std::size_t UpstreamCount = Regions * ZonesPerRegion * UpstreamsPerZone;
/// Each node is an ingress for every service; with three services there are three nodes for each upstream of one.
constexpr std::size_t IngressesPerUpstream = 3;
constexpr std::size_t IngressCount = IngressesPerUpstream * UpstreamCount;
constexpr std::uint32_t Slots = 6;
constexpr std::uint32_t QueuePlaces = 6;

constexpr double MeanServiceMicroseconds = 5000.0;
constexpr double ServiceSigma = 0.8;
constexpr double ErrorServiceMicroseconds = 200.0;
constexpr Milliseconds Deadline{100};

constexpr std::array<Duration, LinkKindCount> Delays{Microseconds{100}, Microseconds{1500}, Microseconds{8000}};

/// Bytes that a report adds to an answer: two words of a Cap'n Proto struct. An assumption, not a capture.
constexpr std::uint64_t ReportBytes = 16;

/// Faults last from the third to the eighth tenth of a run; the first tenth is not measured.
constexpr double FaultBegin = 0.3;
constexpr double FaultEnd = 0.8;
constexpr double MeasureBegin = 0.1;

constexpr double SlowFactor = 10.0;
constexpr double LiarSlowFactor = 5.0;
constexpr double ColdFactor = 7.0;
constexpr double ColdSeconds = 0.3;
constexpr std::size_t Replacements = 6;
constexpr Milliseconds ReplacementLag{200};
constexpr Milliseconds ProbePeriod{50};

const ServiceName Service{"statements"};

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration fromMicroseconds(double count)
{
    return fromSeconds(count * 1e-6);
}

Location locationOf(std::size_t upstream)
{
    const std::size_t zone = upstream / UpstreamsPerZone;
    return {RegionName{"region-" + std::to_string(zone / ZonesPerRegion)}, ZoneName{"zone-" + std::to_string(zone)}};
}

std::unique_ptr<RoutingStrategy> strategyNamed(const std::string &name)
{
    StrategyResult made = makeStrategy(name);
    if (!made) {
        throw std::invalid_argument("no strategy " + name);
    }
    return std::move(made.value());
}

}

Simulation::Simulation(const SimulationSettings &settings)
    : settings_(settings)
    , arrivals_(settings.seed)
    , begin_(std::chrono::hours{1})
    , now_(begin_)
    , end_(begin_ + fromSeconds(settings.seconds))
{
    build();
}

void Simulation::build()
{
    for (std::size_t index = 0; index < UpstreamCount; ++index) {
        candidates_.push_back({UpstreamName{"upstream-" + std::to_string(index)}, locationOf(index), 1.0, Slots});
        Upstream upstream;
        auto limit = settings_.gradientLimit ? makeGradientLimit() : makeFixedLimit();
        upstream.admission = std::make_unique<Admission>(AdmissionCaps{Slots, QueuePlaces, 0.5}, std::move(limit));
        upstream.started = begin_ - std::chrono::minutes{1};
        upstreams_.push_back(std::move(upstream));
    }
    for (std::size_t region = 0; region < Regions; ++region) {
        spill_.push_back({RegionName{"region-" + std::to_string(region)}, 1.0});
    }
    for (std::size_t index = 0; index < IngressCount; ++index) {
        buildIngress(index);
    }
    if (settings_.load.fault == Fault::ColdStarts) {
        for (std::size_t index = 0; index < Replacements; ++index) {
            const double at = FaultBegin + (FaultEnd - FaultBegin) * static_cast<double>(index) / Replacements;
            schedule(begin_ + fromSeconds(at * settings_.seconds), EventKind::Replace, index * 4);
        }
    }
}

void Simulation::buildIngress(std::size_t index)
{
    Ingress ingress;
    const Location location = locationOf(index / IngressesPerUpstream);
    LoadViewSettings view;
    view.reportInterval = settings_.reportInterval;
    ingress.view = std::make_unique<LoadView>(view);
    ingress.router = std::make_unique<Router>(location, strategyNamed(settings_.strategy), *ingress.view,
                                              Random{settings_.seed * 1000 + index});
    RetryBudgetSettings retries;
    retries.share = settings_.retryShare;
    ingress.budget = std::make_unique<RetryBudget>(retries);
    ingress.retries = std::make_unique<RetryPolicy>(*ingress.budget);
    ingress.probeBudget = std::make_unique<ProbeBudget>(ProbeBudgetSettings{settings_.probeBytesPerSecond, 0.0, 1.0});
    ingress.planner = std::make_unique<ProbePlanner>(location, *ingress.view, *ingress.probeBudget);
    ingresses_.push_back(std::move(ingress));
    if (settings_.probeBytesPerSecond > 0.0) {
        schedule(begin_ + ProbePeriod, EventKind::Probe, index);
    }
}

SimulationResult Simulation::run()
{
    schedule(now_, EventKind::Arrival, 0);
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        handle(event);
    }
    result_.measuredSeconds = settings_.seconds * (1.0 - MeasureBegin);
    result_.nodeSeconds = result_.measuredSeconds * IngressCount;
    return std::move(result_);
}

void Simulation::schedule(TimePoint time, EventKind kind, std::size_t subject)
{
    events_.push({time, order_++, kind, subject});
}

void Simulation::handle(const Event &event)
{
    using Handler = void (Simulation::*)(std::size_t);
    static constexpr std::array<Handler, 8> Handlers{
        nullptr,
        &Simulation::onAtEgress,
        &Simulation::onServed,
        &Simulation::onAnswerAtIngress,
        &Simulation::onRefusalAtIngress,
        &Simulation::onExpiry,
        &Simulation::onReplace,
        &Simulation::onProbe,
    };
    if (event.kind == EventKind::Arrival) {
        onArrival();
        return;
    }
    (this->*Handlers.at(static_cast<std::size_t>(event.kind)))(event.subject);
}

double Simulation::rate() const
{
    const double capacity = UpstreamCount * Slots / (MeanServiceMicroseconds * 1e-6);
    const bool inBurst = (now_ - begin_) % BurstPeriod < BurstLength;
    const bool bursts = settings_.load.burstUtilisation > 0.0;
    return capacity * (bursts && inBurst ? settings_.load.burstUtilisation : settings_.load.utilisation);
}

void Simulation::onArrival()
{
    // All that is drawn here is drawn for each arrival in the same order, whatever the strategy does.
    const double gap = std::exponential_distribution<double>{rate()}(arrivals_);
    const std::size_t ingress = arrivals_() % IngressCount;
    const double mu = std::log(MeanServiceMicroseconds) - ServiceSigma * ServiceSigma / 2.0;
    const double service = std::lognormal_distribution<double>{mu, ServiceSigma}(arrivals_);
    if (now_ + fromSeconds(gap) < end_) {
        schedule(now_ + fromSeconds(gap), EventKind::Arrival, 0);
    }
    std::size_t index = calls_.size();
    if (freeCalls_.empty()) {
        calls_.emplace_back();
    } else {
        index = freeCalls_.back();
        freeCalls_.pop_back();
        calls_[index] = Call{};
    }
    Call &call = calls_[index];
    call.ingress = ingress;
    call.arrival = now_;
    call.serviceMicroseconds = service;
    ingresses_[ingress].budget->onFirstTry(Service);
    send(index);
}

void Simulation::send(std::size_t index)
{
    Call &call = calls_[index];
    Ingress &ingress = ingresses_[call.ingress];
    const auto choice = ingress.router->choose({candidates_, call.excluded, spill_, now_});
    if (!choice) {
        endCall(index, false);
        return;
    }
    call.upstream = choice.value().candidate;
    call.sent = now_;
    ++call.tries;
    call.carriesReport = ingress.view->wantsReport(choice.value().upstream, now_);
    ingress.view->onSent(choice.value().upstream, now_);
    if (isMeasured(call)) {
        ++result_.tries;
    }
    schedule(now_ + delay(call.ingress, call.upstream), EventKind::AtEgress, index);
}

void Simulation::onAtEgress(std::size_t index)
{
    Call &call = calls_[index];
    Admission &admission = *upstreams_[call.upstream].admission;
    // The index names the call; it is free again only after the call left this egress.
    const OfferOutcome outcome = admission.offer(CallId{index}, CallClass::Lookup, call.arrival + Deadline, now_);
    if (std::holds_alternative<Admitted>(outcome)) {
        startService(index);
    } else if (const auto *refused = std::get_if<Refused>(&outcome)) {
        refuse(index, refused->failure);
    }
    expireQueue(call.upstream);
}

void Simulation::startService(std::size_t index)
{
    Call &call = calls_[index];
    const bool fails = settings_.load.fault == Fault::FastFailures && faultIsOn() && call.upstream == 0;
    call.isError = fails;
    const double service = fails ? ErrorServiceMicroseconds : call.serviceMicroseconds * slowness(call.upstream);
    schedule(now_ + fromMicroseconds(service), EventKind::Served, index);
}

void Simulation::startAll(const std::vector<CallId> &calls)
{
    for (const CallId call : calls) {
        startService(call.value());
    }
}

void Simulation::onServed(std::size_t index)
{
    const std::size_t upstream = calls_[index].upstream;
    startAll(upstreams_[upstream].admission->finish(CallId{index}, now_));
    attachReport(index);
    schedule(now_ + delay(calls_[index].ingress, upstream), EventKind::AnswerAtIngress, index);
    expireQueue(upstream);
}

void Simulation::refuse(std::size_t index, const Failure &failure)
{
    Call &call = calls_[index];
    call.failure = failure;
    attachReport(index);
    schedule(now_ + delay(call.ingress, call.upstream), EventKind::RefusalAtIngress, index);
}

void Simulation::attachReport(std::size_t index)
{
    Call &call = calls_[index];
    if (!call.carriesReport) {
        return;
    }
    call.report = upstreams_[call.upstream].admission->report(now_);
    if (settings_.load.fault == Fault::LyingReport && faultIsOn() && call.upstream == 0) {
        call.report = LoadReport{0, 0, Slots, 100, false};
    }
    if (isMeasured(call)) {
        result_.measuringBytes[static_cast<std::size_t>(link(call.ingress, call.upstream))] += ReportBytes;
    }
}

void Simulation::onAnswerAtIngress(std::size_t index)
{
    Call &call = calls_[index];
    LoadView &view = *ingresses_[call.ingress].view;
    const UpstreamName &name = candidates_[call.upstream].upstream;
    const std::optional<LoadReport> report = call.carriesReport ? std::optional{call.report} : std::nullopt;
    if (call.isError) {
        view.onErrorAnswer(name, report, now_);
        if (isMeasured(call)) {
            ++result_.errors;
        }
    } else {
        view.onAnswered(name, now_ - call.sent, report, now_);
    }
    endCall(index, !call.isError);
}

void Simulation::onRefusalAtIngress(std::size_t index)
{
    Call &call = calls_[index];
    Ingress &ingress = ingresses_[call.ingress];
    const UpstreamName &name = candidates_[call.upstream].upstream;
    const std::optional<LoadReport> report = call.carriesReport ? std::optional{call.report} : std::nullopt;
    ingress.view->onRefused(name, call.failure.reason, call.failure.retryAfter, report, now_);
    call.excluded.push_back(name);
    RetryRequest request;
    request.service = Service;
    request.verdict = call.failure.verdict;
    request.reason = call.failure.reason;
    request.triesDone = call.tries;
    request.deadlineLeft = call.arrival + Deadline - now_;
    request.expectedServiceTime = fromMicroseconds(ingress.view->typicalLatencyMicroseconds());
    if (ingress.retries->decide(request) == RetryDecision::Retry) {
        send(index);
    } else {
        endCall(index, false);
    }
}

void Simulation::expireQueue(std::size_t upstream)
{
    Upstream &place = upstreams_[upstream];
    for (const ExpiredCall &expired : place.admission->expire(now_)) {
        refuse(expired.call.value(), expired.failure);
    }
    const std::optional<TimePoint> next = place.admission->nextExpiry();
    if (next && (!place.expiry || *next < *place.expiry)) {
        place.expiry = next;
        schedule(*next, EventKind::Expiry, upstream);
    }
}

void Simulation::onExpiry(std::size_t upstream)
{
    upstreams_[upstream].expiry.reset();
    expireQueue(upstream);
}

void Simulation::onReplace(std::size_t upstream)
{
    Upstream &place = upstreams_[upstream];
    if (place.started < now_ - ReplacementLag) {
        place.started = now_;
        ++place.incarnation;
        schedule(now_ + ReplacementLag, EventKind::Replace, upstream);
        return;
    }
    for (Ingress &ingress : ingresses_) {
        ingress.view->onReplaced(candidates_[upstream].upstream, Incarnation{place.incarnation}, now_);
    }
}

void Simulation::onProbe(std::size_t index)
{
    Ingress &ingress = ingresses_[index];
    for (const std::size_t upstream : ingress.planner->plan(candidates_, now_)) {
        // Its delay is left out: in the zone it is a fifth of a millisecond there and back.
        ingress.view->onProbeSent(candidates_[upstream].upstream, now_);
        ingress.view->onProbe(candidates_[upstream].upstream, upstreams_[upstream].admission->report(now_), now_);
        result_.measuringBytes[static_cast<std::size_t>(link(index, upstream))] +=
            ProbePlannerSettings{}.probeSize.value();
    }
    if (now_ + ProbePeriod < end_) {
        schedule(now_ + ProbePeriod, EventKind::Probe, index);
    }
}

void Simulation::endCall(std::size_t index, bool answered)
{
    Call &call = calls_[index];
    if (isMeasured(call)) {
        ++result_.calls;
        const Duration latency = now_ - call.arrival;
        if (answered) {
            result_.latencies.push_back(secondsOf(latency) * 1e6);
            result_.added.push_back(result_.latencies.back() - call.serviceMicroseconds);
            result_.withinDeadline += latency <= Deadline ? 1 : 0;
        } else if (!call.isError) {
            ++result_.refused;
        }
    }
    freeCalls_.push_back(index);
}

bool Simulation::isMeasured(const Call &call) const
{
    return call.arrival >= begin_ + fromSeconds(settings_.seconds * MeasureBegin);
}

bool Simulation::faultIsOn() const
{
    const double share = secondsOf(now_ - begin_) / settings_.seconds;
    return share >= FaultBegin && share < FaultEnd;
}

double Simulation::slowness(std::size_t upstream) const
{
    switch (settings_.load.fault) {
    case Fault::SlowUpstream:
        return faultIsOn() && upstream == 0 ? SlowFactor : 1.0;
    case Fault::SlowZone:
        return faultIsOn() && upstream < UpstreamsPerZone ? SlowFactor : 1.0;
    case Fault::LyingReport:
        return faultIsOn() && upstream == 0 ? LiarSlowFactor : 1.0;
    case Fault::ColdStarts:
        return 1.0 + ColdFactor * std::exp(-secondsOf(now_ - upstreams_[upstream].started) / ColdSeconds);
    default:
        return 1.0;
    }
}

Duration Simulation::delay(std::size_t ingress, std::size_t upstream) const
{
    return Delays.at(static_cast<std::size_t>(link(ingress, upstream)));
}

LinkKind Simulation::link(std::size_t ingress, std::size_t upstream) const
{
    return linkBetween(candidates_[ingress / IngressesPerUpstream].location, candidates_[upstream].location);
}
