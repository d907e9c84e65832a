#include "settings/settingskeys.h"

#include <algorithm>
#include <array>
#include <optional>
#include <type_traits>
#include <utility>

#include "settings/endpointtext.h"
#include "table/tablename.h"

namespace Egretpath
{

namespace
{

constexpr std::string_view AllowedListen =
    "an IP address and port such as \"10.0.0.7:8080\"; port 0 lets the system choose";
constexpr std::string_view AllowedRemote = "an IP address and port from 1 to 65535 such as \"10.0.0.7:8080\"";
constexpr std::string_view AllowedPath =
    "a path that begins with \"/\", of at most 200 printable characters without spaces";
constexpr std::string_view AllowedPlatformKey = "1 to 200 printable characters without spaces";
constexpr std::string_view AllowedFile = "\"-\" for the standard error stream, or the path of a file";

constexpr std::size_t TextCap = 200;
constexpr std::size_t FilePathCap = 4096;
constexpr std::size_t SeedsMost = 64;

constexpr std::int64_t KiB = 1024;
constexpr std::int64_t MiB = 1024 * KiB;
constexpr std::int64_t Hour = 3'600'000;

constexpr std::array<std::string_view, 6> Strategies{
    "random", "round-robin", "least-in-flight", "two-choices", "hot-cold", "egretpath",
};

constexpr std::array<std::string_view, 5> Levels{"trace", "debug", "info", "warn", "error"};

bool isPlatformKey(std::string_view text)
{
    return !text.empty() && text.size() <= TextCap
        && std::all_of(text.begin(), text.end(), [](char character) { return character > ' ' && character <= '~'; });
}

bool isPath(std::string_view text)
{
    return isPlatformKey(text) && text.front() == '/';
}

bool isFilePath(std::string_view text)
{
    return !text.empty() && text.size() <= FilePathCap && text.find('\0') == std::string_view::npos;
}

bool isListenEndpoint(std::string_view text)
{
    return portOfEndpoint(text).has_value();
}

bool isRemoteEndpoint(std::string_view text)
{
    return portOfEndpoint(text).value_or(0) != 0;
}

bool isStrategy(std::string_view text)
{
    return std::find(Strategies.begin(), Strategies.end(), text) != Strategies.end();
}

bool isLevel(std::string_view text)
{
    return std::find(Levels.begin(), Levels.end(), text) != Levels.end();
}

/// Stores a value in the member @p Member of the group @p Group, as that member's type.
template<auto Group, auto Member, typename Value>
void assign(NodeSettings &settings, Value value)
{
    auto &target = (settings.*Group).*Member;
    using Target = std::remove_reference_t<decltype(target)>;
    target = static_cast<Target>(std::move(value));
}

template<auto Group, auto Member>
constexpr auto AssignNumber = &assign<Group, Member, std::int64_t>;

template<auto Group, auto Member>
constexpr auto AssignText = &assign<Group, Member, std::string>;

void assignSeeds(NodeSettings &settings, std::vector<std::string> seeds)
{
    settings.peers.seeds.clear();
    for (std::string &seed : seeds) {
        settings.peers.seeds.emplace_back(std::move(seed));
    }
}

void assignLevel(NodeSettings &settings, std::string level)
{
    settings.log.level = static_cast<LogLevel>(std::find(Levels.begin(), Levels.end(), level) - Levels.begin());
}

using Settings = NodeSettings;

constexpr std::array<SettingsKey, 32> Keys{{
    {"node", "upstream", true,
     TextForm{AllowedTableName, isTableName, AssignText<&Settings::node, &NodePlaceSettings::upstream>}},
    {"node", "service", true,
     TextForm{AllowedTableName, isTableName, AssignText<&Settings::node, &NodePlaceSettings::service>}},
    {"node", "region", true,
     TextForm{AllowedTableName, isTableName, AssignText<&Settings::node, &NodePlaceSettings::region>}},
    {"node", "zone", true,
     TextForm{AllowedTableName, isTableName, AssignText<&Settings::node, &NodePlaceSettings::zone>}},
    {"listen", "callers", true,
     TextForm{AllowedListen, isListenEndpoint, AssignText<&Settings::listen, &ListenSettings::callers>}},
    {"listen", "peers", true,
     TextForm{AllowedListen, isListenEndpoint, AssignText<&Settings::listen, &ListenSettings::peers>}},
    {"listen", "operators", true,
     TextForm{AllowedListen, isListenEndpoint, AssignText<&Settings::listen, &ListenSettings::operators>}},
    {"upstream", "address", true,
     TextForm{AllowedRemote, isRemoteEndpoint, AssignText<&Settings::upstream, &UpstreamSettings::address>}},
    {"upstream", "health_path", false,
     TextForm{AllowedPath, isPath, AssignText<&Settings::upstream, &UpstreamSettings::healthPath>}},
    {"upstream", "health_interval_ms", false,
     NumberForm{"ms", 10, 60'000, AssignNumber<&Settings::upstream, &UpstreamSettings::healthInterval>}},
    {"platform", "address", true,
     TextForm{AllowedRemote, isRemoteEndpoint, AssignText<&Settings::platform, &PlatformSettings::address>}},
    {"platform", "table_prefix", false,
     TextForm{AllowedPlatformKey, isPlatformKey, AssignText<&Settings::platform, &PlatformSettings::tablePrefix>}},
    {"platform", "vms_key", false,
     TextForm{AllowedPlatformKey, isPlatformKey, AssignText<&Settings::platform, &PlatformSettings::vmsKey>}},
    {"platform", "poll_interval_ms", false,
     NumberForm{"ms", 100, Hour, AssignNumber<&Settings::platform, &PlatformSettings::pollInterval>}},
    {"peers", "seeds", false, TextListForm{AllowedRemote, isRemoteEndpoint, SeedsMost, assignSeeds}},
    {"limits", "header_bytes", false,
     NumberForm{"bytes", KiB, MiB, AssignNumber<&Settings::limits, &LimitSettings::header>}},
    {"limits", "connections", false,
     NumberForm{"", 1, 100'000, AssignNumber<&Settings::limits, &LimitSettings::connections>}},
    {"limits", "streams", false, NumberForm{"", 1, 100'000, AssignNumber<&Settings::limits, &LimitSettings::streams>}},
    {"limits", "idle_ms", false, NumberForm{"ms", 1000, Hour, AssignNumber<&Settings::limits, &LimitSettings::idle>}},
    {"measuring", "bytes_per_second", false,
     NumberForm{"bytes a second", 0, 1000 * MiB, AssignNumber<&Settings::measuring, &MeasuringSettings::perSecond>}},
    {"measuring", "paid_bytes_per_second", false,
     NumberForm{"bytes a second", 0, 1000 * MiB,
                AssignNumber<&Settings::measuring, &MeasuringSettings::paidPerSecond>}},
    {"routing", "strategy", false,
     TextForm{"one of random, round-robin, least-in-flight, two-choices, hot-cold, egretpath", isStrategy,
              AssignText<&Settings::routing, &RoutingSettings::strategy>}},
    {"idempotency", "memory_ms", false,
     NumberForm{"ms", 1000, 24 * Hour, AssignNumber<&Settings::idempotency, &IdempotencySettings::memory>}},
    {"idempotency", "entries", false,
     NumberForm{"", 1, 10'000'000, AssignNumber<&Settings::idempotency, &IdempotencySettings::entries>}},
    {"idempotency", "answer_bytes", false,
     NumberForm{"bytes", 0, 1024 * MiB, AssignNumber<&Settings::idempotency, &IdempotencySettings::answer>}},
    {"drain", "limit_ms", false, NumberForm{"ms", 0, Hour, AssignNumber<&Settings::drain, &DrainSettings::limit>}},
    {"start", "quorum_sample", false,
     NumberForm{"", 1, 1000, AssignNumber<&Settings::start, &StartSettings::quorumSample>}},
    {"start", "gate_limit_ms", false,
     NumberForm{"ms", 0, Hour, AssignNumber<&Settings::start, &StartSettings::gateLimit>}},
    {"log", "file", false, TextForm{AllowedFile, isFilePath, AssignText<&Settings::log, &LogSettings::file>}},
    {"log", "level", false, TextForm{"one of trace, debug, info, warn, error", isLevel, assignLevel}},
    {"log", "decisions_per_second", false,
     NumberForm{"", 0, 1'000'000, AssignNumber<&Settings::log, &LogSettings::decisionsPerSecond>}},
    {"random", "seed", false, NumberForm{"", 0, INT64_MAX, AssignNumber<&Settings::random, &RandomSettings::seed>}},
}};

std::string allowedForForm(const NumberForm &form)
{
    std::string text = "a whole number";
    if (!form.unit.empty()) {
        text += " of " + std::string(form.unit);
    }
    return text + " from " + std::to_string(form.least) + " to " + std::to_string(form.most);
}

std::string allowedForForm(const TextForm &form)
{
    return std::string(form.allowed);
}

std::string allowedForForm(const TextListForm &form)
{
    return "a list of at most " + std::to_string(form.mostItems) + " texts, each " + std::string(form.allowed);
}

}

std::span<const SettingsKey> settingsKeys()
{
    return Keys;
}

std::string allowedFor(const SettingsKey &key)
{
    return std::visit([](const auto &form) { return allowedForForm(form); }, key.form);
}

}
