#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "table/tablehead.h"
#include "table/tableproblem.h"

namespace Egretpath
{

/// Reads the lines of a head one after the other and stops at the first that is wrong. Thread safety: none.
class TableHeadReader
{
public:
    /// Preconditions: @p text and @p source outlive this reader. @p source names the head in problems.
    TableHeadReader(std::string_view text, std::string_view source);

    /// Reads the whole head. Preconditions: called once. Errors: the first problem.
    [[nodiscard]] TableResult<TableHead> read();

private:
    std::string_view nextLine();
    bool fail(std::string_view line, std::string allowed);
    bool readExactly(std::string_view expected);
    bool readNothing();
    bool readNumber(std::string_view field, std::uint64_t most, std::uint64_t &number);
    bool readDigest(std::string_view field, Digest &digest);
    bool readParts(std::uint64_t partCount, TableHead &head);

    std::string_view rest_;
    std::string_view source_;
    std::size_t row_ = 0;
    TableProblem problem_;
};

}
