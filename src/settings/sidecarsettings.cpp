#include "settings/sidecarsettings.h"

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <utility>

#include <toml++/toml.h>

#include "settings/durationtext.h"
#include "settings/endpointtext.h"
#include "settings/settingsfile.h"

namespace Egretpath
{

namespace
{

constexpr std::string_view AllowedName = "a text of 1 to 200 characters";
constexpr std::string_view AllowedEndpoint = "an IP address and port such as \"10.0.0.7:8080\"";
constexpr std::string_view AllowedFingerprint = "a fingerprint of 32 hexadecimal digits, as in the log";
constexpr std::string_view AllowedDuration = "a time such as \"1500ms\" or \"2.5s\", from 0 to 1 hour";
constexpr std::string_view AllowedNumber = "a number from 0 to 1000000";
constexpr std::string_view AllowedMemory = "a number from 32 to 1000000";
constexpr std::string_view AllowedLevel = "one of trace, debug, info, warn, error";
constexpr std::size_t MaxNameLength = 200;
constexpr double MaxNumber = 1e6;
/// The least memory in which a node works.
constexpr double MinMemoryMb = 32.0;
constexpr Milliseconds MaxDuration{3'600'000};
constexpr std::array<std::string_view, 5> LevelNames{"trace", "debug", "info", "warn", "error"};

bool isEndpoint(std::string_view text)
{
    return portOfEndpoint(text).value_or(0) != 0;
}

enum class Presence : std::uint8_t { Required, Optional };

/// Reads the known keys of one parsed file and collects the problems.
class SettingsReader
{
public:
    SettingsReader(const toml::table &root, std::string_view file)
        : root_(root)
        , file_(file)
    {
    }

    SettingsResult<SidecarSettings> read()
    {
        SidecarSettings settings;
        readText("node", "name", settings.name);
        readName("node", "service", settings.service);
        readName("node", "region", settings.region);
        readName("node", "zone", settings.zone);
        readEndpoint("listen", "callers", settings.callers, Presence::Required);
        readEndpoint("listen", "ready", settings.ready, Presence::Required);
        readEndpoint("listen", "peers", settings.peers, Presence::Required);
        readEndpoint("listen", "starters", settings.starters, Presence::Optional);
        readEndpoint("listen", "metrics", settings.metrics, Presence::Optional);
        readEndpoint("upstream", "address", settings.upstream, Presence::Required);
        readEndpoint("platform", "store", settings.store, Presence::Required);
        readList("peers", "seeds", AllowedEndpoint, [&settings](const std::string &text) {
            settings.seeds.emplace_back(text);
            return isEndpoint(text);
        });
        readList("quarantine", "allow", AllowedFingerprint, [&settings](const std::string &text) {
            return fromHex(text, settings.allowedRequests.emplace_back());
        });
        readZones(settings.zones);
        readNumber("repeats", "ratio", settings.retryRatio);
        readNumber("repeats", "slack", settings.retrySlack);
        readNumber("links", "zone_price_per_kib", settings.linkPrices.zonePerKiB);
        readNumber("links", "region_price_per_kib", settings.linkPrices.regionPerKiB);
        readDuration("stop", "grace", settings.grace);
        readMemory(settings.memoryMb);
        readLog(settings);
        if (!problems_.empty()) {
            return std::move(problems_);
        }
        return settings;
    }

private:
    using Node = toml::node;

    void addProblem(const Node *node, std::string_view group, std::string_view key, std::string_view allowed)
    {
        std::string value = node == nullptr ? std::string() : formatValue(*node);
        const std::size_t line = node == nullptr ? 0 : node->source().begin.line;
        problems_.push_back(
            {file_, line, std::string(group) + "." + std::string(key), std::move(value), std::string(allowed)});
    }

    [[nodiscard]] const Node *find(std::string_view group, std::string_view key) const
    {
        return root_[group][key].node();
    }

    void readText(std::string_view group, std::string_view key, std::string &target)
    {
        const Node *node = find(group, key);
        const auto text = node == nullptr ? std::nullopt : node->value_exact<std::string>();
        if (!text || text->empty() || text->size() > MaxNameLength) {
            addProblem(node, group, key, AllowedName);
            return;
        }
        target = *text;
    }

    template<typename Type>
    void readName(std::string_view group, std::string_view key, Type &target)
    {
        std::string text;
        readText(group, key, text);
        target = Type(std::move(text));
    }

    void readEndpoint(std::string_view group, std::string_view key, Endpoint &target, Presence presence)
    {
        const Node *node = find(group, key);
        const auto text = node == nullptr ? std::nullopt : node->value_exact<std::string>();
        const bool absent = node == nullptr || (text && text->empty());
        if (absent && presence == Presence::Optional) {
            return;
        }
        if (!text || !isEndpoint(*text)) {
            addProblem(node, group, key, AllowedEndpoint);
            return;
        }
        target = Endpoint(*text);
    }

    /// Passes each text of the list to @p accept, which returns whether the text is valid. @p allowed describes valid
    /// texts in problems.
    void readList(std::string_view group, std::string_view key, std::string_view allowed,
                  const std::function<bool(const std::string &)> &accept)
    {
        const Node *node = find(group, key);
        if (node == nullptr) {
            return;
        }
        const toml::array *array = node->as_array();
        if (array == nullptr) {
            addProblem(node, group, key, "a list, each item " + std::string(allowed));
            return;
        }
        for (const Node &item : *array) {
            const auto text = item.value_exact<std::string>();
            if (!text || !accept(*text)) {
                addProblem(&item, group, key, allowed);
            }
        }
    }

    void readZones(std::vector<ZoneRegion> &zones)
    {
        const toml::table *table = root_["zones"].as_table();
        if (table == nullptr) {
            return;
        }
        for (const auto &[zone, node] : *table) {
            const auto region = node.value_exact<std::string>();
            if (!region || region->empty()) {
                addProblem(&node, "zones", zone.str(), AllowedName);
                continue;
            }
            zones.push_back({ZoneName(std::string(zone.str())), RegionName(*region)});
        }
    }

    void readNumber(std::string_view group, std::string_view key, double &target)
    {
        const Node *node = find(group, key);
        if (node == nullptr) {
            return;
        }
        const auto number = node->value<double>();
        if (!number || !(*number >= 0.0 && *number <= MaxNumber)) {
            addProblem(node, group, key, AllowedNumber);
            return;
        }
        target = *number;
    }

    void readDuration(std::string_view group, std::string_view key, Milliseconds &target)
    {
        const Node *node = find(group, key);
        if (node == nullptr) {
            return;
        }
        const auto text = node->value_exact<std::string>();
        const auto duration = text ? durationFromText(*text) : std::nullopt;
        if (!duration || *duration > MaxDuration) {
            addProblem(node, group, key, AllowedDuration);
            return;
        }
        target = *duration;
    }

    void readMemory(std::uint32_t &target)
    {
        const Node *node = find("limits", "memory_mb");
        if (node == nullptr) {
            return;
        }
        const auto number = node->value<double>();
        if (!number || !(*number >= MinMemoryMb && *number <= MaxNumber)) {
            addProblem(node, "limits", "memory_mb", AllowedMemory);
            return;
        }
        target = static_cast<std::uint32_t>(*number);
    }

    void readLog(SidecarSettings &settings)
    {
        double decisions = settings.decisionsPerSecond;
        readNumber("log", "decisions_per_second", decisions);
        settings.decisionsPerSecond = static_cast<std::uint32_t>(decisions);
        const Node *node = find("log", "level");
        if (node == nullptr) {
            return;
        }
        const auto text = node->value_exact<std::string>();
        const auto *level = std::find(LevelNames.begin(), LevelNames.end(), text.value_or(std::string()));
        if (level == LevelNames.end()) {
            addProblem(node, "log", "level", AllowedLevel);
            return;
        }
        settings.logLevel = static_cast<LogLevel>(level - LevelNames.begin());
    }

    const toml::table &root_;
    std::string file_;
    SettingsProblems problems_;
};

}

std::string_view toString(LogLevel level)
{
    return LevelNames.at(static_cast<std::size_t>(level));
}

SettingsResult<SidecarSettings> readSidecarSettings(std::string_view text, std::string_view file)
{
    try {
        const toml::table root = toml::parse(text, file);
        return SettingsReader(root, file).read();
    } catch (const toml::parse_error &error) {
        return syntaxProblem(error, file);
    }
}

SettingsResult<SidecarSettings> readSidecarSettingsFile(const std::string &path)
{
    const SettingsResult<std::string> text = readSettingsFile(path);
    if (!text) {
        return text.error();
    }
    return readSidecarSettings(text.value(), path);
}

}
