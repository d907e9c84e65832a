#include "messages/receivedbody.h"

#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace Egretpath;

namespace
{

constexpr std::uint64_t MiB = std::uint64_t{1024} * 1024;

/// What the messages of a node need.
struct Node
{
    EventLog log{EventLogSettings{"-", "off", 0}};
    Metrics metrics;
    std::shared_ptr<HeldMessages> messages = std::make_shared<HeldMessages>(Bytes(80 * MiB), log, metrics);
};

/// The resident memory of this process.
std::uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

}

TEST_CASE("what counts is what the process grows by")
{
    Node node;
    const std::uint64_t before = residentBytes();
    std::vector<std::shared_ptr<ReceivedBody>> bodies;
    const std::string piece(MiB / 16, 'p');
    for (int number = 0; number < 8; ++number) {
        bodies.push_back(ReceivedBody::begin(*node.messages, [] {}));
        for (int pieces = 0; pieces < 8 * 16 - 1; ++pieces) {
            REQUIRE(bodies.back()->append(piece));
        }
    }
    const std::uint64_t counted = node.messages->budget().held().value();
    const std::uint64_t grown = residentBytes() - before;
    CHECK(grown < counted + 4 * MiB);
    CHECK(counted < grown + 4 * MiB);
    bodies.clear();
    CHECK(node.messages->budget().held() == Bytes(0));
    CHECK(residentBytes() < before + 4 * MiB);
}

TEST_CASE("a body keeps its bytes while it grows, and all copies of it share them")
{
    Node node;
    const auto received = ReceivedBody::begin(*node.messages, [] {});
    std::string expected;
    for (std::size_t size = 1; size < 300'000; size = size * 3 + 1) {
        const std::string piece(size, static_cast<char>('a' + size % 26));
        REQUIRE(received->append(piece));
        expected += piece;
    }
    const std::optional<RequestBody> body = received->complete();
    REQUIRE(body);
    const RequestBody copy = *body;
    CHECK(copy.view() == expected);
    CHECK(copy.view().data() == body->view().data());
    CHECK(node.messages->budget().held() == Bytes(expected.size()));
}

TEST_CASE("a body that is given up frees its bytes at once and is never complete")
{
    Node node;
    bool isGivenUp = false;
    const auto older = ReceivedBody::begin(*node.messages, [] {});
    REQUIRE(older->append(std::string(40 * MiB, 'o')));
    const auto younger = ReceivedBody::begin(*node.messages, [&isGivenUp] { isGivenUp = true; });
    REQUIRE(younger->append(std::string(20 * MiB, 'y')));
    REQUIRE(older->append(std::string(20 * MiB, 'o')));
    CHECK(isGivenUp);
    CHECK_FALSE(younger->append("more"));
    CHECK_FALSE(younger->complete());
    CHECK(node.messages->budget().held() == Bytes(60 * MiB + MessageBudget::Overhead.value()));
}

TEST_CASE("a message may outlive the node's account of it")
{
    Node node;
    const auto received = ReceivedBody::begin(*node.messages, [] {});
    node.messages.reset();
    CHECK(received->append("late"));
    CHECK(received->complete()->view() == "late");
}

TEST_CASE("a body that can never find room is refused as too large, one that finds none now as to come back")
{
    Node node;
    CHECK(node.messages->rejection(Bytes(75 * MiB))->reason == Reason::TooLarge);
    const auto whole = ReceivedBody::hold(*node.messages, std::string(60 * MiB, 'w'));
    REQUIRE(whole);
    const auto rejection = node.messages->rejection(Bytes(30 * MiB));
    REQUIRE(rejection);
    CHECK(rejection->reason == Reason::Overloaded);
    CHECK(rejection->retryAfter > Milliseconds{0});
    CHECK_FALSE(ReceivedBody::hold(*node.messages, std::string(30 * MiB, 'w')));
}
