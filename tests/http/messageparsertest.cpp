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

/// The request that a server parses from a byte stream.
struct ParseResult
{
    bool refused = false;
    bool isDone = false;
    std::string target;
    std::string body;

    friend bool operator==(const ParseResult &, const ParseResult &) = default;
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

/// Feeds @p stream in pieces whose lengths cycle through @p lengths.
ParseResult parseInPieces(std::string_view stream, const std::vector<std::size_t> &lengths)
{
    RequestParser parser(1000, 1000);
    ReadBuffer buffer(10000);
    ParseResult result;
    for (std::size_t piece = 0; !stream.empty() && !result.refused && !parser.isDone(); ++piece) {
        const std::size_t length = std::min(lengths[piece % lengths.size()], stream.size());
        append(buffer, stream.substr(0, length));
        stream.remove_prefix(length);
        result.refused = parser.feed(buffer) != MessageProblem::None;
        result.body += parser.takeBody();
    }
    result.isDone = parser.isDone();
    result.target = parser.isHeadDone() ? parser.head().target : std::string();
    if (result.refused) {
        return ParseResult{true, false, {}, {}};
    }
    return result;
}

const std::string RequestStart = "POST /a HTTP/1.1\r\nHost: h\r\n";

const std::vector<std::string> RequestStreams{
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    RequestStart + "Content-Length: 5\r\n\r\n12345",
    RequestStart + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    RequestStart + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n1;x=y\r\n6\r\n0\r\nTrailer: t\r\n\r\n",
    RequestStart + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\nContent-Length: 1\r\n\r\n",
    RequestStart + "Transfer-Encoding: chunked\r\n\r\n5\r\n123456\r\n0\r\n\r\n",
    RequestStart + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    RequestStart + "X-Folded: a\r\n b\r\n\r\n",
    RequestStart + "X-Folded:\r\n b\r\n\r\n",
    RequestStart + "X-Folded: a\r\n \r\n\r\n",
    RequestStart + "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    RequestStart + "Content-Length : 1\r\n\r\nx",
    RequestStart + "Host: again\r\n\r\n",
};

}

// TCP may split a request anywhere. If the result of the parser depended on the split, a caller could decide by its
// timing whether the same bytes are one request or two.
TEST_CASE("a request is parsed the same however it is split into pieces")
{
    CHECK(rc::check([] {
        const std::string stream = *rc::gen::elementOf(RequestStreams);
        const auto lengths = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange(1, 12)));
        RC_ASSERT(parseInPieces(stream, lengths) == parseInPieces(stream, {stream.size()}));
    }));
    for (const std::string &stream : RequestStreams) {
        INFO(stream);
        CHECK(parseInPieces(stream, {1}) == parseInPieces(stream, {stream.size()}));
    }
}

TEST_CASE("complete requests are parsed with their body and without its framing")
{
    CHECK(parseInPieces(RequestStreams[0], {3}) == ParseResult{false, true, "/a", ""});
    CHECK(parseInPieces(RequestStreams[1], {3}) == ParseResult{false, true, "/a", "12345"});
    CHECK(parseInPieces(RequestStreams[3], {3}) == ParseResult{false, true, "/a", "123456"});
}
