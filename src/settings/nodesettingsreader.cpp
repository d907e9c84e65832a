#include "settings/nodesettingsreader.h"

#include <algorithm>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

#include <toml++/toml.h>

#include "settings/settingsfile.h"
#include "settings/settingskeys.h"

namespace Egretpath
{

namespace
{

std::string fullName(std::string_view group, std::string_view key)
{
    return std::string(group) + "." + std::string(key);
}

/// Checks one parsed file against the known keys and collects what is wrong.
class TableReader
{
public:
    TableReader(const toml::table &root, std::string_view file)
        : root_(root)
        , file_(file)
    {
    }

    SettingsResult<NodeSettings> read()
    {
        for (const SettingsKey &key : settingsKeys()) {
            readKey(key);
        }
        findUnknownGroups();
        checkTogether();
        if (!problems_.empty()) {
            std::stable_sort(
                problems_.begin(), problems_.end(),
                [](const SettingsProblem &left, const SettingsProblem &right) { return left.line < right.line; });
            return std::move(problems_);
        }
        return std::move(settings_);
    }

private:
    void addProblem(std::size_t line, std::string key, std::string value, std::string allowed)
    {
        problems_.push_back({file_, line, std::move(key), std::move(value), std::move(allowed)});
    }

    void readKey(const SettingsKey &key)
    {
        const toml::node *node = root_[key.group][key.key].node();
        if (node == nullptr) {
            if (key.required) {
                addProblem(0, fullName(key.group, key.key), "", allowedFor(key));
            }
            return;
        }
        const bool accepted = std::visit([this, node](const auto &form) { return store(form, *node); }, key.form);
        if (!accepted) {
            addProblem(node->source().begin.line, fullName(key.group, key.key), shownValue(*node), allowedFor(key));
        }
    }

    bool store(const NumberForm &form, const toml::node &node)
    {
        const auto number = node.value_exact<std::int64_t>();
        if (!number || *number < form.least || *number > form.most) {
            return false;
        }
        form.assign(settings_, *number);
        return true;
    }

    bool store(const TextForm &form, const toml::node &node)
    {
        const auto text = node.value_exact<std::string>();
        if (!text || !form.accepts(*text)) {
            return false;
        }
        form.assign(settings_, *text);
        return true;
    }

    bool store(const TextListForm &form, const toml::node &node)
    {
        const toml::array *array = node.as_array();
        if (array == nullptr || array->size() > form.mostItems) {
            return false;
        }
        std::vector<std::string> items;
        for (const toml::node &item : *array) {
            const auto text = item.value_exact<std::string>();
            if (!text || !form.accepts(*text)) {
                return false;
            }
            items.push_back(*text);
        }
        form.assign(settings_, std::move(items));
        return true;
    }

    void findUnknownGroups()
    {
        for (const auto &[name, node] : root_) {
            const std::string_view group = name.str();
            const auto keys = settingsKeys();
            const bool known =
                std::any_of(keys.begin(), keys.end(), [group](const SettingsKey &key) { return key.group == group; });
            const toml::table *table = node.as_table();
            if (!known) {
                addProblem(name.source().begin.line, std::string(group), std::string(group), "a known group");
            } else if (table == nullptr) {
                addProblem(name.source().begin.line, std::string(group), shownValue(node),
                           "a group, written as [" + std::string(group) + "]");
            } else {
                findUnknownKeys(group, *table);
            }
        }
    }

    void findUnknownKeys(std::string_view group, const toml::table &table)
    {
        for (const auto &[name, node] : table) {
            std::string known;
            bool found = false;
            for (const SettingsKey &key : settingsKeys()) {
                if (key.group == group) {
                    found = found || key.key == name.str();
                    known += (known.empty() ? "" : ", ") + std::string(key.key);
                }
            }
            if (!found) {
                addProblem(name.source().begin.line, fullName(group, name.str()), std::string(name.str()),
                           "one of the keys " + known);
            }
        }
    }

    std::size_t lineOf(std::string_view group, std::string_view key) const
    {
        const toml::node *node = root_[group][key].node();
        return node == nullptr ? 0 : node->source().begin.line;
    }

    /// Values that are right alone but not with each other.
    void checkTogether()
    {
        if (settings_.measuring.paidPerSecond > settings_.measuring.perSecond) {
            addProblem(lineOf("measuring", "paid_bytes_per_second"), "measuring.paid_bytes_per_second",
                       std::to_string(settings_.measuring.paidPerSecond.value()),
                       "at most measuring.bytes_per_second, which is "
                           + std::to_string(settings_.measuring.perSecond.value()));
        }
        checkEndpoint("listen", "peers", settings_.listen.peers, {settings_.listen.callers});
        checkEndpoint("listen", "operators", settings_.listen.operators,
                      {settings_.listen.callers, settings_.listen.peers});
        // A node whose upstream is its own listener would pass each call to itself until its slots are taken.
        checkEndpoint("upstream", "address", settings_.upstream.address,
                      {settings_.listen.callers, settings_.listen.peers, settings_.listen.operators});
    }

    void checkEndpoint(std::string_view group, std::string_view key, const Endpoint &endpoint,
                       const std::vector<Endpoint> &others)
    {
        const bool isFixed = !endpoint.value().empty() && !endpoint.value().ends_with(":0");
        if (isFixed && std::find(others.begin(), others.end(), endpoint) != others.end()) {
            addProblem(lineOf(group, key), fullName(group, key), endpoint.value(),
                       "an address that no other listener of this node has");
        }
    }

    const toml::table &root_;
    std::string file_;
    NodeSettings settings_;
    SettingsProblems problems_;
};

}

SettingsResult<NodeSettings> NodeSettingsReader::read(std::string_view text, std::string_view file)
{
    try {
        const toml::table root = toml::parse(text, file);
        return TableReader(root, file).read();
    } catch (const toml::parse_error &error) {
        return syntaxProblem(error, file);
    }
}

SettingsResult<NodeSettings> NodeSettingsReader::readFile(const std::string &path)
{
    const SettingsResult<std::string> text = readSettingsFile(path);
    if (!text) {
        return text.error();
    }
    return read(text.value(), path);
}

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return "trace";
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warn:
        return "warn";
    case LogLevel::Error:
        break;
    }
    return "error";
}

}
