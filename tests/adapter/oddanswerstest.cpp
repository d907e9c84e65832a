#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "../http/eventloop.h"
#include "../http/rawconnection.h"
#include "platform/storeclient.h"

using namespace Egretpath;
using namespace Egretpath::Platform;
namespace asio = boost::asio;

namespace
{

/// What a call of the store gets that answers with @p answer, a moment later with @p later, and closes the connection.
StoreResult<StorePage> rangeFrom(const std::string &answer, const std::string &later = {})
{
    EventLoop loop;
    RawListener listener(loop.executor());
    StoreClient client(loop.executor(), listener.endpoint());
    StoreResult<StorePage> result = StoreFailure{};
    loop.run([&]() -> asio::awaitable<void> {
        asio::co_spawn(
            loop.executor(),
            [&]() -> asio::awaitable<void> {
                RawConnection server = co_await listener.accept();
                (void)co_await server.receiveUntil("\r\n\r\n");
                co_await server.send(answer);
                co_await loop.sleep(Milliseconds(30));
                co_await server.send(later);
                server.close();
            },
            asio::detached);
        result = co_await client.range("servers/", StoreKey());
    });
    return result;
}

const std::string EmptyPage = R"({"items":[],"has_more":false,"at":7})";

std::string answerWith(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(EmptyPage.size()) + "\r\n\r\n"
        + EmptyPage;
}

}

TEST_CASE("an answer of the store whose status is none, or with a field that can't be one, is none")
{
    CHECK(rangeFrom(answerWith("200 OK", "X-Odd: 1\r\n")));
    for (const char *status : {"000 Odd", "099 Odd", "600 Odd", "999 Odd"}) {
        CHECK_FALSE(rangeFrom(answerWith(status, "")));
    }
    for (const char *field : {"X Odd: 1\r\n", "X\tOdd: 1\r\n", "X\x01Odd: 1\r\n", "X-Odd : 1\r\n", ": 1\r\n"}) {
        CHECK_FALSE(rangeFrom(answerWith("200 OK", field)));
    }
}

TEST_CASE("what follows a head of the store whose status is none is never read as an answer")
{
    const std::string answer = answerWith("200 OK", "");
    const std::string head = "HTTP/1.1 000 Odd\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n";
    CHECK_FALSE(rangeFrom(head, answer));
}
