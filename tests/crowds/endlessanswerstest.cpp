#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "crowds/crowd.h"
#include "crowds/crowddeployment.h"

using namespace Egretpath;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t FewClients = 16;
/// As many requests at once as an upstream with many slots runs.
constexpr std::size_t ManyClients = 200;
/// How long a crowd is answered without end.
constexpr Milliseconds CrowdTime{1500};
constexpr std::size_t BlockBytes = std::size_t{64} * 1024;
constexpr std::size_t MaxDescriptors = 2000;

/// Bytes that an upstream sends in place of an answer: a begin, then a unit again and again. "{fields}" stands for the
/// fields that make a success count.
struct EndlessKind
{
    const char *begin;
    const char *unit;
};

constexpr std::array<EndlessKind, 14> Kinds{{
    {"", "x"},
    {"", "\r\n"},
    {"HTTP/1.1 200 ", "x"},
    {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
    {"HTTP/1.1 200 OK\r\nX-More: ", "x"},
    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"HTTP/1.1 200 OK\r\n{fields}Content-Length: 999999999999\r\n\r\n", "0123456789"},
    {"HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n"},
    {"HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n10;", "x"},
    {"HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"},
    {"HTTP/1.1 200 OK\r\n{fields}\r\n", "0123456789"},
    {"HTTP/1.1 500 Error\r\n{fields}\r\n", "0123456789"},
    {"HTTP/1.1 503 Busy\r\nX-Egretpath-Not-Executed: 1\r\n{fields}\r\n", "0123456789"},
    {"", "HTTP/1.1 200 OK\r\nX-Egretpath-Attempt-Id: other\r\nContent-Length: 4\r\n\r\nabcd"},
}};
constexpr std::size_t SignedBody = 6;
constexpr std::size_t FailureBody = 11;

std::size_t kindOf(const RawRequest &request)
{
    const std::string path = request.head.substr(0, request.head.find(" HTTP/"));
    return std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10) % Kinds.size();
}

asio::awaitable<void> answerWithoutEnd(tcp::socket &socket, RawRequest request)
{
    if (isOrdinaryOrder(request)) {
        co_await answerWithSize(socket, std::move(request));
        co_return;
    }
    const EndlessKind &kind = Kinds.at(kindOf(request));
    std::string begin = kind.begin;
    constexpr std::string_view Fields = "{fields}";
    if (const std::size_t position = begin.find(Fields); position != std::string::npos) {
        begin.replace(position, Fields.size(), successFields(request));
    }
    std::string block;
    while (block.size() < BlockBytes) {
        block += kind.unit;
    }
    bool isWritten = co_await writeText(socket, begin);
    while (isWritten) {
        isWritten = co_await writeText(socket, block);
    }
}

CrowdMessage requestFor(const std::string &path, std::size_t kind, bool reads, std::size_t bodyBytes = 1)
{
    CrowdMessage message;
    message.start = "POST " + path + std::to_string(kind) + " HTTP/1.1\r\nHost: " + CrowdDeployment::Host
        + "\r\nX-Egretpath-Attempt-Id: endless\r\nX-Egretpath-Deadline-Ms: 3000\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
    message.unit = std::string(std::min(bodyBytes, BlockBytes), 'e');
    message.units = bodyBytes / message.unit.size();
    message.reads = reads;
    return message;
}

void requireThatOrdersAreServed(const CrowdDeployment &deployment, const char *path)
{
    CHECK(deployment.order(path, CrowdDeployment::OrdinaryBody).status == 200);
}

/// A crowd's requests of @p path are answered without end, and ordinary orders of the other path come meanwhile.
void requireThatNodesBear(const CrowdDeployment &deployment, std::size_t clients, const CrowdMessage &message,
                          const char *otherPath)
{
    Crowd crowd(deployment.callers(), clients, message);
    std::this_thread::sleep_for(CrowdTime);
    requireThatOrdersAreServed(deployment, otherPath);
    crowd.leave();
}

void requireBoundedUse(const CrowdDeployment &deployment, UseSampler &sampler)
{
    requireThatOrdersAreServed(deployment, CrowdDeployment::HerePath);
    requireThatOrdersAreServed(deployment, CrowdDeployment::AwayPath);
    const ProcessUse use = sampler.stop();
    CHECK(use.bytes < deployment.memoryBound());
    CHECK(use.descriptors < MaxDescriptors);
    CHECK(deployment.isAlive());
    CHECK(deployment.waitUntilMemoryIsBack(deployment.memoryBound() / 4));
}

}

// Guards against a node that keeps what a faulty upstream sends without end, and ends with all other requests.
TEST_CASE("answers without end, in a head or a body")
{
    const bool isAway = GENERATE(false, true);
    const char *path = isAway ? CrowdDeployment::AwayPath : CrowdDeployment::HerePath;
    const char *otherPath = isAway ? CrowdDeployment::HerePath : CrowdDeployment::AwayPath;
    CrowdDeployment deployment(CrowdLimits(), answerWithoutEnd);
    REQUIRE(deployment.waitUntilServing());
    UseSampler sampler(deployment.watched());
    for (std::size_t kind = 0; kind < Kinds.size(); ++kind) {
        INFO("bytes that begin with \"" << Kinds.at(kind).begin << "\", then \"" << Kinds.at(kind).unit << "\"");
        requireThatNodesBear(deployment, FewClients, requestFor(path, kind, true), otherPath);
    }
    requireBoundedUse(deployment, sampler);
}

// Guards against what each answer may hold before it is passed on, times the slots of an upstream.
TEST_CASE("answers without end from an upstream with many slots")
{
    const bool isAway = GENERATE(false, true);
    const std::size_t kind = GENERATE(SignedBody, FailureBody);
    const bool reads = GENERATE(true, false);
    INFO((isAway ? "away" : "here") << ", kind " << kind << ", callers read: " << reads);
    const char *path = isAway ? CrowdDeployment::AwayPath : CrowdDeployment::HerePath;
    const char *otherPath = isAway ? CrowdDeployment::HerePath : CrowdDeployment::AwayPath;
    CrowdLimits limits;
    limits.slots = ManyClients;
    CrowdDeployment deployment(limits, answerWithoutEnd);
    REQUIRE(deployment.waitUntilServing());
    UseSampler sampler(deployment.watched());
    requireThatNodesBear(deployment, ManyClients, requestFor(path, kind, reads), otherPath);
    requireBoundedUse(deployment, sampler);
}

// Guards against an answer and an upload of the same request that each count as if the other were not there.
TEST_CASE("answers without end while the uploads are still sent")
{
    constexpr std::size_t UploadBytes = 100 * BlockBytes;
    const bool isAway = GENERATE(false, true);
    const char *path = isAway ? CrowdDeployment::AwayPath : CrowdDeployment::HerePath;
    const char *otherPath = isAway ? CrowdDeployment::HerePath : CrowdDeployment::AwayPath;
    CrowdDeployment deployment(CrowdLimits(), answerWithoutEnd);
    REQUIRE(deployment.waitUntilServing());
    UseSampler sampler(deployment.watched());
    for (const std::size_t kind : {SignedBody, FailureBody}) {
        requireThatNodesBear(deployment, FewClients, requestFor(path, kind, true, UploadBytes), otherPath);
    }
    requireBoundedUse(deployment, sampler);
}
