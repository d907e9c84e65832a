#pragma once

#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>

#include "history/historyrecord.h"

namespace Egretpath
{

/// Why a text is no record.
struct HistoryProblem
{
    std::string detail;
};

template<typename Value>
using HistoryResult = boost::outcome_v2::result<Value, HistoryProblem, boost::outcome_v2::policy::all_narrow>;

/// One JSON object without a line end. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toJsonLine(const HistoryRecord &record);

/// Reads what toJsonLine() wrote. Thread safety: safe. Errors: names the missing or wrong field.
[[nodiscard]] HistoryResult<HistoryRecord> fromJsonLine(std::string_view line);

}
