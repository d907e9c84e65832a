#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "load.h"
#include "routing/loadview.h"
#include "routing/probebudget.h"
#include "routing/probeplanner.h"
#include "routing/retrypolicy.h"
#include "routing/router.h"

/// What one run is made of.
struct SimulationSettings
{
    std::string strategy = "egretpath";
    Load load;
    std::uint64_t seed = 1;
    double seconds = 5.0;
    /// Share of first tries that may be followed by a retry.
    double retryShare = 0.1;
    /// Bytes of probes that each ingress may send a second; none if zero.
    double probeBytesPerSecond = 0.0;
    /// A call asks for a report if the last one is older.
    Egretpath::Duration reportInterval{0};
    /// Whether the egress uses the gradient limit.
    bool gradientLimit = false;
};

/// What one run gave. Times in microseconds.
struct SimulationResult
{
    std::vector<double> latencies;
    /// The same calls without their service time at an upstream without a fault: what the system adds.
    std::vector<double> added;
    std::uint64_t calls = 0;
    std::uint64_t withinDeadline = 0;
    std::uint64_t refused = 0;
    std::uint64_t errors = 0;
    std::uint64_t tries = 0;
    std::uint64_t measuringBytes[Egretpath::LinkKindCount] = {};
    double nodeSeconds = 0.0;
    double measuredSeconds = 0.0;
};

/// A queueing model around the very same decision libraries: upstreams with slots, several ingresses for each of them,
/// constant network delays, virtual time. Arrivals and service demands come from the seed alone, so that every strategy
/// gets the same ones.
class Simulation
{
public:
    explicit Simulation(const SimulationSettings &settings);

    /// Runs to the end and returns the figures of the calls that arrived after the first tenth.
    SimulationResult run();

private:
    enum class EventKind : std::uint8_t {
        Arrival,
        AtEgress,
        Served,
        AnswerAtIngress,
        RefusalAtIngress,
        Expiry,
        Replace,
        Probe
    };

    struct Event
    {
        Egretpath::TimePoint time;
        std::uint64_t order = 0;
        EventKind kind = EventKind::Arrival;
        std::size_t subject = 0;

        bool operator<(const Event &other) const { return std::tie(other.time, other.order) < std::tie(time, order); }
    };

    struct Call
    {
        std::size_t ingress = 0;
        std::size_t upstream = 0;
        Egretpath::TimePoint arrival;
        Egretpath::TimePoint sent;
        /// Service time at an upstream without a fault.
        double serviceMicroseconds = 0.0;
        unsigned tries = 0;
        bool isError = false;
        Egretpath::LoadReport report;
        bool carriesReport = false;
        Egretpath::Failure failure;
        std::vector<Egretpath::UpstreamName> excluded;
    };

    struct Ingress
    {
        std::unique_ptr<Egretpath::LoadView> view;
        std::unique_ptr<Egretpath::Router> router;
        std::unique_ptr<Egretpath::RetryBudget> budget;
        std::unique_ptr<Egretpath::RetryPolicy> retries;
        std::unique_ptr<Egretpath::ProbeBudget> probeBudget;
        std::unique_ptr<Egretpath::ProbePlanner> planner;
    };

    struct Upstream
    {
        std::unique_ptr<Egretpath::Admission> admission;
        Egretpath::TimePoint started;
        std::optional<Egretpath::TimePoint> expiry;
        std::uint64_t incarnation = 1;
    };

    void build();
    void buildIngress(std::size_t index);
    void schedule(Egretpath::TimePoint time, EventKind kind, std::size_t subject);
    void handle(const Event &event);
    void onArrival();
    void send(std::size_t index);
    void onAtEgress(std::size_t index);
    void onServed(std::size_t index);
    void onAnswerAtIngress(std::size_t index);
    void onRefusalAtIngress(std::size_t index);
    void onExpiry(std::size_t upstream);
    void onReplace(std::size_t upstream);
    void onProbe(std::size_t ingress);
    void startService(std::size_t index);
    void startAll(const std::vector<Egretpath::CallId> &calls);
    void refuse(std::size_t index, const Egretpath::Failure &failure);
    void attachReport(std::size_t index);
    void expireQueue(std::size_t upstream);
    void endCall(std::size_t index, bool answered);
    [[nodiscard]] bool isMeasured(const Call &call) const;
    [[nodiscard]] bool faultIsOn() const;
    [[nodiscard]] double slowness(std::size_t upstream) const;
    [[nodiscard]] double rate() const;
    [[nodiscard]] Egretpath::Duration delay(std::size_t ingress, std::size_t upstream) const;
    [[nodiscard]] Egretpath::LinkKind link(std::size_t ingress, std::size_t upstream) const;

    SimulationSettings settings_;
    Egretpath::Random arrivals_;
    Egretpath::TimePoint begin_;
    Egretpath::TimePoint now_;
    Egretpath::TimePoint end_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    std::vector<Egretpath::Candidate> candidates_;
    std::vector<Egretpath::RegionSpill> spill_;
    std::vector<Ingress> ingresses_;
    std::vector<Upstream> upstreams_;
    std::vector<Call> calls_;
    std::vector<std::size_t> freeCalls_;
    SimulationResult result_;
};
