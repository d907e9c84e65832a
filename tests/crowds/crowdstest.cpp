#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

#include <catch2/catch.hpp>

#include "crowds/crowd.h"
#include "crowds/crowddeployment.h"
#include "crowds/processmemory.h"

using namespace Egretpath;

namespace
{

constexpr std::uint64_t MiB = std::uint64_t{1024} * 1024;
/// The bytes that are missing from bodies which stop just short of their end.
constexpr std::uint64_t MissingBytes = 3;
constexpr std::size_t FewClients = 16;
constexpr std::size_t ManyClients = 300;
/// Above the connections that a node takes, with what it opens itself.
constexpr std::size_t MaxDescriptors = 2000;

std::string announced(const std::string &path, std::uint64_t length)
{
    return CrowdDeployment::orderHead(path) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunked(const std::string &path)
{
    return CrowdDeployment::orderHead(path) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunkOf(std::size_t size)
{
    std::array<char, 16> length{};
    std::snprintf(length.data(), length.size(), "%zx", size);
    return length.data() + ("\r\n" + std::string(size, 'c')) + "\r\n";
}

/// A body of @p length whose last @p missing bytes don't come.
CrowdMessage bodyWithLength(const std::string &path, std::uint64_t length, std::uint64_t missing)
{
    constexpr std::uint64_t UnitBytes = MiB / 16;
    CrowdMessage message;
    message.start = announced(path, length);
    message.unit = std::string(UnitBytes, 'b');
    message.units = (length - missing) / UnitBytes;
    message.end = std::string((length - missing) % UnitBytes, 'b');
    return message;
}

/// A chunked body of the whole limit, with or without its last chunk.
CrowdMessage bodyInChunks(const std::string &path, std::size_t chunkBytes, bool isWhole)
{
    CrowdMessage message;
    message.start = chunked(path);
    const std::uint64_t count = CrowdLimits().bodyBytes / chunkBytes;
    const std::uint64_t chunksPerUnit = chunkBytes < 1000 ? 4096 : 1;
    for (std::uint64_t chunk = 0; chunk < chunksPerUnit; ++chunk) {
        message.unit += chunkOf(chunkBytes);
    }
    message.units = count / chunksPerUnit;
    message.end = isWhole ? "0\r\n\r\n" : "1";
    return message;
}

/// A crowd comes, ordinary orders are sent meanwhile and afterwards, and the crowd leaves.
void requireThatNodesBear(CrowdDeployment &deployment, std::size_t clients, const CrowdMessage &message)
{
    UseSampler sampler(deployment.watched());
    Crowd crowd(deployment.callers(), clients, message);
    crowd.waitUntilSpent();
    CHECK(deployment.order(CrowdDeployment::HerePath, "order").status == 200);
    CHECK(deployment.order(CrowdDeployment::AwayPath, "order").status == 200);
    crowd.leave();
    CHECK(deployment.order(CrowdDeployment::HerePath, "order").body == "5");
    CHECK(deployment.order(CrowdDeployment::AwayPath, "order").body == "5");
    const ProcessUse use = sampler.stop();
    CHECK(use.bytes < deployment.memoryBound());
    CHECK(use.descriptors < MaxDescriptors);
    CHECK(deployment.isAlive());
    CHECK(deployment.waitUntilMemoryIsBack(deployment.memoryBound() / 4));
}

void requireThatNodesBear(std::size_t clients, const CrowdMessage &message)
{
    CrowdDeployment deployment{CrowdLimits()};
    REQUIRE(deployment.waitUntilServing());
    requireThatNodesBear(deployment, clients, message);
}

void requireThatUploadIsServed(CrowdLimits limits, const char *path)
{
    CrowdDeployment deployment(limits);
    REQUIRE(deployment.waitUntilServing());
    UseSampler sampler(deployment.watched());
    const PlainAnswer answer = deployment.order(path, std::string(limits.bodyBytes, 'u'));
    CHECK(answer.status == 200);
    CHECK(answer.body == std::to_string(limits.bodyBytes));
    CHECK(sampler.stop().bytes < deployment.memoryBound());
    CHECK(deployment.waitUntilMemoryIsBack(deployment.memoryBound() / 4));
}

}

TEST_CASE("many large bodies at once, whole, for the upstream beside the node")
{
    requireThatNodesBear(FewClients, bodyWithLength(CrowdDeployment::HerePath, CrowdLimits().bodyBytes, 0));
}

TEST_CASE("many large bodies at once, whole, for an upstream away")
{
    requireThatNodesBear(FewClients, bodyWithLength(CrowdDeployment::AwayPath, CrowdLimits().bodyBytes, 0));
}

TEST_CASE("many large bodies stop just short of their end")
{
    requireThatNodesBear(FewClients, bodyWithLength(CrowdDeployment::HerePath, CrowdLimits().bodyBytes, MissingBytes));
}

TEST_CASE("many large bodies come piece by piece and stop just short of their end")
{
    CrowdMessage message = bodyWithLength(CrowdDeployment::AwayPath, CrowdLimits().bodyBytes, MissingBytes);
    message.pieceBytes = 4096;
    requireThatNodesBear(FewClients, message);
}

TEST_CASE("many bodies in large chunks stop just short of their end")
{
    requireThatNodesBear(FewClients, bodyInChunks(CrowdDeployment::HerePath, MiB, false));
}

TEST_CASE("many bodies in very small chunks stop just short of their end")
{
    requireThatNodesBear(FewClients, bodyInChunks(CrowdDeployment::HerePath, 1, false));
}

TEST_CASE("many whole bodies in large chunks")
{
    requireThatNodesBear(FewClients, bodyInChunks(CrowdDeployment::AwayPath, MiB, true));
}

TEST_CASE("many bodies announce far more than the limit and go on after their refusal")
{
    CrowdMessage message = bodyWithLength(CrowdDeployment::HerePath, 999'999'999'999, 0);
    message.isEndless = true;
    requireThatNodesBear(FewClients, message);
}

TEST_CASE("many chunked bodies go far over the limit")
{
    CrowdMessage message = bodyInChunks(CrowdDeployment::HerePath, 100'000, false);
    message.isEndless = true;
    requireThatNodesBear(FewClients, message);
}

TEST_CASE("many connections with a body that is not large and stops just short of its end")
{
    requireThatNodesBear(ManyClients, bodyWithLength(CrowdDeployment::HerePath, 200'000, MissingBytes));
}

TEST_CASE("many clients announce large bodies and send a few bytes of them")
{
    CrowdMessage message;
    message.start = announced(CrowdDeployment::HerePath, CrowdLimits().bodyBytes) + "few";
    requireThatNodesBear(ManyClients, message);
}

TEST_CASE("clients that have sent a large part of a body go on with a byte now and then")
{
    CrowdMessage message;
    message.start = announced(CrowdDeployment::HerePath, CrowdLimits().bodyBytes) + std::string(4 * MiB, 's');
    message.unit = "s";
    message.pause = Milliseconds(100);
    message.isEndless = true;
    requireThatNodesBear(FewClients, message);
}

TEST_CASE("whole bodies behind one another on each connection")
{
    constexpr std::uint64_t BodyBytes = 4 * MiB;
    CrowdMessage message;
    message.unit = announced(CrowdDeployment::HerePath, BodyBytes) + std::string(BodyBytes, 'p');
    message.units = 15;
    requireThatNodesBear(FewClients, message);
}

TEST_CASE("many readers take nothing of their answers")
{
    CrowdMessage message;
    // The order's number follows: an answer of 900,001 bytes.
    message.start = announced(std::string(CrowdDeployment::HerePath) + "90000", 1) + "r";
    message.reads = false;
    requireThatNodesBear(ManyClients, message);
}

// Memory that grows with each crowd is lost, memory that comes back or is used again is not.
TEST_CASE("crowds that come one after another")
{
    CrowdDeployment deployment{CrowdLimits()};
    REQUIRE(deployment.waitUntilServing());
    for (const char *path : {CrowdDeployment::HerePath, CrowdDeployment::AwayPath, CrowdDeployment::HerePath}) {
        requireThatNodesBear(deployment, FewClients, bodyWithLength(path, CrowdLimits().bodyBytes, MissingBytes));
    }
}

TEST_CASE("one upload of the whole limit in calm, beside the upstream and away")
{
    const char *path = GENERATE(CrowdDeployment::HerePath, CrowdDeployment::AwayPath);
    requireThatUploadIsServed(CrowdLimits(), path);
}

// The limits of the smallest VM and of a usual config.
TEST_CASE("one upload of 64 MiB in calm on a VM of 160 MB, beside the upstream and away")
{
    const char *path = GENERATE(CrowdDeployment::HerePath, CrowdDeployment::AwayPath);
    requireThatUploadIsServed({160, 64 * MiB}, path);
}
