#include "rpc/peerclient.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include "http/sockettimer.h"
#include "http/tcpendpoint.h"
#include "rpc/kjawait.h"
#include "rpc/peerstream.h"
#include "rpc/wireconversion.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// A connection that can't be made within this time is given up, so that another upstream can still be tried.
constexpr Milliseconds ConnectLimit{250};

/// Hands the pieces of a large answer to the call that waits for them.
class AnswerSinkServer final : public Wire::AnswerSink::Server
{
public:
    AnswerSinkServer(asio::any_io_executor executor, std::shared_ptr<AnswerReceiver> receiver)
        : executor_(std::move(executor))
        , receiver_(std::move(receiver))
    {
    }

protected:
    kj::Promise<void> begin(BeginContext context) override
    {
        return check(receiver_->begin(WireConversion::read(context.getParams().getHead())));
    }

    kj::Promise<void> write(WriteContext context) override
    {
        return check(receiver_->write(WireConversion::readBytes(context.getParams().getChunk())));
    }

    kj::Promise<void> end(EndContext /*context*/) override { return check(receiver_->end()); }

private:
    kj::Promise<void> check(asio::awaitable<bool> work)
    {
        return toPromise(executor_, std::move(work)).then([](bool taken) {
            if (!taken) {
                kj::throwRecoverableException(KJ_EXCEPTION(FAILED, "the caller is gone"));
            }
        });
    }

    asio::any_io_executor executor_;
    std::shared_ptr<AnswerReceiver> receiver_;
};

/// Longer than a call takes at a busy upstream on a slow VM, and short against the time-outs of requests.
constexpr Milliseconds SilenceLimit{500};

/// A body beyond this size goes over the connection for such bodies.
constexpr std::size_t BulkBytes = std::size_t{16} * 1024;

/// Which of the connections to a peer a call takes.
///
/// Messages of one connection arrive in their order: a large body takes a quarter of a second on a link of little
/// bandwidth, and a short call behind it would wait for all of it.
enum class Lane : std::uint8_t { Calls, Bulk };

struct PeerAddress
{
    Endpoint peer;
    Lane lane = Lane::Calls;

    friend auto operator<=>(const PeerAddress &, const PeerAddress &) = default;
};

/// One connection to a peer with its RPC state.
struct PeerConnection
{
    PeerConnection(tcp::socket socket, PeerCoding coding)
        : stream(std::move(socket), coding)
        , network(stream, capnp::rpc::twoparty::Side::CLIENT)
        , system(capnp::makeRpcClient(network))
        , node(bootstrap())
    {
    }

    Wire::Node::Client bootstrap()
    {
        capnp::MallocMessageBuilder message;
        auto vatId = message.initRoot<capnp::rpc::twoparty::VatId>();
        vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
        return system.bootstrap(vatId).castAs<Wire::Node>();
    }

    PeerStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    Wire::Node::Client node;
    kj::Promise<void> disconnected = nullptr;
    /// Whether a call has waited long while nothing at all arrived.
    ///
    /// Guards against a connection that has fallen silent without an error, as when something on the way forgot it: the
    /// system's own probes may still be answered there, and each call sent on it would wait for its whole deadline. A
    /// slow peer shows the same for a while, so that the connection is only left, not closed: its answers still count.
    [[nodiscard]] bool isSilent(TimePoint now) const
    {
        if (openSince.empty()) {
            return false;
        }
        return now - std::max(*openSince.begin(), stream.lastArrival()) > SilenceLimit;
    }

    bool lost = false;
    TimePoint lastUse;
    /// From when on each call that has no answer yet could have had one.
    std::multiset<TimePoint> openSince;
};

/// Counts a call as open on its connection for as long as it lives.
class OpenCall
{
public:
    /// @p wait: the peer may take so long without a reason of its own.
    explicit OpenCall(std::shared_ptr<PeerConnection> connection, Duration wait = Duration{0})
        : connection_(std::move(connection))
        , place_(connection_->openSince.insert(std::chrono::steady_clock::now() + wait))
    {
    }
    ~OpenCall()
    {
        connection_->openSince.erase(place_);
        connection_->lastUse = std::chrono::steady_clock::now();
    }
    OpenCall(const OpenCall &) = delete;
    OpenCall &operator=(const OpenCall &) = delete;

private:
    std::shared_ptr<PeerConnection> connection_;
    std::multiset<TimePoint>::iterator place_;
};

template<typename Value>
kj::Promise<Value> rejectAt(const asio::any_io_executor &executor, TimePoint deadline)
{
    auto pair = kj::newPromiseAndFulfiller<Value>();
    auto timer = kj::heap<asio::steady_timer>(executor, deadline);
    timer->async_wait([fulfiller = kj::mv(pair.fulfiller)](const boost::system::error_code &) mutable {
        fulfiller->reject(KJ_EXCEPTION(OVERLOADED, "deadline passed"));
    });
    return pair.promise.attach(kj::mv(timer));
}

template<typename Value>
kj::Promise<Value> rejectOn(const std::shared_ptr<Cancellation> &cancellation)
{
    auto pair = kj::newPromiseAndFulfiller<Value>();
    // std::function wants a copyable action.
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<Value>>>(kj::mv(pair.fulfiller));
    cancellation->setAction([fulfiller] { (*fulfiller)->reject(KJ_EXCEPTION(UNIMPLEMENTED, "cancelled")); });
    return kj::mv(pair.promise);
}

Failure failureOf(const kj::Exception &error, const std::shared_ptr<Cancellation> &cancellation, TimePoint deadline)
{
    if (cancellation && cancellation->isCancelled()) {
        return mayHaveRun(Reason::Cancelled, "cancelled");
    }
    if (std::chrono::steady_clock::now() >= deadline) {
        return mayHaveRun(Reason::DeadlinePassed, "no answer from the peer before the deadline");
    }
    return mayHaveRun(Reason::ConnectionLost, error.getDescription().cStr());
}

/// Waits for @p promise until the deadline or the cancellation; dropping the loser tells the peer to cancel.
template<typename Value>
asio::awaitable<Result<Value>> await(kj::Promise<Value> promise, TimePoint deadline,
                                     std::shared_ptr<Cancellation> cancellation)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    promise = promise.exclusiveJoin(rejectAt<Value>(executor, deadline));
    if (cancellation) {
        promise = promise.exclusiveJoin(rejectOn<Value>(cancellation));
    }
    Settled<Value> settled = co_await settle(kj::mv(promise));
    if (cancellation) {
        cancellation->clearAction();
    }
    if (settled.value) {
        co_return std::move(*settled.value);
    }
    co_return failureOf(*settled.error, cancellation, deadline);
}

bool maySend(CallHead &head, const PeerClient::SendPermit &permit, const Cancellation &cancellation)
{
    // Looked at after the wait for the connection: a caller who left meanwhile was told that nothing ran.
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

    void setPaidLinks(std::function<bool(const Endpoint &)> isPaid) { isPaidLink_ = std::move(isPaid); }

    asio::awaitable<Result<std::shared_ptr<PeerConnection>>> connection(Endpoint peer, TimePoint deadline,
                                                                        Lane lane = Lane::Calls)
    {
        const PeerAddress address{peer, lane};
        if (auto open = findOpen(address)) {
            co_return open;
        }
        tcp::socket socket(executor_);
        const Failure failure = co_await connect(socket, peer, deadline);
        if (failure.reason != Reason::None) {
            co_return failure;
        }
        // Another call may have connected meanwhile; one connection is enough.
        if (auto open = findOpen(address)) {
            co_return open;
        }
        co_return adopt(address, std::move(socket));
    }

    void closeIdle(TimePoint now, Duration idle)
    {
        std::erase_if(connections_, [&](const auto &entry) {
            const PeerConnection &connection = *entry.second;
            const bool unused = connection.openSince.empty() && now - connection.lastUse > idle;
            if (unused || connection.lost) {
                bytesOfClosed_ += connection.stream.bytesTransferred();
                return true;
            }
            return false;
        });
    }

    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

    [[nodiscard]] std::uint64_t bytesTransferred() const
    {
        std::uint64_t sum = bytesOfClosed_;
        for (const auto &entry : connections_) {
            sum += entry.second->stream.bytesTransferred();
        }
        return sum;
    }

private:
    std::shared_ptr<PeerConnection> findOpen(const PeerAddress &address)
    {
        const auto found = connections_.find(address);
        const bool usable = found != connections_.end() && !found->second->lost
            && !found->second->isSilent(std::chrono::steady_clock::now());
        return usable ? found->second : nullptr;
    }

    asio::awaitable<Failure> connect(tcp::socket &socket, const Endpoint &peer, TimePoint deadline)
    {
        const std::optional<tcp::endpoint> address = toTcpEndpoint(peer);
        if (!address) {
            co_return notRun(Reason::ConnectFailed, "no address: " + peer.value());
        }
        const TimePoint limit = std::min(deadline, std::chrono::steady_clock::now() + ConnectLimit);
        // No plain timer: when the process stood still over the limit, the connection and the timer end in the same
        // round of the loop, and a handler that is already queued can't be cancelled. It would close a socket that is
        // gone.
        SocketTimer timer(executor_, [&socket] {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
        timer.expireAt(limit);
        boost::system::error_code error;
        co_await socket.async_connect(*address, asio::redirect_error(asio::use_awaitable, error));
        const bool timedOut = std::chrono::steady_clock::now() >= limit;
        if (error || timedOut) {
            co_return notRun(Reason::ConnectFailed, timedOut ? "connecting took too long" : error.message());
        }
        co_return Failure{};
    }

    std::shared_ptr<PeerConnection> adopt(const PeerAddress &address, tcp::socket socket)
    {
        const bool paid = isPaidLink_ && isPaidLink_(address.peer);
        auto connection =
            std::make_shared<PeerConnection>(std::move(socket), paid ? PeerCoding::Deflate : PeerCoding::Plain);
        connection->lastUse = std::chrono::steady_clock::now();
        const auto markLost = [weak = std::weak_ptr<PeerConnection>(connection)] {
            if (const auto lost = weak.lock()) {
                lost->lost = true;
            }
        };
        connection->disconnected = connection->network.onDisconnect()
                                       .then([markLost] { markLost(); }, [markLost](kj::Exception &&) { markLost(); })
                                       .eagerlyEvaluate(nullptr);
        if (const auto old = connections_.find(address); old != connections_.end()) {
            bytesOfClosed_ += old->second->stream.bytesTransferred();
        }
        connections_.insert_or_assign(address, connection);
        return connection;
    }

    asio::any_io_executor executor_;
    std::function<bool(const Endpoint &)> isPaidLink_;
    std::map<PeerAddress, std::shared_ptr<PeerConnection>> connections_;
    std::uint64_t bytesOfClosed_ = 0;
};

namespace
{

/// One request for control, with what @p send makes of the peer's capability; the peer may take @p wait before it
/// answers. Precondition: what @p send refers to lives until the answer.
template<typename Value, typename Implementation, typename Send>
asio::awaitable<Result<Value>> ask(std::shared_ptr<Implementation> implementation, Endpoint peer, TimePoint deadline,
                                   Duration wait, const Send &send)
{
    auto connection = co_await implementation->connection(peer, deadline);
    if (!connection) {
        co_return connection.error();
    }
    const OpenCall open(connection.value(), wait);
    const PeerStream &stream = connection.value()->stream;
    const std::uint64_t before = stream.bytesTransferred();
    Result<Value> answer = co_await await(send(connection.value()->node), deadline, nullptr);
    if (!answer) {
        // Tells a peer that is silent from an answer that is too large for the link.
        Failure failure = answer.error();
        failure.detail += ", " + std::to_string(stream.bytesTransferred() - before) + " bytes passed meanwhile";
        co_return failure;
    }
    co_return answer;
}

}

PeerClient::PeerClient(asio::io_context &context)
    : implementation_(std::make_shared<Implementation>(context))
{
}

PeerClient::~PeerClient() = default;

asio::awaitable<Result<CallOutcome>> PeerClient::call(Endpoint peer, CallHead head, std::string body,
                                                      std::shared_ptr<AnswerReceiver> answer, SendPermit permit,
                                                      TimePoint deadline, std::shared_ptr<Cancellation> cancellation)
{
    const auto implementation = implementation_;
    const Lane lane = body.size() > BulkBytes ? Lane::Bulk : Lane::Calls;
    auto connection = co_await implementation->connection(peer, deadline, lane);
    if (!connection) {
        co_return connection.error();
    }
    if (!maySend(head, permit, *cancellation)) {
        co_return notRun(Reason::Cancelled, "ended before the call was sent");
    }
    const OpenCall open(connection.value());
    auto request = connection.value()->node.callRequest();
    WireConversion::write(request.initHead(), head);
    request.setBody(WireConversion::asData(body));
    request.setAnswer(kj::heap<AnswerSinkServer>(implementation->executor(), std::move(answer)));
    auto promise = request.send().then([](auto &&response) { return WireConversion::read(response.getOutcome()); });
    co_return co_await await(kj::mv(promise), deadline, std::move(cancellation));
}

asio::awaitable<Result<Catalog>> PeerClient::catalog(Endpoint peer, CatalogRequest request, TimePoint deadline)
{
    const auto send = [request](Wire::Node::Client &node) -> kj::Promise<Catalog> {
        auto message = node.catalogRequest();
        message.setHaveRoutes(request.have.routes.value());
        message.setHaveRevision(request.have.list.value());
        message.setWait(static_cast<std::uint32_t>(request.wait.count()));
        message.setKnown(static_cast<std::uint8_t>(request.known));
        return message.send().then([](auto &&response) { return WireConversion::read(response.getCatalog()); });
    };
    co_return co_await ask<Catalog>(implementation_, std::move(peer), deadline, request.wait, send);
}

asio::awaitable<Result<QuarantineUpdate>> PeerClient::quarantine(Endpoint peer, QuarantineUpdate update,
                                                                 TimePoint deadline)
{
    const auto send = [&update](Wire::Node::Client &node) -> kj::Promise<QuarantineUpdate> {
        auto message = node.quarantineRequest();
        WireConversion::write(message.initNews(), update);
        return message.send().then([](auto &&response) { return WireConversion::read(response.getNews()); });
    };
    co_return co_await ask<QuarantineUpdate>(implementation_, std::move(peer), deadline, Duration{0}, send);
}

asio::awaitable<Result<PeerProbe>> PeerClient::probe(Endpoint peer, TimePoint deadline)
{
    const auto send = [](Wire::Node::Client &node) -> kj::Promise<PeerProbe> {
        return node.probeRequest().send().then([](auto &&response) {
            return PeerProbe{WireConversion::read(response.getIdentity()), WireConversion::read(response.getReport())};
        });
    };
    co_return co_await ask<PeerProbe>(implementation_, std::move(peer), deadline, Duration{0}, send);
}

void PeerClient::setPaidLinks(std::function<bool(const Endpoint &)> isPaid)
{
    implementation_->setPaidLinks(std::move(isPaid));
}

void PeerClient::closeIdle(TimePoint now, Duration idle)
{
    implementation_->closeIdle(now, idle);
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
