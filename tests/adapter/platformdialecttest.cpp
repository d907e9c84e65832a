#include "platform/platformdialect.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Egretpath;
using namespace Egretpath::Platform;

namespace
{

HttpResponseHead answerWith(std::uint16_t status, std::initializer_list<HttpHeader> headers)
{
    HttpResponseHead head(status);
    head.headers = HttpHeaders(headers);
    return head;
}

}

TEST_CASE("a caller's id and timeout are read, and an invalid timeout is ignored")
{
    const PlatformCallerDialect dialect;
    const auto metadata = dialect.read({{"X-Egretpath-Attempt-Id", "9c41"}, {"X-Egretpath-Deadline-Ms", "2500"}});
    REQUIRE(metadata);
    CHECK(metadata.value().request == RequestId("9c41"));
    CHECK(metadata.value().timeout == Milliseconds(2500));
    for (const char *text : {"soon", "-5", "nan", ""}) {
        INFO(text);
        const auto unreadable = dialect.read({{"X-Egretpath-Deadline-Ms", text}});
        REQUIRE(unreadable);
        CHECK_FALSE(unreadable.value().timeout);
    }
}

TEST_CASE("the status promises that a request has not run only if that is proved")
{
    const PlatformCallerDialect dialect;
    const RequestId id("9c41");
    const HttpResponseHead refused = dialect.refusal(notRun(Reason::Overloaded, "", Milliseconds(150)), id);
    CHECK(refused.status == 503);
    CHECK(refused.headers.find("Retry-After") == std::string_view("0.150"));
    CHECK(refused.headers.find("X-Egretpath-Attempt-Id") == std::string_view("9c41"));
    CHECK(dialect.refusal(notRun(Reason::NoTable), id).status == 503);
    CHECK(dialect.refusal(notRun(Reason::DeadlinePassed), id).status == 503);
    CHECK(dialect.refusal(notRun(Reason::NoRoute), id).status == 404);
    CHECK(dialect.refusal(notRun(Reason::TooLarge), id).status == 413);
    CHECK(dialect.refusal(mayHaveRun(Reason::DeadlinePassed), id).status == 504);
    CHECK(dialect.refusal(mayHaveRun(Reason::ConnectionLost), id).status == 502);
    const HttpResponseHead unknown = dialect.refusal(mayHaveRun(Reason::Overloaded, "", Milliseconds(150)), id);
    CHECK(unknown.status == 502);
    CHECK_FALSE(unknown.headers.contains("Retry-After"));
}

// Guards against a caller that sets the field with the caller's service itself, so that upstreams attribute its request
// to another service.
TEST_CASE("header fields that the system sets replace those that a caller sent")
{
    const PlatformUpstreamDialect dialect;
    HttpHeaders headers{{"X-Egretpath-Caller-Service", "bank"},
                        {"x-egretpath-caller-service", "other"},
                        {"X-Egretpath-Target-Instance", "i-0"},
                        {"X-Egretpath-Deadline-Ms", "9999999"},
                        {"X-Egretpath-Attempt-Id", "9c41"}};
    dialect.writeMetadata(headers, {Milliseconds(120), UpstreamName("i-1"), ServiceName("statements")});
    CHECK(headers.size() == 4);
    CHECK(headers.find("X-Egretpath-Caller-Service") == std::string_view("statements"));
    CHECK(headers.find("X-Egretpath-Target-Instance") == std::string_view("i-1"));
    CHECK(headers.find("X-Egretpath-Deadline-Ms") == std::string_view("120"));
    CHECK(headers.find("X-Egretpath-Attempt-Id") == std::string_view("9c41"));
}

TEST_CASE("the metadata of an upstream's answer is read from its header fields")
{
    const PlatformUpstreamDialect dialect;
    const UpstreamAnswerMetadata good = dialect.read(answerWith(200,
                                                                {{"X-Egretpath-Attempt-Id", "9c41"},
                                                                 {"X-Egretpath-Server-Signature", "3e1b"},
                                                                 {"X-Egretpath-Instance-Load", "3,1,6,400"}}));
    CHECK(good.isAuthentic);
    CHECK_FALSE(good.isNotRun);
    CHECK(good.request == RequestId("9c41"));
    REQUIRE(good.load);
    CHECK(good.load->running == 3);
    CHECK(good.load->waiting == 1);
    CHECK(good.load->slots == 6);
    CHECK(good.load->slowdownPercent == 400);
    CHECK(dialect.read(answerWith(200, {{"X-Egretpath-Instance-Load", "3,1,6"}})).load->slowdownPercent == 0);
    CHECK_FALSE(dialect.read(answerWith(200, {{"X-Egretpath-Instance-Load", "3,x"}})).load);
    CHECK(dialect.read(answerWith(503, {{"X-Egretpath-Not-Executed", "1"}})).isNotRun);
    CHECK(dialect.read(answerWith(421, {})).isWrongUpstream);
    CHECK(dialect.read(answerWith(421, {{"X-Egretpath-Instance-Id", "i-2"}})).upstream == UpstreamName("i-2"));
    CHECK(dialect.read(answerWith(500, {})).isAuthentic);
}

TEST_CASE("the limit that an upstream names and that it leaves are read, and text that is no number names no limit")
{
    const PlatformUpstreamDialect dialect;
    const UpstreamAnswerMetadata limited = dialect.read(answerWith(200, {{"Server-Limit", "2.1"}}));
    CHECK(limited.limit == RequestRate(2.1));
    CHECK_FALSE(limited.isLeaving);
    CHECK(dialect.read(answerWith(200, {{"Server-Limit", "0"}})).limit == RequestRate(0.0));
    for (const char *bad : {"", "x", "-1", "2.1x", "nan", "inf"}) {
        INFO(bad);
        CHECK_FALSE(dialect.read(answerWith(200, {{"Server-Limit", bad}})).limit);
    }
    CHECK_FALSE(dialect.read(answerWith(200, {})).limit);
    CHECK(dialect.read(answerWith(200, {{"Server-Leaving", "1"}})).isLeaving);
}

TEST_CASE("the warm-up that an upstream names is read, and text that is no time leaves it unknown")
{
    const PlatformUpstreamDialect dialect;
    CHECK(dialect.read(answerWith(200, {})).warmUpLeft == Milliseconds(0));
    CHECK(dialect.read(answerWith(200, {{"X-Egretpath-Warmup-Ms", "0"}})).warmUpLeft == Milliseconds(0));
    CHECK(dialect.read(answerWith(200, {{"X-Egretpath-Warmup-Ms", "1200"}})).warmUpLeft == Milliseconds(1200));
    CHECK(dialect.read(answerWith(503, {{"X-Egretpath-Warmup-Ms", "0.5"}})).warmUpLeft == Milliseconds(1));
    for (const char *bad : {"", "x", "-1", "3s", "nan", "inf"}) {
        INFO(bad);
        CHECK_FALSE(dialect.read(answerWith(200, {{"X-Egretpath-Warmup-Ms", bad}})).warmUpLeft);
    }
}

// Guards against a success that the upstream did not send in this form: a proxy on the way compressed the answer, or
// another program listens at the address. Such an answer lacks the upstream's digest and must not reach a caller as a
// success.
TEST_CASE("a success without the upstream's digest, or with a content encoding, is not authentic")
{
    const PlatformUpstreamDialect dialect;
    CHECK_FALSE(dialect.read(answerWith(200, {})).isAuthentic);
    CHECK_FALSE(dialect.read(answerWith(200, {{"X-Egretpath-Server-Signature", "3e1b"}, {"Content-Encoding", "gzip"}}))
                    .isAuthentic);
}
