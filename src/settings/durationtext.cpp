#include "settings/durationtext.h"

#include <charconv>
#include <cmath>

namespace Egretpath
{

namespace
{

constexpr double MillisecondsInSecond = 1000.0;
constexpr double MaxMilliseconds = 366.0 * 86'400.0 * MillisecondsInSecond;

}

std::optional<Milliseconds> durationFromText(std::string_view text)
{
    double number = 0.0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    if (parsed.ec != std::errc{} || (unit != "ms" && unit != "s")) {
        return std::nullopt;
    }
    const double milliseconds = unit == "s" ? number * MillisecondsInSecond : number;
    if (!(milliseconds >= 0.0 && milliseconds <= MaxMilliseconds)) {
        return std::nullopt;
    }
    return Milliseconds(std::llround(milliseconds));
}

}
