#pragma once

#include <fstream>
#include <string>

#include "history/historyrecord.h"

namespace Egretpath
{

/// Appends records to a file, one JSON object a line, each handed to the system at once: a killed process loses at most
/// the line it was writing.
/// Thread safety: none.
class HistoryWriter
{
public:
    /// Opens @p path for appending; good() tells whether that worked. A torn last line of an earlier run is ended
    /// first.
    explicit HistoryWriter(const std::string &path);

    /// Returns false if the record could not be written.
    bool write(const HistoryRecord &record);
    [[nodiscard]] bool good() const { return stream_.good(); }

private:
    std::ofstream stream_;
};

}
