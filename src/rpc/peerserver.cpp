#include "rpc/peerserver.h"

#include <algorithm>
#include <list>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/async.h>
#include <kj/debug.h>

#include "http/tcpendpoint.h"
#include "rpc/kjawait.h"
#include "rpc/peerstream.h"
#include "rpc/wirebodysource.h"
#include "rpc/wireconversion.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// How long a catalog request may be held until there is something newer. A longer wait would only keep the requests of
/// nodes that have gone.
constexpr Milliseconds MaxCatalogWait{5000};

/// Sends the pieces of a large answer back to the ingress.
class WireAnswerReceiver final : public AnswerReceiver
{
public:
    explicit WireAnswerReceiver(Wire::AnswerSink::Client sink)
        : sink_(kj::mv(sink))
    {
    }
    ~WireAnswerReceiver() noexcept override = default;
    WireAnswerReceiver(const WireAnswerReceiver &) = delete;
    WireAnswerReceiver &operator=(const WireAnswerReceiver &) = delete;

    asio::awaitable<bool> begin(AnswerHead head) override
    {
        auto request = sink_.beginRequest();
        WireConversion::write(request.initHead(), head);
        const auto result = co_await awaitPromise(request.send().ignoreResult().then([] { return true; }));
        co_return result.value.has_value();
    }

    asio::awaitable<bool> write(std::string chunk) override
    {
        auto request = sink_.writeRequest();
        request.setChunk(WireConversion::asData(chunk));
        const auto result = co_await awaitPromise(request.send().then([] { return true; }));
        co_return result.value.has_value();
    }

    asio::awaitable<bool> end() override
    {
        const auto result = co_await awaitPromise(sink_.endRequest().send().ignoreResult().then([] { return true; }));
        co_return result.value.has_value();
    }

private:
    Wire::AnswerSink::Client sink_;
};

/// Cancels the call when its promise is dropped. KJ drops it when the ingress sends a Finish message or the connection
/// is lost.
class CancelOnDrop
{
public:
    explicit CancelOnDrop(std::shared_ptr<Cancellation> cancellation)
        : cancellation_(std::move(cancellation))
    {
    }
    CancelOnDrop(CancelOnDrop &&) = default;
    CancelOnDrop &operator=(CancelOnDrop &&) = default;
    CancelOnDrop(const CancelOnDrop &) = delete;
    CancelOnDrop &operator=(const CancelOnDrop &) = delete;
    ~CancelOnDrop()
    {
        if (cancellation_) {
            cancellation_->cancel();
        }
    }

private:
    std::shared_ptr<Cancellation> cancellation_;
};

/// The bootstrap capability of a connection: passes the calls of other nodes to a PeerService.
class NodeServer final : public Wire::Node::Server
{
public:
    /// @p stopped: fulfilled when the node runs no call any more; outlives the server.
    NodeServer(asio::any_io_executor executor, PeerService &service, kj::ForkedPromise<void> &stopped)
        : executor_(std::move(executor))
        , service_(service)
        , stopped_(stopped)
    {
    }

protected:
    kj::Promise<void> call(CallContext context) override
    {
        const auto params = context.getParams();
        auto cancellation = std::make_shared<Cancellation>();
        auto work = service_.call(WireConversion::read(params.getHead()), WireConversion::readBytes(params.getBody()),
                                  std::make_shared<WireAnswerReceiver>(params.getAnswer()), cancellation);
        context.releaseParams();
        return answerWhenDone(context, std::move(work), std::move(cancellation));
    }

    kj::Promise<void> callWithBody(CallWithBodyContext context) override
    {
        const auto params = context.getParams();
        auto cancellation = std::make_shared<Cancellation>();
        auto work = service_.callWithBody(WireConversion::read(params.getHead()),
                                          std::make_shared<WireBodySource>(params.getBody(), params.getSize()),
                                          std::make_shared<WireAnswerReceiver>(params.getAnswer()), cancellation);
        context.releaseParams();
        return answerWhenDone(context, std::move(work), std::move(cancellation));
    }

    kj::Promise<void> probe(ProbeContext context) override
    {
        const PeerProbe probe = service_.probe();
        WireConversion::write(context.getResults().initIdentity(), probe.identity);
        WireConversion::write(context.getResults().initReport(), probe.report);
        return kj::READY_NOW;
    }

    kj::Promise<void> catalog(CatalogContext context) override
    {
        const auto params = context.getParams();
        CatalogRequest request;
        request.have = {RouteVersion(params.getHaveRoutes()), StoreRevision(params.getHaveRevision()),
                        StoreRevision(params.getHaveEvacuations())};
        request.wait = std::min(Milliseconds(params.getWait()), MaxCatalogWait);
        const bool isNotAvailable = params.getKnown() != static_cast<std::uint8_t>(StoreState::Available);
        request.knownState = isNotAvailable ? WireConversion::readStoreState(params.getKnown()) : StoreState::Available;
        request.takesChanges = params.getTakesChanges();
        request.wantsConfirmation = params.getWantsConfirmation();
        return toPromise(executor_, service_.catalog(request)).then([context, request](Catalog catalog) mutable {
            if (!request.takesChanges && !catalog.routes.empty()) {
                kj::throwRecoverableException(
                    KJ_EXCEPTION(UNIMPLEMENTED, "changes of routes, which the asker can't read"));
            }
            WireConversion::write(context.getResults().initCatalog(), catalog);
        });
    }

    kj::Promise<void> quarantine(QuarantineContext context) override
    {
        const QuarantineUpdate update = service_.quarantine(WireConversion::read(context.getParams().getNews()));
        WireConversion::write(context.getResults().initNews(), update);
        return kj::READY_NOW;
    }

    kj::Promise<void> stopped(StoppedContext context) override
    {
        context.allowCancellation();
        return stopped_.addBranch();
    }

private:
    template<typename Context>
    kj::Promise<void> answerWhenDone(Context context, asio::awaitable<CallOutcome> work,
                                     std::shared_ptr<Cancellation> cancellation)
    {
        context.allowCancellation();
        return toPromise(executor_, std::move(work))
            .then([context](CallOutcome outcome) mutable {
                WireConversion::write(context.getResults().initOutcome(), outcome);
            })
            .attach(CancelOnDrop(std::move(cancellation)));
    }

    asio::any_io_executor executor_;
    PeerService &service_;
    kj::ForkedPromise<void> &stopped_;
};

/// An accepted connection with its RPC state.
struct ServedConnection
{
    ServedConnection(tcp::socket socket, const asio::any_io_executor &executor, PeerService &service,
                     kj::ForkedPromise<void> &stopped)
        : stream(std::move(socket))
        , network(stream, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(network, kj::heap<NodeServer>(executor, service, stopped)))
    {
    }

    PeerStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    kj::Promise<void> disconnected = nullptr;
};

}

class PeerServer::Implementation : public std::enable_shared_from_this<PeerServer::Implementation>
{
public:
    Implementation(asio::io_context &context, PeerService &service, std::size_t maxConnections)
        : context_(context)
        , executor_(context.get_executor())
        , service_(service)
        , maxConnections_(maxConnections)
        , stop_(kj::newPromiseAndFulfiller<void>())
        , stopped_(stop_.promise.fork())
    {
    }

    void listen(const Endpoint &endpoint)
    {
        const std::optional<tcp::endpoint> address = toTcpEndpoint(endpoint);
        if (!address) {
            throw boost::system::system_error(asio::error::invalid_argument, endpoint.value());
        }
        tcp::acceptor &acceptor = acceptors_.emplace_back(context_);
        acceptor.open(address->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*address);
        acceptor.listen();
        accept(acceptor);
    }

    void stopAccepting()
    {
        for (tcp::acceptor &acceptor : acceptors_) {
            acceptBacklog(acceptor);
            boost::system::error_code ignored;
            acceptor.close(ignored);
        }
    }

    void announceStop()
    {
        stopAccepting();
        stop_.fulfiller->fulfill();
    }

    void close()
    {
        stopAccepting();
        isClosed_ = true;
        connections_.clear();
    }

    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

    [[nodiscard]] bool hasUnsentAnswers() const
    {
        return std::any_of(connections_.begin(), connections_.end(),
                           [](const ServedConnection &connection) { return connection.stream.isWriting(); });
    }

private:
    void accept(tcp::acceptor &acceptor)
    {
        acceptor.async_accept(
            [self = shared_from_this(), &acceptor](const boost::system::error_code &error, tcp::socket socket) {
                if (error == asio::error::operation_aborted || !acceptor.is_open()) {
                    return;
                }
                if (!error && self->connections_.size() < self->maxConnections_) {
                    self->serve(std::move(socket));
                }
                self->accept(acceptor);
            });
    }

    /// Accepts the connections in the listener's backlog. The system has already established them: if they were reset,
    /// their peers would not know that the calls on them were not run.
    void acceptBacklog(tcp::acceptor &acceptor)
    {
        boost::system::error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(context_);
            acceptor.accept(socket, error);
            if (!error && connections_.size() < maxConnections_) {
                serve(std::move(socket));
            }
        }
    }

    void serve(tcp::socket socket)
    {
        connections_.emplace_back(std::move(socket), executor_, service_, stopped_);
        const auto position = std::prev(connections_.end());
        position->disconnected =
            position->network.onDisconnect()
                .then([this, position] { remove(position); }, [this, position](kj::Exception &&) { remove(position); })
                .eagerlyEvaluate(nullptr);
    }

    void remove(std::list<ServedConnection>::iterator position)
    {
        // Posted, since a connection must not be destroyed inside a continuation of its own promise.
        asio::post(executor_, [self = weak_from_this(), position] {
            const auto server = self.lock();
            if (server && !server->isClosed_) {
                server->connections_.erase(position);
            }
        });
    }

    asio::io_context &context_;
    /// A list, since accept() keeps references to the elements.
    std::list<tcp::acceptor> acceptors_;
    asio::any_io_executor executor_;
    PeerService &service_;
    std::size_t maxConnections_;
    kj::PromiseFulfillerPair<void> stop_;
    kj::ForkedPromise<void> stopped_;
    std::list<ServedConnection> connections_;
    bool isClosed_ = false;
};

PeerServer::PeerServer(asio::io_context &context, PeerService &service, std::size_t maxConnections)
    : implementation_(std::make_shared<Implementation>(context, service, maxConnections))
{
}

PeerServer::~PeerServer()
{
    implementation_->close();
}

void PeerServer::listen(const Endpoint &endpoint)
{
    implementation_->listen(endpoint);
}

void PeerServer::stopAccepting()
{
    implementation_->stopAccepting();
}

void PeerServer::announceStop()
{
    implementation_->announceStop();
}

std::size_t PeerServer::connectionCount() const
{
    return implementation_->connectionCount();
}

bool PeerServer::hasUnsentAnswers() const
{
    return implementation_->hasUnsentAnswers();
}

}
