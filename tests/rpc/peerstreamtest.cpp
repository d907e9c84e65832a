#include "rpc/peerstream.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "rpc/asioeventport.h"
#include "rpc/kjawait.h"

using namespace Egretpath;
using boost::asio::ip::tcp;

namespace
{

/// A typical head: the same names and nearly the same values for every @p number.
std::string repetitiveHead(int number)
{
    std::string text;
    for (int field = 0; field < 10; ++field) {
        text += "X-Field-" + std::to_string(field) + "=a value that the next call repeats;";
    }
    return text + "id=" + std::to_string(number);
}

std::string randomBytes(std::size_t count)
{
    std::mt19937_64 random(count);
    std::string bytes(count, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

/// Runs the loop of @p port until @p promise is fulfilled or rejected. Returns nothing if it is rejected.
std::optional<size_t> runUntilSettled(AsioEventPort &port, kj::Promise<size_t> promise)
{
    std::optional<size_t> result;
    const auto work = [&]() -> boost::asio::awaitable<void> {
        const PromiseResult<size_t> promiseResult = co_await awaitPromise(kj::mv(promise));
        result = promiseResult.value;
        port.context().stop();
    };
    boost::asio::co_spawn(port.context(), work, boost::asio::detached);
    port.context().restart();
    port.context().run();
    return result;
}

/// The two ends of a connection on loopback, with the event loop that runs them.
struct ConnectionPair
{
    explicit ConnectionPair(PeerCoding coding)
        : sockets(connectSockets(port.context()))
        , client(std::move(sockets.first), coding)
        , server(std::move(sockets.second))
    {
    }

    static std::pair<tcp::socket, tcp::socket> connectSockets(boost::asio::io_context &context)
    {
        tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
        tcp::socket client(context);
        client.connect(acceptor.local_endpoint());
        return {std::move(client), acceptor.accept()};
    }

    /// Sends @p text from one end and returns what the other end reads.
    std::string transfer(PeerStream &from, PeerStream &to, const std::string &text)
    {
        std::string read(text.size(), '\0');
        const auto written = from.write(text.data(), text.size()).eagerlyEvaluate(nullptr);
        CHECK(readExactly(to, read.data(), read.size()) == text.size());
        return read;
    }

    /// Reads exactly @p size bytes. Returns how many were read; 0 if the read failed.
    std::size_t readExactly(PeerStream &from, char *buffer, std::size_t size)
    {
        return runUntilSettled(port, from.tryRead(buffer, size, size)).value_or(0);
    }

    AsioEventPort port;
    std::pair<tcp::socket, tcp::socket> sockets;
    PeerStream client;
    PeerStream server;
};

std::uint64_t bytesForHeads(PeerCoding coding)
{
    ConnectionPair connection(coding);
    for (int number = 0; number < 50; ++number) {
        CHECK(connection.transfer(connection.client, connection.server, repetitiveHead(number))
              == repetitiveHead(number));
        CHECK(connection.transfer(connection.server, connection.client, repetitiveHead(number))
              == repetitiveHead(number));
    }
    return connection.client.bytesTransferred();
}

/// Whether the accepting side ends a connection on which it reads @p bytes.
bool isConnectionEndedBy(std::string_view bytes)
{
    AsioEventPort port;
    auto sockets = ConnectionPair::connectSockets(port.context());
    PeerStream server(std::move(sockets.second));
    boost::asio::write(sockets.first, boost::asio::buffer(bytes));
    char byte = 0;
    return !runUntilSettled(port, server.tryRead(&byte, 1, 1)).has_value();
}

}

// Guards against high traffic costs. Two of five answers come over a link between regions, which is paid for by volume.
// Each answer and each declined call has a head of half a KiB that hardly differs from the previous one.
TEST_CASE("heads that repeat the previous one take less than a fifth of their bytes on a compressed stream")
{
    CHECK(bytesForHeads(PeerCoding::Deflate) * 5 < bytesForHeads(PeerCoding::Plain));
}

TEST_CASE("bodies of any size and content arrive unchanged in both codings")
{
    for (const PeerCoding coding : {PeerCoding::Plain, PeerCoding::Deflate}) {
        ConnectionPair connection(coding);
        for (const std::size_t size : {1U, 4096U, 4097U, 300'000U}) {
            const std::string bytes = randomBytes(size);
            CHECK(connection.transfer(connection.client, connection.server, bytes) == bytes);
            CHECK(connection.transfer(connection.server, connection.client, bytes) == bytes);
            const std::string zeros(size, '\0');
            CHECK(connection.transfer(connection.client, connection.server, zeros) == zeros);
        }
    }
}

TEST_CASE("a read that asks for less leaves the rest for the next one")
{
    ConnectionPair connection(PeerCoding::Deflate);
    const auto written = connection.client.write("abcdef", 6).eagerlyEvaluate(nullptr);
    std::string read(6, '\0');
    CHECK(connection.readExactly(connection.server, read.data(), 2) == 2);
    CHECK(connection.readExactly(connection.server, read.data() + 2, 4) == 4);
    CHECK(read == "abcdef");
}

// Guards against misread bytes when a program that is not a node, or a node of another version, connects to the port.
TEST_CASE("an unknown coding ends the connection")
{
    CHECK(isConnectionEndedBy("GET / HTTP/1.1\r\n\r\n"));
}

TEST_CASE("bytes that are no deflate stream end the connection")
{
    CHECK(isConnectionEndedBy("\x01\xff\xff\xff\xff\xff\xff\xff"));
}
