#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "core/currenttime.h"
#include "soak/nodeprocess.h"

using namespace Egretpath;

namespace
{

constexpr Milliseconds EventTimeout{10'000};
constexpr std::chrono::microseconds PollInterval{50};
/// A library that the node's program loads after the system's own.
constexpr std::string_view LoadedLibrary = "liblog4cxx";

constexpr std::string_view Settings = R"([node]
name = "node-1"
service = "statements"
region = "north"
zone = "north-a"
[listen]
callers = "127.253.0.1:8304"
ready = "127.253.0.1:8302"
peers = "127.253.0.1:7620"
[upstream]
address = "127.253.0.1:8301"
[platform]
store = "127.253.0.1:1"
[zones]
north-a = "north"
[stop]
grace = "500ms"
)";

std::string textOf(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return std::move(text).str();
}

/// Polls until @p condition holds. Returns false if it does not in time.
template<typename Condition>
bool waitUntil(const Condition &condition)
{
    const TimePoint limit = currentTime() + EventTimeout;
    while (!condition()) {
        if (currentTime() > limit) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

/// A node of its own, with its settings and log in a folder that is removed at the end.
class LoneNode
{
public:
    LoneNode()
        : folder_(std::filesystem::temp_directory_path() / ("egretpath-signals-" + std::to_string(getpid())))
        , log_(folder_ / "node.log")
        , process_(EGRETPATH_NODE_PROGRAM, settings(), log_)
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        std::ofstream(settings()) << Settings;
    }

    ~LoneNode()
    {
        if (process_.isRunning()) {
            process_.signal(SIGKILL);
            (void)waitForExit();
        }
        std::filesystem::remove_all(folder_);
    }

    LoneNode(const LoneNode &) = delete;
    LoneNode &operator=(const LoneNode &) = delete;

    [[nodiscard]] NodeProcess &process() { return process_; }
    [[nodiscard]] std::filesystem::path settings() const { return folder_ / "node.toml"; }

    [[nodiscard]] bool runsProgram() const
    {
        std::error_code error;
        const auto running = std::filesystem::read_symlink(processFile("exe"), error);
        return !error && running == std::filesystem::canonical(EGRETPATH_NODE_PROGRAM);
    }

    [[nodiscard]] bool hasMapped(std::string_view library) const
    {
        return textOf(processFile("maps")).find(library) != std::string::npos;
    }

    [[nodiscard]] bool hasLogged(std::string_view event) const
    {
        return textOf(log_).find("event=" + std::string(event) + ' ') != std::string::npos;
    }

    /// Whether the process has exited. Its exit is not collected yet.
    [[nodiscard]] bool hasExited() const
    {
        siginfo_t info{};
        waitid(P_PID, static_cast<id_t>(process_.id()), &info, WEXITED | WNOHANG | WNOWAIT);
        return info.si_pid != 0;
    }

    /// Returns how the process exited; "still runs" if it has not in time.
    [[nodiscard]] std::string waitForExit()
    {
        ProcessExit childExit;
        const bool exited = waitUntil([&childExit] {
            childExit = NodeProcess::reapChild();
            return childExit.process != 0;
        });
        if (!exited) {
            return "still runs";
        }
        process_.recordExit(childExit.reason);
        return childExit.reason;
    }

    /// Returns how the process exits after a request to stop.
    [[nodiscard]] std::string stop()
    {
        process_.signal(SIGTERM);
        return waitForExit();
    }

private:
    [[nodiscard]] std::filesystem::path processFile(const char *name) const
    {
        return std::filesystem::path("/proc") / std::to_string(process_.id()) / name;
    }

    std::filesystem::path folder_;
    std::filesystem::path log_;
    NodeProcess process_;
};

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

// The platform may change the file without any signal, and a signal may come before the file is written.
TEST_CASE("settings that change without a signal are taken")
{
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.hasLogged("start"); }));
    std::ofstream(node.settings(), std::ios::app) << "[repeats]\nratio = 0.3\n";
    CHECK(waitUntil([&node] { return node.hasLogged("reload"); }));
    CHECK(node.stop() == "exit code 0");
}

// A problem of the file must not end the node, and the file may be mended without a signal.
TEST_CASE("settings that can't be used are refused until they are mended")
{
    LoneNode node;
    node.process().start();
    REQUIRE(waitUntil([&node] { return node.hasLogged("start"); }));
    std::ofstream(node.settings()) << "[node";
    CHECK(waitUntil([&node] { return node.hasLogged("reload-refused"); }));
    CHECK_FALSE(node.hasLogged("reload"));
    std::ofstream(node.settings()) << Settings;
    CHECK(waitUntil([&node] { return node.hasLogged("reload"); }));
    CHECK(node.stop() == "exit code 0");
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
