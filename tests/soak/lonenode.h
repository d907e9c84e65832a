#pragma once

#include <chrono>
#include <filesystem>
#include <string>
#include <string_view>
#include <thread>

#include "core/currenttime.h"
#include "soak/nodeprocess.h"

namespace Egretpath
{

/// Settings with which a node starts alone, without an upstream or a platform.
inline constexpr std::string_view LoneNodeSettings = R"([node]
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

/// Polls until @p condition holds. Returns false if it does not in time.
template<typename Condition>
bool waitUntil(const Condition &condition)
{
    constexpr Milliseconds EventTimeout{10'000};
    constexpr std::chrono::microseconds PollInterval{50};
    const TimePoint limit = currentTime() + EventTimeout;
    while (!condition()) {
        if (currentTime() > limit) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

/// A node of its own, with its settings and log in a folder that is removed at the end. Thread safety: none.
class LoneNode
{
public:
    LoneNode();
    /// Kills the process if it still runs.
    ~LoneNode();
    LoneNode(const LoneNode &) = delete;
    LoneNode &operator=(const LoneNode &) = delete;

    [[nodiscard]] NodeProcess &process() { return process_; }
    [[nodiscard]] std::filesystem::path settings() const { return folder_ / "node.toml"; }
    /// Writes @p text to the settings file, in place of what it holds.
    void writeSettings(std::string_view text) const;

    /// Whether exec has put the node's program in place.
    [[nodiscard]] bool runsProgram() const;
    [[nodiscard]] bool hasMapped(std::string_view library) const;
    [[nodiscard]] bool hasLogged(std::string_view event) const;
    /// Whether the process has exited. Its exit is not collected yet.
    [[nodiscard]] bool hasExited() const;
    /// Returns how the process exited; "still runs" if it has not in time.
    [[nodiscard]] std::string waitForExit();
    /// Returns how the process exits after a request to stop.
    [[nodiscard]] std::string stop();

private:
    [[nodiscard]] std::filesystem::path processFile(const char *name) const;

    std::filesystem::path folder_;
    std::filesystem::path log_;
    NodeProcess process_;
};

}
