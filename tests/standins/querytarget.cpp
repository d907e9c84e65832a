#include "standins/querytarget.h"

#include <algorithm>
#include <charconv>

namespace Egretpath
{

QueryTarget::QueryTarget(std::string_view target)
    : path_(target.substr(0, target.find('?')))
{
    target.remove_prefix(std::min(path_.size() + 1, target.size()));
    while (!target.empty()) {
        const std::string_view item = target.substr(0, target.find('&'));
        const std::size_t equals = std::min(item.find('='), item.size());
        const std::size_t valueBegin = std::min(equals + 1, item.size());
        parameters_.push_back({std::string(item.substr(0, equals)), std::string(item.substr(valueBegin))});
        target.remove_prefix(std::min(item.size() + 1, target.size()));
    }
}

std::optional<std::string> QueryTarget::find(std::string_view name) const
{
    for (const Parameter &parameter : parameters_) {
        if (parameter.name == name) {
            return parameter.value;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> QueryTarget::number(std::string_view name) const
{
    const auto text = find(name);
    return text ? parseUnsigned(*text) : std::nullopt;
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return !text.empty() && result.ec == std::errc{} && result.ptr == end ? std::optional(number) : std::nullopt;
}

}
