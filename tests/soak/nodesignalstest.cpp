#include <csignal>
#include <string_view>

#include <catch2/catch.hpp>

#include "soak/lonenode.h"

using namespace Egretpath;

namespace
{

/// A library that the node's program loads after the system's own.
constexpr std::string_view LoadedLibrary = "liblog4cxx";

/// Blocks a signal in this thread, and so in the processes that it starts.
class BlockedSignal
{
public:
    explicit BlockedSignal(int number)
    {
        sigemptyset(&set_);
        sigaddset(&set_, number);
        pthread_sigmask(SIG_BLOCK, &set_, nullptr);
    }

    ~BlockedSignal() { pthread_sigmask(SIG_UNBLOCK, &set_, nullptr); }
    BlockedSignal(const BlockedSignal &) = delete;
    BlockedSignal &operator=(const BlockedSignal &) = delete;

private:
    sigset_t set_{};
};

}

// The system's default action of the signal ended a node whose handlers were not installed yet.
TEST_CASE("a reload signal while the libraries of a node are loaded is taken")
{
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.runsProgram() && node.hasMapped(LoadedLibrary); }));
    node.process().signal(SIGHUP);
    CHECK(waitUntil([&node] { return node.hasLogged("reload") || node.hasExited(); }));
    CHECK(node.stop() == "exit code 0");
}

// As above, for a request to stop.
TEST_CASE("a stop signal while the libraries of a node are loaded is a planned stop")
{
    const int number = GENERATE(SIGTERM, SIGINT);
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.runsProgram() && node.hasMapped(LoadedLibrary); }));
    node.process().signal(number);
    CHECK(node.waitForExit() == "exit code 0");
}

// A service manager closes the time before the program's first line by blocking the signal; the node has to unblock it.
TEST_CASE("a reload signal that the parent of a node has blocked before exec is taken")
{
    LoneNode node;
    {
        const BlockedSignal blocked(SIGHUP);
        node.process().start();
    }
    REQUIRE(waitUntil([&node] { return node.runsProgram(); }));
    node.process().signal(SIGHUP);
    CHECK(waitUntil([&node] { return node.hasLogged("reload"); }));
    CHECK(node.stop() == "exit code 0");
}

// The handlers are removed before the process has ended, so that the system's default action ended a node that had
// drained.
TEST_CASE("reload and stop signals until a node has ended leave its planned stop clean")
{
    const int number = GENERATE(SIGHUP, SIGTERM, SIGINT);
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.hasLogged("start"); }));
    node.process().signal(SIGTERM);
    CHECK(waitUntil([&node, number] {
        kill(node.process().id(), number);
        return node.hasExited();
    }));
    CHECK(node.waitForExit() == "exit code 0");
}

// The time from exec to the program's first line, in which no process can change what a signal does.
TEST_CASE("a reload signal right after exec does not end a node")
{
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.runsProgram(); }));
    node.process().signal(SIGHUP);
    CHECK(node.stop() == "exit code 0");
}
