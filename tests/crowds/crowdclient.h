#pragma once

#include <cstdint>
#include <string>

#include <sys/types.h>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// What each client of a crowd sends on its connection: a start, then a unit again and again.
struct CrowdMessage
{
    std::string start;
    std::string unit;
    std::uint64_t units = 0;
    std::string end;
    /// The most bytes that are written at once.
    std::size_t pieceBytes = std::size_t{256} * 1024;
    /// Whether the client goes on sending units after its message, for as long as the connection takes them.
    bool isEndless = false;
    /// The pause before each unit.
    Milliseconds pause{0};
    /// Whether the client reads what it is answered.
    bool reads = true;
};

/// One connection of a crowd. It never waits. Thread safety: none.
class CrowdClient
{
public:
    CrowdClient(const Endpoint &target, const CrowdMessage &message);
    ~CrowdClient();
    CrowdClient(const CrowdClient &) = delete;
    CrowdClient &operator=(const CrowdClient &) = delete;

    /// Sends and reads what can be sent and read now. Returns whether anything was.
    bool advance();
    /// Whether the node has closed the connection, or it could not be opened.
    [[nodiscard]] bool isClosed() const { return isClosed_; }

private:
    [[nodiscard]] bool fill();
    void takeUnit();
    bool send();
    bool receive();

    const CrowdMessage &message_;
    int socket_ = -1;
    std::string pending_;
    std::size_t sent_ = 0;
    std::uint64_t unitsTaken_ = 0;
    TimePoint nextUnitAt_;
    bool hasStarted_ = false;
    bool hasEnded_ = false;
    bool isClosed_ = false;
};

}
