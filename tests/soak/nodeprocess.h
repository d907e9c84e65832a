#pragma once

#include <filesystem>
#include <string>
#include <string_view>

#include <sys/types.h>

#include "core/clock.h"

namespace Egretpath
{

/// How a process exited.
struct ProcessExit
{
    pid_t process = 0;
    /// Text for the report, for example "signal 11" or "exit code 0".
    std::string reason;
    bool isClean = false;
};

/// Runs the program of one node as a child process. Thread safety: none.
///
/// Signals are sent only to the process that this object started, by its id, and never after its exit was collected.
/// Each start, signal and exit is a line of the node's log, between the lines of the node itself.
class NodeProcess
{
public:
    NodeProcess(std::filesystem::path program, std::filesystem::path settings, std::filesystem::path log);
    /// Kills the process if it still runs.
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /// Precondition: the process does not run. Throws std::runtime_error when the program can't be started.
    void start();
    /// Sends signal @p number to the process; does nothing if it does not run.
    void signal(int number);
    [[nodiscard]] bool isRunning() const { return process_ > 0; }
    [[nodiscard]] pid_t id() const { return process_; }
    /// How many times the process was started.
    [[nodiscard]] unsigned startCount() const { return startCount_; }
    /// Must be called when reapChild() has returned the exit of this process, with its reason.
    void recordExit(std::string_view reason);

    /// Collects the exit of one child process that has exited; `process` is 0 if there is none.
    [[nodiscard]] static ProcessExit reapChild();

private:
    /// Appends a line to the node's log. @p event: its name and fields, for example `signal number=1`.
    void writeLogLine(const std::string &event) const;

    std::filesystem::path program_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t process_ = 0;
    TimePoint startedAt_;
    unsigned startCount_ = 0;
};

}
