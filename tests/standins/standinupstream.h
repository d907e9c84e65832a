#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "core/random.h"
#include "core/strongtype.h"
#include "http/httpexchange.h"
#include "http/httpserver.h"

namespace Egretpath
{

/// A request as it arrived at an upstream.
struct ArrivedRequest
{
    RequestId attempt;
    std::string method;
    std::string target;
    std::string bodyDigest;
    /// The service on the VM where the request started, as the system reports it.
    ServiceName callerService;
    /// Time left until the deadline; negative if the request had no deadline.
    Milliseconds timeLeft{-1};
    /// Whether the request is meant for another upstream, so that it is refused.
    bool isMisdirected = false;
};

/// An answer that an upstream sent.
struct UpstreamAnswer
{
    RequestId attempt;
    std::uint16_t status = 0;
    /// Proves that this upstream made the answer; empty if the answer carries no proof. The stand-in sends its id and a
    /// random number in place of a digest of the answer.
    std::string digest;
    std::string bodyDigest;
};

/// Receives the events of upstreams. Thread safety: none.
class UpstreamObserver
{
public:
    virtual ~UpstreamObserver() = default;
    virtual void onArrived(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request) = 0;
    virtual void onRunStarted(const UpstreamName &upstream, const ServiceName &service,
                              const ArrivedRequest &request) = 0;
    virtual void onRunFinished(const RequestId &attempt) = 0;
    virtual void onAnswered(const UpstreamAnswer &answer) = 0;
    /// The run of @p request has crashed the upstream.
    virtual void onCrashedBy(const UpstreamName &upstream, const ArrivedRequest &request) = 0;
};

/// How an upstream misbehaves.
struct UpstreamFaults
{
    /// Factor by which work takes longer.
    double slowFactor = 1.0;
    /// Share of requests that are answered with 500 after some work, while the health check succeeds.
    double failingShare = 0.0;
    /// Share of runs whose answer is never sent; the connection is reset instead.
    double lostAnswerShare = 0.0;
    /// Share of answers that are cut off in the middle.
    double truncatedShare = 0.0;
    /// Share of answers without the digest that proves that this upstream made them.
    double unsignedShare = 0.0;
    /// Whether all requests are refused as not run.
    bool isRefusing = false;
    /// Share of requests that are dropped without an answer, as by an overloaded upstream. Nothing more is answered on
    /// their connections.
    double hangingShare = 0.0;
};

/// What an upstream says of itself in its answers.
struct UpstreamStatements
{
    /// The requests a second that it takes; zero: it names no limit.
    double limit = 0.0;
    bool isLeaving = false;
    /// It is cold until this time, as its health answers say.
    TimePoint coldUntil;
};

struct StandinUpstreamOptions
{
    UpstreamName id;
    ServiceName service;
    Endpoint address;
    std::uint32_t slots = 6;
    std::uint32_t queue = 12;
    /// Median time of work on a request without slowdown.
    Milliseconds work{20};
    std::uint64_t seed = 1;
    /// A request takes just as many milliseconds as stand behind this text in the last segment of its path.
    std::string workPrefix = "work-";
    /// A request crashes the upstream if the last segment of its path starts with this text.
    std::string crashPrefix = "crash-";
    /// Called after a request has crashed the upstream.
    std::function<void()> onCrashed;
};

/// Stand-in for an upstream on the platform. It works on a limited number of requests at a time, queues a few more and
/// refuses the rest. Each answer reports its load and the current slowdown of its VM. Thread safety: none.
class StandinUpstream
{
public:
    /// A call that the upstream makes through its node while it works, with the target of the request and the time
    /// left; returns false when the call failed.
    using InnerCall = std::function<boost::asio::awaitable<bool>(std::string, Milliseconds)>;

    StandinUpstream(boost::asio::any_io_executor executor, StandinUpstreamOptions options, UpstreamObserver &observer,
                    InnerCall innerCall);
    ~StandinUpstream();
    StandinUpstream(const StandinUpstream &) = delete;
    StandinUpstream &operator=(const StandinUpstream &) = delete;

    [[nodiscard]] const StandinUpstreamOptions &options() const;
    [[nodiscard]] UpstreamFaults &faults();
    [[nodiscard]] UpstreamStatements &statements();
    /// Starts to drain: health checks fail from now on, requests are still served.
    void drain();
    /// Closes all connections at once, as when the process crashes.
    void crash();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}
