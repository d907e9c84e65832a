#include "rpc/peerclient.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>
#include <kj/debug.h>

#include "http/sockettimer.h"
#include "http/tcpendpoint.h"
#include "rpc/kjawait.h"
#include "rpc/outgoingcall.h"
#include "rpc/peerconnection.h"
#include "rpc/wireconversion.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// A connection attempt that takes longer is given up, so that there is still time to try another upstream.
constexpr Milliseconds ConnectTimeout{250};

/// The longest pause between two chunks of an answer. A node that holds too much pauses for as long as readers that
/// stopped are waited for, which is less.
constexpr Milliseconds MaxChunkPause{30'000};

/// A larger body is sent on the bulk connection.
constexpr std::size_t MaxRegularBodyBytes = std::size_t{16} * 1024;

/// The longest time for which a large message that is arriving is waited for, beyond the deadline.
constexpr Milliseconds MaxArrivalTime{5000};
/// How late a timer may fire before the process counts as having been stalled, and the time that it then gets to read
/// what arrived meanwhile.
constexpr Milliseconds StallTolerance{100};

/// Which of the connections to a peer a call uses.
///
/// Messages on one connection arrive in the order in which they were sent. A large body takes a quarter of a second on
/// a link with little bandwidth, and a short call behind it would wait for all of it.
enum class TrafficClass : std::uint8_t { Regular, Bulk };

struct ConnectionKey
{
    Endpoint peer;
    TrafficClass trafficClass = TrafficClass::Regular;

    friend auto operator<=>(const ConnectionKey &, const ConnectionKey &) = default;
};

/// Rejects a control request at its deadline, but not while a large message arrives on its connection, nor before this
/// process has read what arrived while it did not run.
///
/// Guards against a source that is left while its answer arrives: all bytes of the answer would be sent again by
/// another node, and compete with those of the first one.
class PatientDeadline : public std::enable_shared_from_this<PatientDeadline>
{
public:
    /// @p maxPause: the longest pause between the bytes of a large message.
    PatientDeadline(const asio::any_io_executor &executor, std::shared_ptr<const PeerConnection> connection,
                    TimePoint deadline, Duration maxPause, std::function<void()> onPassed)
        : timer_(executor)
        , connection_(std::move(connection))
        , deadline_(deadline)
        , latestDeadline_(deadline + MaxArrivalTime)
        , maxPause_(maxPause)
        , onPassed_(std::move(onPassed))
    {
    }

    void startWait()
    {
        timer_.expires_at(deadline_);
        timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->onTimer();
            }
        });
    }

private:
    void onTimer()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const bool hasStalled = now - deadline_ > StallTolerance;
        if (now >= latestDeadline_ || !(hasStalled || connection_->isReceivingLargeMessage(now, maxPause_))) {
            onPassed_();
            return;
        }
        deadline_ = now + (hasStalled ? Duration{StallTolerance} : maxPause_);
        startWait();
    }

    asio::steady_timer timer_;
    std::shared_ptr<const PeerConnection> connection_;
    TimePoint deadline_;
    TimePoint latestDeadline_;
    Duration maxPause_;
    std::function<void()> onPassed_;
};

template<typename Value>
kj::Promise<Value> rejectWhenSilent(const asio::any_io_executor &executor,
                                    std::shared_ptr<const PeerConnection> connection, TimePoint deadline,
                                    Duration maxPause)
{
    auto pair = kj::newPromiseAndFulfiller<Value>();
    // Shared, since std::function requires a copyable action.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(kj::mv(pair.fulfiller));
    auto patientDeadline =
        std::make_shared<PatientDeadline>(executor, std::move(connection), deadline, maxPause, [fulfiller] {
            (*fulfiller)->reject(KJ_EXCEPTION(OVERLOADED, "deadline passed"));
        });
    patientDeadline->startWait();
    return pair.promise.attach(kj::mv(patientDeadline));
}

/// The deadline of a call. Once a chunk of the answer has come, it no longer counts: an answer that is under way is
/// waited for as long as chunks arrive.
class AnswerDeadline : public std::enable_shared_from_this<AnswerDeadline>
{
public:
    AnswerDeadline(const asio::any_io_executor &executor, std::shared_ptr<const AnswerProgress> progress,
                   std::function<void()> onPassed)
        : timer_(executor)
        , progress_(std::move(progress))
        , onPassed_(std::move(onPassed))
    {
    }

    void startWait(TimePoint deadline)
    {
        timer_.expires_at(deadline);
        timer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->onTimer();
            }
        });
    }

private:
    void onTimer()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        const TimePoint pauseEnd = (progress_->openChunks > 0 ? now : progress_->lastChange) + MaxChunkPause;
        if (!progress_->hasChunk || pauseEnd <= now) {
            onPassed_();
            return;
        }
        startWait(pauseEnd);
    }

    asio::steady_timer timer_;
    std::shared_ptr<const AnswerProgress> progress_;
    std::function<void()> onPassed_;
};

template<typename Value>
kj::Promise<Value> rejectAtDeadline(const asio::any_io_executor &executor, TimePoint deadline,
                                    std::shared_ptr<const AnswerProgress> progress)
{
    auto pair = kj::newPromiseAndFulfiller<Value>();
    // Shared, since std::function requires a copyable action.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(kj::mv(pair.fulfiller));
    auto answerDeadline = std::make_shared<AnswerDeadline>(executor, std::move(progress), [fulfiller] {
        (*fulfiller)->reject(KJ_EXCEPTION(OVERLOADED, "deadline passed"));
    });
    answerDeadline->startWait(deadline);
    return pair.promise.attach(kj::mv(answerDeadline));
}

template<typename Value>
kj::Promise<Value> rejectOnCancellation(const std::shared_ptr<Cancellation> &cancellation)
{
    auto pair = kj::newPromiseAndFulfiller<Value>();
    // Shared, since std::function requires a copyable action.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(kj::mv(pair.fulfiller));
    cancellation->setAction([fulfiller] { (*fulfiller)->reject(KJ_EXCEPTION(UNIMPLEMENTED, "cancelled")); });
    return kj::mv(pair.promise);
}

Failure toFailure(const kj::Exception &error, const std::shared_ptr<Cancellation> &cancellation, TimePoint deadline)
{
    if (cancellation && cancellation->isCancelled()) {
        return mayHaveRun(Reason::Cancelled, "cancelled");
    }
    if (std::chrono::steady_clock::now() >= deadline) {
        return mayHaveRun(Reason::DeadlinePassed, "no answer from the peer before the deadline");
    }
    return mayHaveRun(Reason::ConnectionLost, error.getDescription().cStr());
}

/// Waits for @p promise until the deadline or the cancellation. If one of these comes first, @p promise is dropped,
/// which tells the peer to cancel the call.
template<typename Value>
asio::awaitable<Result<Value>> awaitAnswer(kj::Promise<Value> promise, TimePoint deadline,
                                           std::shared_ptr<const AnswerProgress> progress,
                                           std::shared_ptr<Cancellation> cancellation)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    promise = promise.exclusiveJoin(rejectAtDeadline<Value>(executor, deadline, std::move(progress)));
    if (cancellation) {
        promise = promise.exclusiveJoin(rejectOnCancellation<Value>(cancellation));
    }
    PromiseResult<Value> result = co_await awaitPromise(kj::mv(promise));
    if (cancellation) {
        cancellation->clearAction();
    }
    if (result.value) {
        co_return std::move(*result.value);
    }
    co_return toFailure(*result.error, cancellation, deadline);
}

bool maySend(CallHead &head, const PeerClient::SendPermit &permit, const Cancellation &cancellation)
{
    // Checked after the wait for the connection: if the call was cancelled meanwhile, its caller was told that nothing
    // ran.
    return !cancellation.isCancelled() && permit(head);
}

}

class PeerClient::Implementation : public std::enable_shared_from_this<PeerClient::Implementation>
{
public:
    explicit Implementation(asio::io_context &context)
        : executor_(context.get_executor())
    {
    }

    [[nodiscard]] const asio::any_io_executor &executor() const { return executor_; }

    void setPaidLinks(std::function<bool(const Endpoint &)> isPaidLink) { isPaidLink_ = std::move(isPaidLink); }

    asio::awaitable<Result<std::shared_ptr<PeerConnection>>>
    acquireConnection(Endpoint peer, TimePoint deadline, TrafficClass trafficClass = TrafficClass::Regular)
    {
        const ConnectionKey key{peer, trafficClass};
        if (auto open = findUsable(key)) {
            co_return open;
        }
        tcp::socket socket(executor_);
        const Failure failure = co_await connect(socket, peer, deadline);
        if (failure.reason != Reason::None) {
            co_return failure;
        }
        // Another call may have connected meanwhile; its connection is used then.
        if (auto open = findUsable(key)) {
            co_return open;
        }
        co_return addConnection(key, std::move(socket));
    }

    void closeIdle(TimePoint now, Duration idle)
    {
        std::erase_if(connections_, [&](const auto &entry) {
            const PeerConnection &connection = *entry.second;
            const bool isIdle = connection.answerDueTimes.empty() && now - connection.lastUse > idle;
            if (isIdle || connection.isLost || (connection.hasPeerStopped && connection.answerDueTimes.empty())) {
                closedConnectionBytes_ += connection.stream.bytesTransferred();
                return true;
            }
            return false;
        });
    }

    [[nodiscard]] bool isReceivingLargeMessage(const Endpoint &peer, Duration maxPause) const
    {
        const auto found = connections_.find({peer, TrafficClass::Regular});
        return found != connections_.end()
            && found->second->isReceivingLargeMessage(std::chrono::steady_clock::now(), maxPause);
    }

    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

    [[nodiscard]] std::uint64_t bytesTransferred() const
    {
        std::uint64_t sum = closedConnectionBytes_;
        for (const auto &entry : connections_) {
            sum += entry.second->stream.bytesTransferred();
        }
        return sum;
    }

private:
    std::shared_ptr<PeerConnection> findUsable(const ConnectionKey &key)
    {
        const auto found = connections_.find(key);
        const bool isUsable = found != connections_.end() && !found->second->isLost && !found->second->hasPeerStopped
            && !found->second->isSilent(std::chrono::steady_clock::now());
        return isUsable ? found->second : nullptr;
    }

    asio::awaitable<Failure> connect(tcp::socket &socket, const Endpoint &peer, TimePoint deadline)
    {
        const std::optional<tcp::endpoint> address = toTcpEndpoint(peer);
        if (!address) {
            co_return notRun(Reason::ConnectFailed, "no address: " + peer.value());
        }
        const TimePoint connectDeadline = std::min(deadline, std::chrono::steady_clock::now() + ConnectTimeout);
        // A plain timer is unsafe here: if the process stalls past the deadline, the connection attempt and the timer
        // complete in the same round of the event loop. The handler of the timer is then already queued and can't be
        // cancelled, and would close a socket that no longer exists.
        SocketTimer timer(executor_, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        timer.expireAt(connectDeadline);
        boost::system::error_code error;
        co_await socket.async_connect(*address, asio::redirect_error(asio::use_awaitable, error));
        const bool hasTimedOut = std::chrono::steady_clock::now() >= connectDeadline;
        if (error || hasTimedOut) {
            co_return notRun(Reason::ConnectFailed, hasTimedOut ? "connecting took too long" : error.message());
        }
        co_return Failure{};
    }

    std::shared_ptr<PeerConnection> addConnection(const ConnectionKey &key, tcp::socket socket)
    {
        const bool isPaidLink = isPaidLink_ && isPaidLink_(key.peer);
        auto connection =
            std::make_shared<PeerConnection>(std::move(socket), isPaidLink ? PeerCoding::Deflate : PeerCoding::Plain);
        connection->lastUse = std::chrono::steady_clock::now();
        const auto markLost = [weak = std::weak_ptr<PeerConnection>(connection)] {
            if (const auto locked = weak.lock()) {
                locked->isLost = true;
            }
        };
        connection->disconnected = connection->network.onDisconnect()
                                       .then([markLost] { markLost(); }, [markLost](kj::Exception &&) { markLost(); })
                                       .eagerlyEvaluate(nullptr);
        connection->stopNotice = connection->node.stoppedRequest()
                                     .send()
                                     .ignoreResult()
                                     .then(
                                         [weak = weak_from_this(), key, connection = connection.get()] {
                                             connection->hasPeerStopped = true;
                                             if (const auto client = weak.lock()) {
                                                 client->closeWhenStopped(key);
                                             }
                                         },
                                         [](kj::Exception &&) { /* Lost, or a node of an earlier version. */ })
                                     .eagerlyEvaluate(nullptr);
        if (const auto old = connections_.find(key); old != connections_.end()) {
            closedConnectionBytes_ += old->second->stream.bytesTransferred();
        }
        connections_.insert_or_assign(key, connection);
        return connection;
    }

    /// Closes the connection to a peer that has stopped, unless a call still waits for its answer on it.
    void closeWhenStopped(const ConnectionKey &key)
    {
        // Posted, since a connection must not be destroyed inside a continuation of its own promise.
        asio::post(executor_, [weak = weak_from_this(), key] {
            const auto client = weak.lock();
            if (!client) {
                return;
            }
            const auto found = client->connections_.find(key);
            const bool isOver = found != client->connections_.end() && found->second->hasPeerStopped
                && found->second->answerDueTimes.empty();
            if (isOver) {
                client->closedConnectionBytes_ += found->second->stream.bytesTransferred();
                client->connections_.erase(found);
            }
        });
    }

    asio::any_io_executor executor_;
    std::function<bool(const Endpoint &)> isPaidLink_;
    std::map<ConnectionKey, std::shared_ptr<PeerConnection>> connections_;
    std::uint64_t closedConnectionBytes_ = 0;
};

namespace
{

/// Sends one control request, which @p send creates from the peer's capability, and waits for the answer. The peer may
/// hold the request for @p wait before it answers. Precondition: objects that @p send refers to live until the
/// answer.
template<typename Value, typename Implementation, typename Send>
asio::awaitable<Result<Value>> sendControlRequest(std::shared_ptr<Implementation> implementation, Endpoint peer,
                                                  TimePoint deadline, Duration wait, const Send &send)
{
    auto connection = co_await implementation->acquireConnection(peer, deadline);
    if (!connection) {
        co_return connection.error();
    }
    const OpenCall open(connection.value(), wait);
    const PeerStream &stream = connection.value()->stream;
    const std::uint64_t bytesBefore = stream.bytesTransferred();
    const Duration maxPause = deadline - std::chrono::steady_clock::now() - wait;
    PromiseResult<Value> result =
        co_await awaitPromise(send(connection.value()->node)
                                  .exclusiveJoin(rejectWhenSilent<Value>(implementation->executor(), connection.value(),
                                                                         deadline, maxPause)));
    Result<Value> answer = result.value ? Result<Value>(std::move(*result.value))
                                        : Result<Value>(toFailure(*result.error, nullptr, deadline));
    if (!answer) {
        // The byte count tells a silent peer from an answer that is too large for the link.
        Failure failure = answer.error();
        failure.detail += ", " + std::to_string(stream.bytesTransferred() - bytesBefore) + " bytes passed meanwhile";
        co_return failure;
    }
    co_return answer;
}

/// A call without an answer was not run if the peer has told that it runs none any more.
Result<CallOutcome> unlessStopped(Result<CallOutcome> outcome, const PeerConnection &connection,
                                  const AnswerProgress &progress)
{
    const bool wasNotRun =
        !outcome && outcome.error().reason == Reason::ConnectionLost && connection.hasPeerStopped && !progress.hasChunk;
    if (wasNotRun) {
        return notRun(Reason::Draining, "the peer has stopped");
    }
    return outcome;
}

}

PeerClient::PeerClient(asio::io_context &context)
    : implementation_(std::make_shared<Implementation>(context))
{
}

PeerClient::~PeerClient() = default;

asio::awaitable<Result<CallOutcome>> PeerClient::call(Endpoint peer, CallHead head, RequestBody body,
                                                      std::shared_ptr<AnswerReceiver> answer, SendPermit permit,
                                                      TimePoint deadline, std::shared_ptr<Cancellation> cancellation)
{
    const auto implementation = implementation_;
    const TrafficClass trafficClass = body.size() > MaxRegularBodyBytes ? TrafficClass::Bulk : TrafficClass::Regular;
    auto connection = co_await implementation->acquireConnection(peer, deadline, trafficClass);
    if (!connection) {
        co_return connection.error();
    }
    if (!maySend(head, permit, *cancellation)) {
        co_return notRun(Reason::Cancelled, "ended before the call was sent");
    }
    PeerConnection &used = *connection.value();
    const OpenCall open(connection.value());
    OutgoingCall call{std::move(head), std::move(body), std::move(answer)};
    if (call.body.size() > MaxMessageBodyBytes && !used.takesWholeBodiesOnly) {
        const auto isUnknown = std::make_shared<bool>(false);
        auto outcome =
            co_await awaitAnswer<CallOutcome>(sendWithSource(used.node, implementation->executor(), call, isUnknown),
                                              deadline, call.progress, cancellation);
        if (!*isUnknown) {
            co_return unlessStopped(std::move(outcome), used, *call.progress);
        }
        used.takesWholeBodiesOnly = true;
        if (cancellation->isCancelled()) {
            co_return notRun(Reason::Cancelled, "ended before the call was sent");
        }
    }
    if (call.body.size() > MaxWholeBodyBytes) {
        co_return notRun(Reason::ConnectFailed, "the peer is of a version that can't take so large a body");
    }
    auto promise = sendWithBody(used.node, implementation->executor(), call);
    auto outcome = co_await awaitAnswer<CallOutcome>(kj::mv(promise), deadline, call.progress, std::move(cancellation));
    co_return unlessStopped(std::move(outcome), used, *call.progress);
}

asio::awaitable<Result<Catalog>> PeerClient::catalog(Endpoint peer, CatalogRequest request, TimePoint deadline)
{
    const auto send = [request](Wire::Node::Client &node) -> kj::Promise<Catalog> {
        auto message = node.catalogRequest();
        message.setHaveRoutes(request.have.routes.value());
        message.setHaveRevision(request.have.list.value());
        message.setWait(static_cast<std::uint32_t>(request.wait.count()));
        message.setKnown(static_cast<std::uint8_t>(request.knownState));
        message.setTakesChanges(request.takesChanges);
        message.setHaveEvacuations(request.have.evacuations.value());
        message.setWantsConfirmation(request.wantsConfirmation);
        return message.send().then([](auto &&response) { return WireConversion::read(response.getCatalog()); });
    };
    co_return co_await sendControlRequest<Catalog>(implementation_, std::move(peer), deadline, request.wait, send);
}

asio::awaitable<Result<QuarantineUpdate>> PeerClient::quarantine(Endpoint peer, QuarantineUpdate update,
                                                                 TimePoint deadline)
{
    const auto send = [&update](Wire::Node::Client &node) -> kj::Promise<QuarantineUpdate> {
        auto message = node.quarantineRequest();
        WireConversion::write(message.initNews(), update);
        return message.send().then([](auto &&response) { return WireConversion::read(response.getNews()); });
    };
    co_return co_await sendControlRequest<QuarantineUpdate>(implementation_, std::move(peer), deadline, Duration{0},
                                                            send);
}

asio::awaitable<Result<PeerProbe>> PeerClient::probe(Endpoint peer, TimePoint deadline)
{
    const auto send = [](Wire::Node::Client &node) -> kj::Promise<PeerProbe> {
        return node.probeRequest().send().then([](auto &&response) {
            return PeerProbe{WireConversion::read(response.getIdentity()), WireConversion::read(response.getReport())};
        });
    };
    co_return co_await sendControlRequest<PeerProbe>(implementation_, std::move(peer), deadline, Duration{0}, send);
}

void PeerClient::setPaidLinks(std::function<bool(const Endpoint &)> isPaidLink)
{
    implementation_->setPaidLinks(std::move(isPaidLink));
}

void PeerClient::closeIdle(TimePoint now, Duration idle)
{
    implementation_->closeIdle(now, idle);
}

bool PeerClient::isReceivingLargeMessage(const Endpoint &peer, Duration maxPause) const
{
    return implementation_->isReceivingLargeMessage(peer, maxPause);
}

std::size_t PeerClient::connectionCount() const
{
    return implementation_->connectionCount();
}

std::uint64_t PeerClient::bytesTransferred() const
{
    return implementation_->bytesTransferred();
}

}
