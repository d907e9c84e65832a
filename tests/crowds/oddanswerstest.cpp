#include <string>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "crowds/crowddeployment.h"

using namespace Egretpath;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t MB = 1'000'000;
constexpr std::uint16_t BadGateway = 502;

asio::awaitable<void> pause(tcp::socket &socket, Milliseconds duration)
{
    asio::steady_timer timer(socket.get_executor(), duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// Answers at once with a part of an answer without a length, and resets the connection during the upload.
asio::awaitable<void> answerPartAndReset(tcp::socket &socket, RawRequest request)
{
    if (isOrdinaryOrder(request)) {
        co_await answerWithSize(socket, std::move(request));
        co_return;
    }
    (void)co_await writeText(socket, "HTTP/1.1 200 OK\r\n" + successFields(request) + "\r\npart of answer");
    co_await pause(socket, Milliseconds(60));
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

/// Answers with @p head and, a moment later, bytes that have the form of an answer.
RawUpstream::Answerer answerOddly(std::string start, std::string fields)
{
    return [start, fields](tcp::socket &socket, RawRequest request) -> asio::awaitable<void> {
        if (isOrdinaryOrder(request)) {
            co_await answerWithSize(socket, std::move(request));
            co_return;
        }
        const std::string body = "HTTP/1.1 200 OK\r\n" + successFields(request) + "Content-Length: 5\r\n\r\nfalse";
        std::string head = start + "\r\n" + successFields(request) + fields;
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        (void)co_await writeText(socket, std::move(head));
        co_await pause(socket, Milliseconds(50));
        (void)co_await writeText(socket, body);
        co_await pause(socket, Milliseconds(300));
    };
}

}

TEST_CASE("a part of an answer without a length is not passed on as a whole one when the connection is reset during "
          "the upload")
{
    const char *path = GENERATE(CrowdDeployment::HerePath, CrowdDeployment::AwayPath);
    const std::size_t size = GENERATE(5 * MB, 25 * MB);
    CrowdDeployment deployment({260, 64 * MB}, answerPartAndReset);
    REQUIRE(deployment.waitUntilServing());
    for (int upload = 0; upload < 4; ++upload) {
        const PlainAnswer answer = deployment.order(path, std::string(size, 'u'));
        CHECK((answer.status == BadGateway || answer.status == 0));
    }
}

TEST_CASE("an answer whose status is none is a failure, and its body is no answer")
{
    const char *status = GENERATE("000", "099", "600", "700", "999");
    const char *path = GENERATE(CrowdDeployment::HerePath, CrowdDeployment::AwayPath);
    CrowdDeployment deployment({}, answerOddly("HTTP/1.1 " + std::string(status) + " Odd", ""));
    REQUIRE(deployment.waitUntilServing());
    const PlainAnswer answer = deployment.order(path, "odd request");
    CHECK(answer.status == BadGateway);
    CHECK(fieldOf(answer.head, "X-Egretpath-Attempt-Id") == std::string("order"));
}

TEST_CASE("an answer with a field that can't be one is a failure")
{
    const std::string fields =
        GENERATE(as<std::string>(), "X Odd: 1\r\n", "X-Odd : 1\r\n", "X\tOdd: 1\r\n", "X\x01Odd: 1\r\n",
                 "X\x7fOdd: 1\r\n", "X\xe4Odd: 1\r\n", ": 1\r\n", "X-Odd\r\n", "X-Odd: a\x01z\r\n");
    CrowdDeployment deployment({}, answerOddly("HTTP/1.1 200 OK", fields));
    REQUIRE(deployment.waitUntilServing());
    for (const char *path : {CrowdDeployment::HerePath, CrowdDeployment::AwayPath}) {
        CHECK(deployment.order(path, "odd request").status == BadGateway);
    }
}
