#pragma once

#include <string>
#include <vector>

#include "history/historyformat.h"
#include "history/historyrecord.h"

namespace Egretpath
{

/// What was read.
struct History
{
    /// In the order of their times.
    std::vector<HistoryLine> lines;
    /// Files whose last line was torn by a kill; that line was left out.
    std::vector<std::string> tornFiles;
};

/// Reads one history out of the files of several writers.
/// Thread safety: none.
class HistoryReader
{
public:
    /// Adds the records of @p path.
    /// Errors: a file that cannot be opened, or a line with a line end that is no record; file and line are named.
    [[nodiscard]] HistoryResult<void> readFile(const std::string &path);

    /// The records so far, sorted by time. Leaves the reader empty.
    [[nodiscard]] History take();

private:
    History history_;
};

}
