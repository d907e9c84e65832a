#include "membership/vmlisthead.h"

#include <charconv>

namespace Egretpath
{

namespace
{

constexpr std::string_view PartsWord = "parts ";

/// Takes a whole number and the end of its line from the front of @p text.
std::optional<std::uint64_t> takeNumberLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char *const last = text.data() + end;
    const auto [parsedTo, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc{} || parsedTo != last) {
        return std::nullopt;
    }
    text.remove_prefix(end + 1);
    return number;
}

}

bool isVmListHead(std::string_view text)
{
    return text.starts_with(PartsWord);
}

std::optional<VmListHead> parseVmListHead(std::string_view text)
{
    if (!isVmListHead(text)) {
        return std::nullopt;
    }
    text.remove_prefix(PartsWord.size());
    const std::optional<std::uint64_t> parts = takeNumberLine(text);
    const std::optional<std::uint64_t> version = takeNumberLine(text);
    if (!parts || !version || *parts == 0 || *parts > MaxVmListParts || !text.empty()) {
        return std::nullopt;
    }
    return VmListHead{static_cast<std::size_t>(*parts), *version};
}

std::string vmListPartKey(std::string_view listKey, std::size_t part, std::uint64_t version)
{
    std::string key(listKey);
    key.append("/part/").append(std::to_string(part)).append("/").append(std::to_string(version));
    return key;
}

}
