#include "table/tableheadreader.h"

#include <charconv>
#include <optional>
#include <utility>

namespace Egretpath
{

using namespace TableHeadText;

namespace
{

/// The text after `<field> `, or nothing.
std::optional<std::string_view> valueOf(std::string_view line, std::string_view field)
{
    if (line.size() <= field.size() || !line.starts_with(field) || line[field.size()] != ' ') {
        return std::nullopt;
    }
    return line.substr(field.size() + 1);
}

/// What a line with a field has to look like, for messages.
std::string allowedField(std::string_view field, std::string_view value)
{
    std::string text = "\"";
    return text.append(field).append(" <").append(value).append(">\"");
}

}

TableHeadReader::TableHeadReader(std::string_view text, std::string_view source)
    : rest_(text)
    , source_(source)
{
}

TableResult<TableHead> TableHeadReader::read()
{
    TableHead head;
    std::uint64_t number = 0;
    std::uint64_t partCount = 0;
    const bool whole = readExactly(FirstLine) && readNumber(NumberField, UINT64_MAX, number)
        && readDigest(DigestField, head.version.digest) && readNumber(PartCountField, TableHeadPartCap, partCount)
        && readParts(partCount, head) && readExactly(LastLine) && readNothing();
    if (!whole) {
        return TableProblems{std::move(problem_)};
    }
    head.version.number = TableNumber(number);
    return head;
}

std::string_view TableHeadReader::nextLine()
{
    ++row_;
    const std::size_t size = rest_.find('\n');
    // A last line without its line feed was cut off.
    const std::string_view line = size == std::string_view::npos ? std::string_view() : rest_.substr(0, size);
    rest_.remove_prefix(size == std::string_view::npos ? rest_.size() : size + 1);
    return line;
}

bool TableHeadReader::fail(std::string_view line, std::string allowed)
{
    constexpr std::size_t ShownSize = 80;
    problem_ = {std::string(source_), row_, {}, std::string(line.substr(0, ShownSize)), std::move(allowed)};
    return false;
}

bool TableHeadReader::readExactly(std::string_view expected)
{
    const std::string_view line = nextLine();
    return line == expected || fail(line, "the line \"" + std::string(expected) + "\"");
}

bool TableHeadReader::readNothing()
{
    ++row_;
    return rest_.empty() || fail(rest_, "nothing after the line \"" + std::string(LastLine) + "\"");
}

bool TableHeadReader::readNumber(std::string_view field, std::uint64_t most, std::uint64_t &number)
{
    const std::string_view line = nextLine();
    const auto value = valueOf(line, field);
    if (value) {
        const char *end = value->data() + value->size();
        const auto result = std::from_chars(value->data(), end, number);
        if (result.ec == std::errc{} && result.ptr == end && number >= 1 && number <= most) {
            return true;
        }
    }
    return fail(line, allowedField(field, "a whole number from 1 to " + std::to_string(most)));
}

bool TableHeadReader::readDigest(std::string_view field, Digest &digest)
{
    const std::string_view line = nextLine();
    const auto value = valueOf(line, field);
    return (value && fromHex(*value, digest)) || fail(line, allowedField(field, "32 hexadecimal digits"));
}

bool TableHeadReader::readParts(std::uint64_t partCount, TableHead &head)
{
    for (std::uint64_t index = 0; index < partCount; ++index) {
        Digest digest;
        if (!readDigest(PartField, digest)) {
            return false;
        }
        head.parts.push_back(digest);
    }
    return true;
}

}
