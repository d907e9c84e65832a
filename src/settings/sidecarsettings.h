#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/digest.h"
#include "core/linkprices.h"
#include "core/strongtype.h"
#include "settings/settingsproblem.h"

namespace Egretpath
{

/// An availability zone and its region.
struct ZoneRegion
{
    ZoneName zone;
    RegionName region;
};

enum class LogLevel : std::uint8_t {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

/// Returns the name that the settings use for @p level. Thread safety: safe.
[[nodiscard]] std::string_view toString(LogLevel level);

/// All settings of a node that runs beside an upstream on a platform. Plain data; readSidecarSettings() guarantees that
/// no required value is missing and that all values are in range. docs/SETTINGS.md describes each key.
struct SidecarSettings
{
    // [node]
    std::string name;
    ServiceName service;
    RegionName region;
    ZoneName zone;

    // [listen]
    Endpoint callers;
    Endpoint ready;
    Endpoint peers;
    /// The endpoint at which starting nodes request the catalog; empty if this node does not serve them.
    Endpoint starters;
    Endpoint metrics;

    // [upstream]
    Endpoint upstream;

    // [platform]
    Endpoint store;

    // [peers]
    std::vector<Endpoint> seeds;

    // [repeats]
    double retryRatio = 0.2;
    double retrySlack = 0.0;

    // [quarantine]
    /// Fingerprints of requests that may run even if upstreams crashed while running them.
    std::vector<Digest> allowedRequests;

    // [links]
    LinkPrices linkPrices;

    // [limits]
    /// The rate of the VM's link; 0 if not given. Large answers are then not paced.
    double linkMbps = 0.0;
    /// The memory of the VM in MB; 0 if not given. Answers that the node holds are then not limited.
    std::uint32_t memoryMb = 0;

    // [zones]: each key is an availability zone, its value the zone's region.
    std::vector<ZoneRegion> zones;

    // [stop]
    /// The longest time from SIGTERM until the process exits.
    Milliseconds grace{6000};

    // [log]
    LogLevel logLevel = LogLevel::Info;
    std::uint32_t decisionsPerSecond = 200;
};

/// Reads settings from TOML @p text; @p file is only the file name in problems. Errors: all problems together; for text
/// that is not TOML only the first error. Thread safety: safe.
[[nodiscard]] SettingsResult<SidecarSettings> readSidecarSettings(std::string_view text, std::string_view file);
/// Reads settings from the file at @p path. Errors: as above, and a file that can't be read. Thread safety: safe.
[[nodiscard]] SettingsResult<SidecarSettings> readSidecarSettingsFile(const std::string &path);

}
