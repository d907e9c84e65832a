#include "history/historyreader.h"

#include <algorithm>
#include <fstream>
#include <utility>

namespace Egretpath
{

HistoryResult<void> HistoryReader::readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return HistoryProblem{path + ": cannot be opened"};
    }
    std::string text;
    for (std::size_t number = 1; std::getline(stream, text); ++number) {
        const bool withoutEnd = stream.eof();
        auto record = fromJsonLine(text);
        if (record) {
            history_.lines.push_back(HistoryLine{std::move(record.value()), path, number, text});
        } else if (withoutEnd) {
            history_.tornFiles.push_back(path);
        } else {
            return HistoryProblem{path + ":" + std::to_string(number) + ": " + record.error().detail};
        }
    }
    return boost::outcome_v2::success();
}

History HistoryReader::take()
{
    std::stable_sort(history_.lines.begin(), history_.lines.end(),
                     [](const HistoryLine &left, const HistoryLine &right) {
                         return timeOf(left.record).value() < timeOf(right.record).value();
                     });
    return std::exchange(history_, History{});
}

}
