#include "history/historywriter.h"

#include <filesystem>
#include <system_error>

#include "history/historyformat.h"

namespace Egretpath
{

namespace
{

/// Cuts off what stands after the last line end: the line that a killed process was writing.
void cutTornLine(const std::string &path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    if (error || size == 0) {
        return;
    }
    std::ifstream stream(path, std::ios::binary);
    std::uintmax_t whole = size;
    char last = '\0';
    while (whole > 0) {
        stream.seekg(static_cast<std::streamoff>(whole) - 1);
        if (!stream.get(last) || last == '\n') {
            break;
        }
        --whole;
    }
    if (whole < size) {
        std::filesystem::resize_file(path, whole, error);
    }
}

}

HistoryWriter::HistoryWriter(const std::string &path)
{
    cutTornLine(path);
    stream_.open(path, std::ios::binary | std::ios::app);
}

bool HistoryWriter::write(const HistoryRecord &record)
{
    stream_ << toJsonLine(record) + '\n' << std::flush;
    return good();
}

}
