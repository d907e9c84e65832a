#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "table/table.h"
#include "table/tablehead.h"
#include "table/tableproblem.h"

namespace Egretpath
{

/// The texts of parts, by the digest of their text.
using TableParts = std::map<Digest, std::string>;

/// A table as values for the platform's key-value service.
struct SplitTable
{
    TableHead head;
    TableParts parts;
};

/// How a table is published in the platform's key-value service, whose values hold at most a megabyte.
///
/// A head value lists the digest of every part; the key of a part holds the digest of its content. Rows go to
/// parts by a stable hash of their service, so a change touches the parts of few services and only those
/// are read again. Since a key names its content, a head can't be read together with parts of
/// another publishing: two operators who publish at once write different part keys, and the one head
/// that stays names only its own. Parts are written before the head.
/// Thread safety: all methods may be called from any thread at once.
class TablePublication
{
public:
    /// The largest value that is published, in bytes.
    static constexpr std::size_t ValueCap = 1'000'000;
    /// Parts of a table, unless they would be too large.
    static constexpr std::size_t DefaultPartCount = 16;
    /// The most parts that a head may list.
    static constexpr std::size_t PartCountCap = TableHeadPartCap;

    /// `<prefix>/head`.
    [[nodiscard]] static std::string headKey(std::string_view prefix);
    /// `<prefix>/part/<digest>`.
    [[nodiscard]] static std::string partKey(std::string_view prefix, const Digest &part);

    /// Splits @p table into DefaultPartCount parts, or twice as many until each is at most ValueCap bytes.
    /// Errors: a problem if the rows of one service alone are larger than a value may be.
    [[nodiscard]] static TableResult<SplitTable> split(const Table &table);

    /// The text of the head value. Preconditions: none. Errors: none.
    [[nodiscard]] static std::string printHead(const TableHead &head);
    /// Reads what printHead() wrote. @p source names it in problems. Errors: the first problem.
    [[nodiscard]] static TableResult<TableHead> parseHead(std::string_view text, std::string_view source);

    /// The digests of @p head that aren't in @p held: what has to be read, each once.
    /// Preconditions: none. Errors: none.
    [[nodiscard]] static std::vector<Digest> missingParts(const TableHead &head, const TableParts &held);

    /// Puts the table together. Parts that the head doesn't list are ignored. @p prefix names the parts in problems.
    /// Errors: a part that is missing or has other content than its key says, every problem in the rows,
    /// or rows whose digest isn't the head's.
    [[nodiscard]] static TableResult<TablePointer> assemble(const TableHead &head, const TableParts &parts,
                                                            std::string_view prefix);

    /// The digests of @p head that a reader with the table of @p base has to read for update(), each once.
    /// Preconditions: none. Errors: none.
    [[nodiscard]] static std::vector<Digest> changedParts(const TableHead &base, const TableHead &head);

    /// As assemble(), for a reader that has the table of an earlier head: needs only changedParts(), and reads only
    /// those. @p base is the table that was assembled from @p baseHead; its other parts need not be kept.
    /// Errors: as assemble(); besides, a base that doesn't belong to @p baseHead.
    [[nodiscard]] static TableResult<TablePointer> update(const Table &base, const TableHead &baseHead,
                                                          const TableHead &head, const TableParts &parts,
                                                          std::string_view prefix);
};

}
