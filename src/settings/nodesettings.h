#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// [node]: who this node is and where it stands.
struct NodePlaceSettings
{
    UpstreamName upstream;
    ServiceName service;
    RegionName region;
    ZoneName zone;
};

/// [listen]: where this node can be reached. "ip:port" each; port 0 lets the system choose.
struct ListenSettings
{
    Endpoint callers;
    Endpoint peers;
    Endpoint operators;
};

/// [upstream]: the upstream beside this node.
struct UpstreamSettings
{
    Endpoint address;
    std::string healthPath = "/health";
    Milliseconds healthInterval{500};
};

/// [platform]: the platform's key-value service, which is only read.
struct PlatformSettings
{
    Endpoint address;
    std::string tablePrefix = "egretpath/table";
    std::string vmsKey = "egretpath/vms";
    Milliseconds pollInterval{1000};
};

/// [peers]: nodes to ask when the platform can't be read at the start.
struct PeerSettings
{
    std::vector<Endpoint> seeds;
};

/// [limits]: what this node holds at most.
struct LimitSettings
{
    Bytes header{16384};
    std::uint32_t connections = 2000;
    /// Calls that run at the same time on one connection between nodes. No node acts on it yet.
    std::uint32_t streams = 256;
    Milliseconds idle{60000};
};

/// [measuring]: bytes a second that this node may spend on probes.
struct MeasuringSettings
{
    Bytes perSecond{100};
    /// The share of it for links between regions; the table's measure_cap bounds it as well.
    Bytes paidPerSecond{0};
};

/// [routing]: how an upstream is chosen.
struct RoutingSettings
{
    /// One of random, round-robin, least-in-flight, two-choices, hot-cold, egretpath.
    std::string strategy = "egretpath";
};

/// [idempotency]: the memory of calls with a key.
struct IdempotencySettings
{
    Milliseconds memory{600000};
    std::uint32_t entries = 200000;
    /// Answers that are held for callers who ask again.
    Bytes answer{32UL * 1024 * 1024};
};

/// [drain]: the planned stop.
struct DrainSettings
{
    Milliseconds limit{30000};
};

/// [start]: how a starting node confirms that its table is current.
struct StartSettings
{
    std::uint32_t quorumSample = 8;
    /// No node acts on it yet: the gate stays shut until it has its answers.
    Milliseconds gateLimit{10000};
};

enum class LogLevel : std::uint8_t {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

/// [log]: where log lines go.
struct LogSettings
{
    /// "-" is the standard error stream.
    std::string file = "-";
    LogLevel level = LogLevel::Info;
    /// Routing and placement decisions that are logged a second; those beyond are counted.
    std::uint32_t decisionsPerSecond = 1000;
};

/// [random]: the generator behind random choices.
struct RandomSettings
{
    /// Nothing means a seed from the system.
    std::optional<std::uint64_t> seed;
};

/// All settings of a node. Plain data; made whole and in range by NodeSettingsReader.
struct NodeSettings
{
    NodePlaceSettings node;
    ListenSettings listen;
    UpstreamSettings upstream;
    PlatformSettings platform;
    PeerSettings peers;
    LimitSettings limits;
    MeasuringSettings measuring;
    RoutingSettings routing;
    IdempotencySettings idempotency;
    DrainSettings drain;
    StartSettings start;
    LogSettings log;
    RandomSettings random;
};

}
