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
#include "rpc/wireconversion.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// An asker may wait so long for something newer; more would only keep the calls of those that are gone.
constexpr Milliseconds LongestCatalogWait{5000};

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
        const auto settled = co_await settle(request.send().ignoreResult().then([] { return true; }));
        co_return settled.value.has_value();
    }

    asio::awaitable<bool> write(std::string chunk) override
    {
        auto request = sink_.writeRequest();
        request.setChunk(WireConversion::asData(chunk));
        const auto settled = co_await settle(request.send().then([] { return true; }));
        co_return settled.value.has_value();
    }

    asio::awaitable<bool> end() override
    {
        const auto settled = co_await settle(sink_.endRequest().send().ignoreResult().then([] { return true; }));
        co_return settled.value.has_value();
    }

private:
    Wire::AnswerSink::Client sink_;
};

/// Cancels when the call's promise is dropped: the ingress has sent a Finish message or its connection is gone.
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

/// The bootstrap capability of a connection.
class NodeServer final : public Wire::Node::Server
{
public:
    NodeServer(asio::any_io_executor executor, PeerService &service)
        : executor_(std::move(executor))
        , service_(service)
    {
    }

protected:
    kj::Promise<void> call(CallContext context) override
    {
        const auto params = context.getParams();
        auto cancellation = std::make_shared<Cancellation>();
        auto work = service_.call(WireConversion::read(params.getHead()), WireConversion::readBytes(params.getBody()),
                                  std::make_shared<WireAnswerReceiver>(params.getAnswer()), cancellation);
        context.allowCancellation();
        return toPromise(executor_, std::move(work))
            .then([context](CallOutcome outcome) mutable {
                WireConversion::write(context.getResults().initOutcome(), outcome);
            })
            .attach(CancelOnDrop(std::move(cancellation)));
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
        request.have = {RouteVersion(params.getHaveRoutes()), StoreRevision(params.getHaveRevision())};
        request.wait = std::min(Milliseconds(params.getWait()), LongestCatalogWait);
        const bool isKnown = params.getKnown() != static_cast<std::uint8_t>(StoreState::Available);
        request.known = isKnown ? WireConversion::readStoreState(params.getKnown()) : StoreState::Available;
        return toPromise(executor_, service_.catalog(request)).then([context](Catalog catalog) mutable {
            WireConversion::write(context.getResults().initCatalog(), catalog);
        });
    }

    kj::Promise<void> quarantine(QuarantineContext context) override
    {
        const QuarantineUpdate update = service_.quarantine(WireConversion::read(context.getParams().getNews()));
        WireConversion::write(context.getResults().initNews(), update);
        return kj::READY_NOW;
    }

private:
    asio::any_io_executor executor_;
    PeerService &service_;
};

/// One accepted connection with its RPC state.
struct ServedConnection
{
    ServedConnection(tcp::socket socket, const asio::any_io_executor &executor, PeerService &service)
        : stream(std::move(socket))
        , network(stream, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(network, kj::heap<NodeServer>(executor, service)))
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
    Implementation(asio::io_context &context, PeerService &service, std::size_t connectionCap)
        : context_(context)
        , executor_(context.get_executor())
        , service_(service)
        , connectionCap_(connectionCap)
    {
    }

    void listen(const Endpoint &endpoint)
    {
        const std::optional<tcp::endpoint> parsed = toTcpEndpoint(endpoint);
        if (!parsed) {
            throw boost::system::system_error(asio::error::invalid_argument, endpoint.value());
        }
        tcp::acceptor &acceptor = acceptors_.emplace_back(context_);
        acceptor.open(parsed->protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(*parsed);
        acceptor.listen();
        accept(acceptor);
    }

    void stopAccepting()
    {
        for (tcp::acceptor &acceptor : acceptors_) {
            boost::system::error_code ignored;
            acceptor.close(ignored);
        }
    }

    void close()
    {
        stopAccepting();
        closed_ = true;
        connections_.clear();
    }

    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }

private:
    void accept(tcp::acceptor &acceptor)
    {
        acceptor.async_accept(
            [self = shared_from_this(), &acceptor](const boost::system::error_code &error, tcp::socket socket) {
                if (error == asio::error::operation_aborted || !acceptor.is_open()) {
                    return;
                }
                if (!error && self->connections_.size() < self->connectionCap_) {
                    self->serve(std::move(socket));
                }
                self->accept(acceptor);
            });
    }

    void serve(tcp::socket socket)
    {
        connections_.emplace_back(std::move(socket), executor_, service_);
        const auto position = std::prev(connections_.end());
        position->disconnected =
            position->network.onDisconnect()
                .then([this, position] { remove(position); }, [this, position](kj::Exception &&) { remove(position); })
                .eagerlyEvaluate(nullptr);
    }

    void remove(std::list<ServedConnection>::iterator position)
    {
        // Not destroyed here, inside a continuation of its own promise.
        asio::post(executor_, [self = weak_from_this(), position] {
            const auto server = self.lock();
            if (server && !server->closed_) {
                server->connections_.erase(position);
            }
        });
    }

    asio::io_context &context_;
    /// A list, since accept() keeps references.
    std::list<tcp::acceptor> acceptors_;
    asio::any_io_executor executor_;
    PeerService &service_;
    std::size_t connectionCap_;
    std::list<ServedConnection> connections_;
    bool closed_ = false;
};

PeerServer::PeerServer(asio::io_context &context, PeerService &service, std::size_t connectionCap)
    : implementation_(std::make_shared<Implementation>(context, service, connectionCap))
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

std::size_t PeerServer::connectionCount() const
{
    return implementation_->connectionCount();
}

}
