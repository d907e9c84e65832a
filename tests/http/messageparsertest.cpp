#include "http/messageparser.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace Egretpath;

namespace
{

/// What a server makes of a byte stream.
struct Reading
{
    bool refused = false;
    bool done = false;
    std::string target;
    std::string body;

    friend bool operator==(const Reading &, const Reading &) = default;
};

void append(ReadBuffer &buffer, std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t count = std::min(buffer.prepare(), bytes.size());
        REQUIRE(count > 0);
        std::memcpy(buffer.space(), bytes.data(), count);
        buffer.commit(count);
        bytes.remove_prefix(count);
    }
}

/// Feeds @p stream in pieces of the given lengths, in turn.
Reading readInPieces(std::string_view stream, const std::vector<std::size_t> &lengths)
{
    RequestParser parser(1000, 1000);
    ReadBuffer buffer(10000);
    Reading reading;
    for (std::size_t piece = 0; !stream.empty() && !reading.refused && !parser.done(); ++piece) {
        const std::size_t length = std::min(lengths[piece % lengths.size()], stream.size());
        append(buffer, stream.substr(0, length));
        stream.remove_prefix(length);
        reading.refused = parser.feed(buffer) != MessageProblem::None;
        reading.body += parser.takeBody();
    }
    reading.done = parser.done();
    reading.target = parser.headDone() ? parser.head().target : std::string();
    if (reading.refused) {
        return Reading{true, false, {}, {}};
    }
    return reading;
}

const std::string Start = "POST /a HTTP/1.1\r\nHost: h\r\n";

const std::vector<std::string> Streams{
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    Start + "Content-Length: 5\r\n\r\n12345",
    Start + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    Start + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n1;x=y\r\n6\r\n0\r\nTrailer: t\r\n\r\n",
    Start + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nContent-Length: 1\r\n\r\n",
    Start + "Transfer-Encoding: chunked\r\n\r\n5\r\n123456\r\n0\r\n\r\n",
    Start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    Start + "X-Folded: a\r\n b\r\n\r\n",
    Start + "X-Folded:\r\n b\r\n\r\n",
    Start + "X-Folded: a\r\n \r\n\r\n",
    Start + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    Start + "Content-Length : 1\r\n\r\nx",
    Start + "Host: again\r\n\r\n",
};

}

// TCP may cut a request anywhere. A parser that judges a piece differently from the whole lets a caller choose, by its
// timing, whether the same bytes are one request or two.
TEST_CASE("a request means the same however it is cut into pieces")
{
    CHECK(rc::check([] {
        const std::string stream = *rc::gen::elementOf(Streams);
        const auto lengths = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange(1, 12)));
        RC_ASSERT(readInPieces(stream, lengths) == readInPieces(stream, {stream.size()}));
    }));
    for (const std::string &stream : Streams) {
        INFO(stream);
        CHECK(readInPieces(stream, {1}) == readInPieces(stream, {stream.size()}));
    }
}

TEST_CASE("whole requests are done, with their body and without their framing")
{
    CHECK(readInPieces(Streams[0], {3}) == Reading{false, true, "/a", ""});
    CHECK(readInPieces(Streams[1], {3}) == Reading{false, true, "/a", "12345"});
    CHECK(readInPieces(Streams[3], {3}) == Reading{false, true, "/a", "123456"});
}
