#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Egretpath
{

/// One log line of key=value pairs; the first pair is the name of the event.
///
/// Empty values and values with spaces, quotes, equals signs, backslashes or control characters are quoted and escaped,
/// so that text from a caller can't add pairs or lines. Preconditions: keys are plain words. Thread safety: none.
/// Errors: none.
class StructuredLine
{
public:
    explicit StructuredLine(std::string_view event);

    /// Appends a pair.
    StructuredLine &add(std::string_view key, std::string_view value);
    StructuredLine &add(std::string_view key, std::int64_t value);
    StructuredLine &add(std::string_view key, std::uint64_t value);
    StructuredLine &add(std::string_view key, double value);

    [[nodiscard]] const std::string &text() const { return text_; }

private:
    void appendKey(std::string_view key);

    std::string text_;
};

}
