#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Egretpath
{

/// One log line of key=value pairs, led by the name of the event.
///
/// Values with spaces, quotes, equals signs or control characters are quoted and escaped, so that text of a caller
/// can't add pairs or lines. Preconditions: keys are plain words. Thread safety: none. Errors: none.
class StructuredLine
{
public:
    explicit StructuredLine(std::string_view event);

    StructuredLine &add(std::string_view key, std::string_view value);
    StructuredLine &add(std::string_view key, std::int64_t value);
    StructuredLine &add(std::string_view key, std::uint64_t value);
    StructuredLine &add(std::string_view key, double value);

    [[nodiscard]] const std::string &text() const { return text_; }

private:
    void beginPair(std::string_view key);

    std::string text_;
};

}
