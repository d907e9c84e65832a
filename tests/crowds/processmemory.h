#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace Egretpath
{

/// A process, and the address at which its connections wait to be read.
struct WatchedProcess
{
    pid_t process = 0;
    /// Dotted IPv4 address.
    std::string address;
};

/// What a process uses at one moment.
struct ProcessUse
{
    /// Private memory, and the bytes that wait unread at the process's sockets.
    std::uint64_t bytes = 0;
    std::size_t descriptors = 0;
};

/// Reads what @p watched uses now; zeros if the process has gone.
[[nodiscard]] ProcessUse useOf(const WatchedProcess &watched);

/// Samples processes from a thread of its own and keeps the most that one of them has used, since its start for memory
/// that it had for a moment only. Thread safety: none.
class UseSampler
{
public:
    explicit UseSampler(std::vector<WatchedProcess> watched);
    ~UseSampler();
    UseSampler(const UseSampler &) = delete;
    UseSampler &operator=(const UseSampler &) = delete;

    /// Ends the sampling and returns the largest values of all processes. Precondition: they run.
    [[nodiscard]] ProcessUse stop();

private:
    void sample();

    std::vector<WatchedProcess> watched_;
    ProcessUse largest_;
    std::atomic<bool> isStopping_ = false;
    std::thread thread_;
};

}
