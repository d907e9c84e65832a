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

/// What an upstream got, as it arrived.
struct ArrivedRequest
{
    RequestId attempt;
    std::string method;
    std::string target;
    std::string bodyDigest;
    /// The service that runs on the VM where the request began, as the system says.
    ServiceName callerService;
    /// Time left; negative if the system said nothing.
    Milliseconds left{-1};
};

/// What an upstream answered.
struct MadeAnswer
{
    RequestId attempt;
    std::uint16_t status = 0;
    /// Says that the answer is this upstream's; empty for one that is not meant to be taken for it.
    std::string signature;
    std::string bodyDigest;
};

/// Told of everything that one upstream does. Thread safety: none.
class UpstreamObserver
{
public:
    virtual ~UpstreamObserver() = default;
    virtual void arrived(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request) = 0;
    virtual void runStarted(const UpstreamName &upstream, const ServiceName &service,
                            const ArrivedRequest &request) = 0;
    virtual void runEnded(const RequestId &attempt) = 0;
    virtual void answered(const MadeAnswer &answer) = 0;
    /// The run of @p request has ended the upstream.
    virtual void crashedBy(const UpstreamName &upstream, const ArrivedRequest &request) = 0;
};

/// How an upstream misbehaves.
struct UpstreamFaults
{
    /// Work takes this many times as long.
    double slow = 1.0;
    /// Of the requests, the share that is answered 500 after some work, with a good health check.
    double failing = 0.0;
    /// Of the runs, the share whose answer never leaves: the connection is reset.
    double answerLost = 0.0;
    /// Of the answers, the share that is cut in the middle.
    double cutShort = 0.0;
    /// Of the answers, the share without what proves that they are the upstream's.
    double unsignedShare = 0.0;
    /// All requests are refused as not run.
    bool refusing = false;
    /// Of the requests, the share that is dropped without a word, as by an upstream that is full; nothing more is
    /// answered on their connections.
    double hanging = 0.0;
};

struct SlottedUpstreamOptions
{
    UpstreamName id;
    ServiceName service;
    Endpoint address;
    std::uint32_t slots = 6;
    std::uint32_t queue = 12;
    /// Work of a request at the usual pace, at the median.
    Milliseconds work{20};
    std::uint64_t seed = 1;
    /// The last part of the path of requests whose runs end the upstream begins so.
    std::string crashName = "crash-";
    /// Called after such an end.
    std::function<void()> crashed;
};

/// A back end beside a node on the platform: works on a few requests at a time, lets a few wait, refuses the rest, and
/// says in each answer how busy it is and how fast its VM is just now. Thread safety: none.
class SlottedUpstream
{
public:
    /// A call that it makes itself through its node while it works; false when that failed.
    using InnerCall = std::function<boost::asio::awaitable<bool>(std::string, Milliseconds)>;

    SlottedUpstream(boost::asio::any_io_executor executor, SlottedUpstreamOptions options, UpstreamObserver &observer,
                    InnerCall innerCall);
    ~SlottedUpstream();
    SlottedUpstream(const SlottedUpstream &) = delete;
    SlottedUpstream &operator=(const SlottedUpstream &) = delete;

    [[nodiscard]] const SlottedUpstreamOptions &options() const;
    [[nodiscard]] UpstreamFaults &faults();
    /// It leaves: health checks fail from now on, what comes is still served.
    void drain();
    /// All connections end at once, as when its process dies.
    void crash();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}
