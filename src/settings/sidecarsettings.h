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

/// Where an availability zone lies.
struct ZonePlace
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

/// The word for @p level in settings. Thread safety: safe.
[[nodiscard]] std::string_view toString(LogLevel level);

/// All settings of a node that runs beside an upstream on a platform. Plain data; made whole and in range by
/// readSidecarSettings(). docs/SETTINGS.md describes each key.
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
    /// Where starting nodes ask; empty if this node isn't asked.
    Endpoint starters;
    Endpoint metrics;

    // [upstream]
    Endpoint upstream;

    // [platform]
    Endpoint store;

    // [peers]
    std::vector<Endpoint> seeds;

    // [repeats]
    double repeatRatio = 0.2;
    double repeatSlack = 0.0;

    // [quarantine]
    /// Fingerprints of requests that are run even if upstreams ended with them under way.
    std::vector<Digest> allowedRequests;

    // [links]
    LinkPrices linkPrices;

    // [zones]: the region of each availability zone.
    std::vector<ZonePlace> zones;

    // [stop]
    /// After SIGTERM the process may live for so long.
    Milliseconds grace{6000};

    // [log]
    LogLevel logLevel = LogLevel::Info;
    std::uint32_t decisionsPerSecond = 200;
};

/// Reads settings from TOML @p text; @p file only names them in problems. Errors: all problems at once; of text that is
/// no TOML the first error. Thread safety: safe.
[[nodiscard]] SettingsResult<SidecarSettings> readSidecarSettings(std::string_view text, std::string_view file);
/// As above, from the file at @p path. Errors: also a file that can't be read.
[[nodiscard]] SettingsResult<SidecarSettings> readSidecarSettingsFile(const std::string &path);

}
