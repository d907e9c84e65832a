// Keeps connections to one HTTP server open: idle-connections ADDRESS:PORT COUNT PATH
//
// One request is sent on each connection, so that the server allocates what a caller's connection needs. Then the
// connections stay idle. Prints `open COUNT` and exits at the end of its standard input.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace
{

constexpr int ArgumentCount = 4;

Tcp::endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

Tcp::socket openConnection(asio::io_context &context, const Tcp::endpoint &server, const std::string &request)
{
    Tcp::socket socket(context);
    socket.connect(server);
    asio::write(socket, asio::buffer(request));
    asio::streambuf answer;
    asio::read_until(socket, answer, "\r\n\r\n");
    return socket;
}

void holdConnections(const std::string &address, std::size_t count, const std::string &path)
{
    asio::io_context context;
    const Tcp::endpoint server = parseEndpoint(address);
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
    std::vector<Tcp::socket> connections;
    while (connections.size() < count) {
        connections.push_back(openConnection(context, server, request));
    }
    std::cout << "open " << count << std::endl;
    std::string line;
    while (std::getline(std::cin, line)) {
    }
}

}

int main(int argumentCount, char **arguments)
{
    if (argumentCount != ArgumentCount) {
        std::cerr << "usage: idle-connections ADDRESS:PORT COUNT PATH\n";
        return EXIT_FAILURE;
    }
    try {
        holdConnections(arguments[1], std::stoul(arguments[2]), arguments[3]);
    } catch (const std::exception &error) {
        std::cerr << "idle-connections: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
