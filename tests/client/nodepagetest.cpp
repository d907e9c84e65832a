#include "client/nodepage.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/tcpendpoint.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// Reads a page from a node that answers with @p answer, a moment later with @p later, and closes the connection.
Result<std::string> pageFrom(const std::string &answer, const std::string &later = {})
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const Endpoint node = toEndpoint(acceptor.local_endpoint());
    std::thread server([&acceptor, &answer, &later] {
        asio::ip::tcp::socket socket = acceptor.accept();
        asio::streambuf request;
        boost::system::error_code ignored;
        asio::read_until(socket, request, "\r\n\r\n", ignored);
        asio::write(socket, asio::buffer(answer), ignored);
        std::this_thread::sleep_for(Milliseconds(30));
        asio::write(socket, asio::buffer(later), ignored);
    });
    Result<std::string> page = readPages({node}, "/status", Milliseconds(1000)).front();
    server.join();
    return page;
}

}

TEST_CASE("a page whose status is none, or with a field that can't be one, is none")
{
    const std::string end = "Content-Length: 4\r\n\r\npage";
    CHECK(pageFrom("HTTP/1.1 200 OK\r\n" + end).value() == "page");
    for (const char *status : {"000", "099", "600", "999"}) {
        CHECK_FALSE(pageFrom("HTTP/1.1 " + std::string(status) + " Odd\r\n" + end));
    }
    for (const char *field : {"X Odd: 1\r\n", "X\x01Odd: 1\r\n", "X-Odd : 1\r\n", ": 1\r\n"}) {
        CHECK_FALSE(pageFrom("HTTP/1.1 200 OK\r\n" + std::string(field) + end));
    }
}

TEST_CASE("what follows the head of a page whose status is none is never read as a page")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse";
    const std::string head = "HTTP/1.1 000 Odd\r\nContent-Length: " + std::to_string(answer.size()) + "\r\n\r\n";
    CHECK_FALSE(pageFrom(head, answer));
}
