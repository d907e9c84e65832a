#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

#include "crowds/crowdclient.h"

namespace Egretpath
{

/// Clients that send the same message at the same time from a thread of their own, until they leave. A client whose
/// connection is closed comes back at once, some times. Thread safety: none.
class Crowd
{
public:
    /// How often each client opens another connection.
    static constexpr unsigned MaxReturns = 8;

    Crowd(Endpoint target, std::size_t clients, CrowdMessage message);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Waits until no client can send any more: each has sent all, or waits, or was closed too often. Gives up waiting
    /// after some seconds, since a crowd may be endless.
    void waitUntilSpent() const;
    /// Closes all connections.
    void leave();

private:
    void run();
    [[nodiscard]] bool advanceAll();

    Endpoint target_;
    CrowdMessage message_;
    std::vector<std::unique_ptr<CrowdClient>> clients_;
    std::vector<unsigned> returns_;
    std::atomic<bool> isLeaving_ = false;
    std::atomic<bool> isSpent_ = false;
    std::thread thread_;
};

}
