#include "rpc/peerclient.h"

#include <functional>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <malloc.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "rpc/asioeventport.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// Freed memory is filled with this value, so that an access to it has visible effects.
constexpr int FreedMemoryFill = 0x5a;

/// Longer than the time limit of a connection attempt.
constexpr Milliseconds StallTime{400};
constexpr std::chrono::seconds RequestTimeout{5};

asio::awaitable<void> requestCatalog(PeerClient &client, Endpoint peer)
{
    const CatalogRequest request{CatalogVersions(), Milliseconds(1000), StoreState::Available};
    (void)co_await client.catalog(std::move(peer), request, std::chrono::steady_clock::now() + RequestTimeout);
}

/// More than the number of ended coroutines whose memory Asio keeps for reuse.
constexpr std::size_t ConnectAttempts = 20;

asio::awaitable<void> sendProbe(PeerClient &client, Endpoint peer, std::optional<Result<PeerProbe>> &outcome)
{
    outcome = co_await client.probe(std::move(peer), std::chrono::steady_clock::now() + RequestTimeout);
}

}

// Guards against a use of freed memory that crashes the node, which breaks all connections of its VM's callers. On a
// slow VM, a connection is made just as its time limit passes, so the event loop finds both in one round. The
// connection ends the attempt, and the handler of the timer then accesses the socket, which was destroyed with the
// attempt.
TEST_CASE("a connection that is made just as its time limit passes is given up, and its socket is not used after that")
{
    mallopt(M_PERTURB, FreedMemoryFill);
    AsioEventPort loop;
    asio::ip::tcp::acceptor acceptor(loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint peer("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    PeerClient client(loop.context());
    std::vector<std::optional<Result<PeerProbe>>> outcomes(ConnectAttempts);
    for (auto &outcome : outcomes) {
        asio::co_spawn(loop.context(), sendProbe(client, peer, outcome), asio::detached);
    }
    // The attempts start, and the process stalls until their time limits have passed.
    for (std::size_t started = 0; started < ConnectAttempts; ++started) {
        loop.context().poll_one();
    }
    std::this_thread::sleep_for(StallTime);
    loop.context().run_for(Milliseconds(200));
    for (const auto &outcome : outcomes) {
        REQUIRE(outcome.has_value());
        REQUIRE_FALSE(outcome->has_value());
        CHECK(outcome->error().verdict == Verdict::NotRun);
        CHECK(outcome->error().reason == Reason::ConnectFailed);
    }
    mallopt(M_PERTURB, 0);
}

// Guards against uploads to one service that fail by timeout for all callers of a VM as long as the node runs, while
// other nodes reach the same upstream. A network device between the two nodes has dropped its state of their
// connection: it takes bytes, forwards nothing, closes nothing, and answers the TCP keepalive probes.
TEST_CASE("a connection on which nothing more arrives is replaced by a new one")
{
    AsioEventPort loop;
    asio::ip::tcp::acceptor acceptor(loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint peer("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    std::vector<asio::ip::tcp::socket> accepted;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (!error) {
                accepted.push_back(std::move(socket));
                accept();
            }
        });
    };
    accept();
    PeerClient client(loop.context());
    std::optional<Result<PeerProbe>> first;
    std::optional<Result<PeerProbe>> beforeSilence;
    std::optional<Result<PeerProbe>> afterSilence;
    asio::co_spawn(loop.context(), sendProbe(client, peer, first), asio::detached);
    loop.context().run_for(Milliseconds(100));
    asio::co_spawn(loop.context(), sendProbe(client, peer, beforeSilence), asio::detached);
    loop.context().run_for(Milliseconds(100));
    CHECK(accepted.size() == 1);
    loop.context().run_for(Milliseconds(700));
    asio::co_spawn(loop.context(), sendProbe(client, peer, afterSilence), asio::detached);
    loop.context().run_for(Milliseconds(100));
    CHECK(accepted.size() == 2);
    // Requests that wait on the old connection keep waiting, since a slow peer looks the same for a while.
    CHECK_FALSE(first.has_value());
}

TEST_CASE("a request that the peer may hold does not make its connection look silent")
{
    AsioEventPort loop;
    asio::ip::tcp::acceptor acceptor(loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint peer("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    int accepted = 0;
    std::vector<asio::ip::tcp::socket> sockets;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
            if (!error) {
                ++accepted;
                sockets.push_back(std::move(socket));
                accept();
            }
        });
    };
    accept();
    PeerClient client(loop.context());
    asio::co_spawn(loop.context(), requestCatalog(client, peer), asio::detached);
    loop.context().run_for(Milliseconds(800));
    std::optional<Result<PeerProbe>> outcome;
    asio::co_spawn(loop.context(), sendProbe(client, peer, outcome), asio::detached);
    loop.context().run_for(Milliseconds(100));
    CHECK(accepted == 1);
}
