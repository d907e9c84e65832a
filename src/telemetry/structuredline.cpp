#include "telemetry/structuredline.h"

#include <charconv>
#include <cstdio>

namespace Egretpath
{

namespace
{

bool needsQuotes(std::string_view value)
{
    for (const char character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (code <= ' ' || code == '"' || code == '=' || code == '\\' || code == 0x7f) {
            return true;
        }
    }
    return value.empty();
}

void appendEscaped(std::string &text, char character)
{
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        text += '\\';
        text += character;
    } else if (code < ' ' || code == 0x7f) {
        char escape[5];
        std::snprintf(escape, sizeof escape, "\\x%02x", code);
        text += escape;
    } else {
        text += character;
    }
}

template<typename Number>
void appendNumber(std::string &text, Number number)
{
    char buffer[32];
    const auto result = std::to_chars(buffer, buffer + sizeof buffer, number);
    text.append(buffer, result.ptr);
}

}

StructuredLine::StructuredLine(std::string_view event)
    : text_("event=")
{
    text_ += event;
}

StructuredLine &StructuredLine::add(std::string_view key, std::string_view value)
{
    appendKey(key);
    if (!needsQuotes(value)) {
        text_ += value;
        return *this;
    }
    text_ += '"';
    for (const char character : value) {
        appendEscaped(text_, character);
    }
    text_ += '"';
    return *this;
}

StructuredLine &StructuredLine::add(std::string_view key, std::int64_t value)
{
    appendKey(key);
    appendNumber(text_, value);
    return *this;
}

StructuredLine &StructuredLine::add(std::string_view key, std::uint64_t value)
{
    appendKey(key);
    appendNumber(text_, value);
    return *this;
}

StructuredLine &StructuredLine::add(std::string_view key, double value)
{
    constexpr int Precision = 4;
    char buffer[64];
    const auto result = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::general, Precision);
    appendKey(key);
    text_.append(buffer, result.ptr);
    return *this;
}

void StructuredLine::appendKey(std::string_view key)
{
    text_ += ' ';
    text_ += key;
    text_ += '=';
}

}
