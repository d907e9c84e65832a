#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "soak/lonenode.h"

using namespace Egretpath;

// The platform may change the file without any signal, and a signal may come before the file is written.
TEST_CASE("settings that change without a signal are taken")
{
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.hasLogged("start"); }));
    node.writeSettings(std::string(LoneNodeSettings) + "[repeats]\nratio = 0.3\n");
    CHECK(waitUntil([&node] { return node.hasLogged("reload"); }));
    CHECK(node.stop() == "exit code 0");
}

// Half of a file may be valid by itself. Signals that come meanwhile must not make the node take it.
TEST_CASE("signals in quick succession do not make a node take settings that are being written")
{
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.hasLogged("start"); }));
    node.writeSettings("[node");
    for (int signals = 0; signals < 4; ++signals) {
        node.process().signal(SIGHUP);
        std::this_thread::sleep_for(Milliseconds(10));
    }
    node.writeSettings(LoneNodeSettings);
    CHECK(waitUntil([&node] { return node.hasLogged("reload"); }));
    CHECK_FALSE(node.hasLogged("reload-refused"));
    CHECK(node.stop() == "exit code 0");
}

// The platform places the file anew at each start, which can race with the start.
TEST_CASE("a node starts although its settings are placed a moment later")
{
    const char *before = GENERATE("", "[node");
    LoneNode node;
    std::filesystem::remove(node.settings());
    if (*before != '\0') {
        node.writeSettings(before);
    }
    node.process().start();
    std::this_thread::sleep_for(Milliseconds(150));
    node.writeSettings(LoneNodeSettings);
    CHECK(waitUntil([&node] { return node.hasLogged("start") || node.hasExited(); }));
    CHECK(node.stop() == "exit code 0");
}

// A problem of the file must not end the node, and the file may be mended without a signal.
TEST_CASE("settings that can't be used are refused until they are mended")
{
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.hasLogged("start"); }));
    node.writeSettings("[node");
    CHECK(waitUntil([&node] { return node.hasLogged("reload-refused"); }));
    CHECK_FALSE(node.hasLogged("reload"));
    node.writeSettings(LoneNodeSettings);
    CHECK(waitUntil([&node] { return node.hasLogged("reload"); }));
    CHECK(node.stop() == "exit code 0");
}
