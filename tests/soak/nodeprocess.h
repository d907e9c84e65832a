#pragma once

#include <filesystem>
#include <string>

#include <sys/types.h>

namespace Egretpath
{

/// How a process ended.
struct ProcessEnd
{
    pid_t process = 0;
    /// For a report, for example "signal 11" or "exit code 0".
    std::string how;
    bool clean = false;
};

/// One node's program as a process of its own. Thread safety: none.
///
/// Signals go to the process that was started here, by its id, and to none after its end was collected.
class NodeProcess
{
public:
    NodeProcess(std::filesystem::path program, std::filesystem::path settings, std::filesystem::path log);
    /// Ends the process if it still runs.
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /// Precondition: it does not run. Throws std::runtime_error when the program can't be started.
    void start();
    /// Does nothing if it does not run.
    void signal(int number);
    [[nodiscard]] bool runs() const { return process_ > 0; }
    [[nodiscard]] pid_t id() const { return process_; }
    /// How often it was started.
    [[nodiscard]] unsigned boot() const { return boot_; }
    /// Call it when the operating system told of the end of this process.
    void noteEnd() { process_ = 0; }

    /// The next child that has ended; a process of zero if there is none.
    [[nodiscard]] static ProcessEnd collectEnd();

private:
    std::filesystem::path program_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t process_ = 0;
    unsigned boot_ = 0;
};

}
