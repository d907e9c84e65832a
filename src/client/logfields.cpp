#include "client/logfields.h"

#include <charconv>
#include <string>

namespace Egretpath
{

std::string_view logField(std::string_view line, std::string_view key)
{
    const std::string prefix = " " + std::string(key) + "=";
    const std::size_t position = line.find(prefix);
    if (position == std::string_view::npos) {
        return {};
    }
    line.remove_prefix(position + prefix.size());
    if (!line.empty() && line.front() == '"') {
        line.remove_prefix(1);
        return line.substr(0, line.find('"'));
    }
    return line.substr(0, line.find(' '));
}

std::int64_t logNumber(std::string_view line, std::string_view key)
{
    const std::string_view text = logField(line, key);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

}
