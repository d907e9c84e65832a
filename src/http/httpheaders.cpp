#include "http/httpheaders.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 8> HopByHopNames{
    "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate",
    "TE",         "Trailer",    "Transfer-Encoding", "Upgrade",
};

constexpr char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

void appendListItems(std::string_view list, std::vector<std::string> &items)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (const std::string_view item = trimmed(list.substr(0, comma)); !item.empty()) {
            items.emplace_back(item);
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return toLower(one) == toLower(other); });
}

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> fields)
    : fields_(fields)
{
}

void HttpHeaders::add(std::string name, std::string value)
{
    fields_.push_back(HttpHeader{std::move(name), std::move(value)});
}

void HttpHeaders::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(fields_, [name](const HttpHeader &field) { return isSameHeaderName(field.name, name); });
}

void HttpHeaders::removeHopByHop()
{
    std::vector<std::string> names(HopByHopNames.begin(), HopByHopNames.end());
    for (const HttpHeader &field : fields_) {
        if (isSameHeaderName(field.name, "Connection")) {
            appendListItems(field.value, names);
        }
    }
    for (const std::string &name : names) {
        remove(name);
    }
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(),
                                    [name](const HttpHeader &field) { return isSameHeaderName(field.name, name); });
    if (found == fields_.end()) {
        return std::nullopt;
    }
    return found->value;
}

}
