#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Egretpath
{

/// A parsed request target: "/control?mode=up&flag" gives the path and the parameters in their order. Percent escapes
/// are not decoded, since most stand-ins need none. Thread safety: none; const access may be shared.
class QueryTarget
{
public:
    explicit QueryTarget(std::string_view target);

    [[nodiscard]] const std::string &path() const { return path_; }
    [[nodiscard]] bool has(std::string_view name) const { return find(name).has_value(); }
    [[nodiscard]] std::optional<std::string> find(std::string_view name) const;
    /// The parameter as a number; nothing when it is absent or not a number.
    [[nodiscard]] std::optional<std::uint64_t> number(std::string_view name) const;

private:
    struct Parameter
    {
        std::string name;
        std::string value;
    };

    std::string path_;
    std::vector<Parameter> parameters_;
};

/// Parses an unsigned integer; returns nothing for any other text. Thread safety: safe.
[[nodiscard]] std::optional<std::uint64_t> parseUnsigned(std::string_view text);

}
