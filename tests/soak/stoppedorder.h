#pragma once

#include <optional>
#include <string>
#include <vector>

#include "soak/routepublisher.h"
#include "soak/runrecorder.h"
#include "soak/soakdeployment.h"

namespace Egretpath
{

/// How a caller sends its order.
enum class Sending : std::uint8_t { NewConnection, KeptConnection, Pipelined, InPieces };

struct PlannedOrder
{
    NodeNumber node = 0;
    const CallerRoute *route = nullptr;
    Sending sending = Sending::NewConnection;
    /// After the node was asked to stop.
    Milliseconds at{0};
    Milliseconds work{0};
};

/// What became of an order.
struct EndedOrder
{
    PlannedOrder plan;
    RequestId id;
    bool isConnected = false;
    TimePoint sentAt;
    TimePoint lastByteAt;
    TimePoint endedAt;
    std::uint16_t status = 0;
};

/// Which nodes are stopped.
enum class StoppedRole : std::uint8_t { Ingress, Egress };

/// How much earlier than its deadline a request counts as one that reached it.
inline constexpr Milliseconds DeadlineTolerance{25};

/// The routes of the orders.
[[nodiscard]] const std::vector<CallerRoute> &orderRoutes();

/// The stop that the orders of one run cross.
struct OrderStop
{
    StoppedRole role = StoppedRole::Ingress;
    Milliseconds grace{0};
    TimePoint at;
};

/// Returns which promise to its caller was broken by @p order; nothing if none was. @p runs: when upstreams worked on
/// the orders.
[[nodiscard]] std::optional<std::string> problemOf(const EndedOrder &order, const OrderStop &stop,
                                                   const RunRecorder &runs);
[[nodiscard]] std::string describe(const EndedOrder &order, const OrderStop &stop, const RunRecorder &runs);

}
