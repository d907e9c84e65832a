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

/// Freed memory is filled with this, so that a use of it shows.
constexpr int FreedMemoryFill = 0x5a;

/// Longer than a connection may take.
constexpr Milliseconds StandStill{400};
constexpr std::chrono::seconds Patience{5};
asio::awaitable<void> askAndWait(PeerClient &client, Endpoint peer)
{
    const CatalogRequest request{CatalogVersions(), Milliseconds(1000), StoreState::Available};
    (void)co_await client.catalog(std::move(peer), request, std::chrono::steady_clock::now() + Patience);
}

/// More than Asio keeps memory of ended coroutines for.
constexpr std::size_t Attempts = 20;

asio::awaitable<void> ask(PeerClient &client, Endpoint peer, std::optional<Result<PeerProbe>> &outcome)
{
    outcome = co_await client.probe(std::move(peer), std::chrono::steady_clock::now() + Patience);
}

}

// Callers of one VM see all their connections break at once: its node's process has died. The VM was slow, and a
// connection to another node was made just as its time ran out, so that the loop found both in one round. The attempt
// ended by the first, and the second reached for the socket, which was gone with it.
TEST_CASE("a connection that is made as its limit passes is given up, and nothing is touched after that")
{
    mallopt(M_PERTURB, FreedMemoryFill);
    AsioEventPort loop;
    asio::ip::tcp::acceptor acceptor(loop.context(), {asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint peer("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    PeerClient client(loop.context());
    std::vector<std::optional<Result<PeerProbe>>> outcomes(Attempts);
    for (auto &outcome : outcomes) {
        asio::co_spawn(loop.context(), ask(client, peer, outcome), asio::detached);
    }
    // The attempts begin, and the process stands still until their limits are over.
    for (std::size_t begun = 0; begun < Attempts; ++begun) {
        loop.context().poll_one();
    }
    std::this_thread::sleep_for(StandStill);
    loop.context().run_for(Milliseconds(200));
    for (const auto &outcome : outcomes) {
        REQUIRE(outcome.has_value());
        REQUIRE_FALSE(outcome->has_value());
        CHECK(outcome->error().verdict == Verdict::NotRun);
        CHECK(outcome->error().reason == Reason::ConnectFailed);
    }
    mallopt(M_PERTURB, 0);
}

// Uploads to one service fail for all callers of a VM, each at its own time-out, for as long as the node runs; other
// nodes reach the same upstream. A device on the way has forgotten the connection between the two nodes: it takes
// bytes, passes nothing on and closes nothing, and the system's own probes of the connection are answered on the way.
TEST_CASE("a connection on which nothing arrives any more is left for a new one")
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
    std::optional<Result<PeerProbe>> soon;
    std::optional<Result<PeerProbe>> later;
    asio::co_spawn(loop.context(), ask(client, peer, first), asio::detached);
    loop.context().run_for(Milliseconds(100));
    asio::co_spawn(loop.context(), ask(client, peer, soon), asio::detached);
    loop.context().run_for(Milliseconds(100));
    CHECK(accepted.size() == 1);
    loop.context().run_for(Milliseconds(700));
    asio::co_spawn(loop.context(), ask(client, peer, later), asio::detached);
    loop.context().run_for(Milliseconds(100));
    CHECK(accepted.size() == 2);
    // Those that wait on it go on waiting: a slow peer looks the same for a while.
    CHECK_FALSE(first.has_value());
}

TEST_CASE("a question that the peer may take its time with does not make its connection look silent")
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
    asio::co_spawn(loop.context(), askAndWait(client, peer), asio::detached);
    loop.context().run_for(Milliseconds(800));
    std::optional<Result<PeerProbe>> outcome;
    asio::co_spawn(loop.context(), ask(client, peer, outcome), asio::detached);
    loop.context().run_for(Milliseconds(100));
    CHECK(accepted == 1);
}
