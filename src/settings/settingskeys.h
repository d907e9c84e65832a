#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings/nodesettings.h"

namespace Egretpath
{

/// A key whose value is a whole number in a range.
struct NumberForm
{
    /// "bytes", "ms" and so on; empty for plain counts.
    std::string_view unit;
    std::int64_t least = 0;
    std::int64_t most = 0;
    void (*assign)(NodeSettings &, std::int64_t) = nullptr;
};

/// A key whose value is text.
struct TextForm
{
    std::string_view allowed;
    bool (*accepts)(std::string_view) = nullptr;
    void (*assign)(NodeSettings &, std::string) = nullptr;
};

/// A key whose value is a list of texts.
struct TextListForm
{
    std::string_view allowed;
    bool (*accepts)(std::string_view) = nullptr;
    std::size_t mostItems = 0;
    void (*assign)(NodeSettings &, std::vector<std::string>) = nullptr;
};

/// One key of the settings: its place, and how a value is checked and stored.
struct SettingsKey
{
    std::string_view group;
    std::string_view key;
    bool required = false;
    std::variant<NumberForm, TextForm, TextListForm> form;
};

/// All keys, in the order of the groups in NodeSettings. Thread safety: safe.
[[nodiscard]] std::span<const SettingsKey> settingsKeys();

/// What is accepted for a key, in plain language with its unit. Thread safety: safe. Errors: none.
[[nodiscard]] std::string allowedFor(const SettingsKey &key);

}
