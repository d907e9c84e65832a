#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/outcome/result.hpp>

namespace Egretpath
{

/// One reason why a table, a part of it or a change to it is refused.
struct TableProblem
{
    /// The file, or the key in the platform's service, in which the problem stands.
    std::string file;
    /// The line of the file, from 1. Zero means the whole file.
    std::size_t row = 0;
    /// Empty means the whole row.
    std::string column;
    /// What stands there.
    std::string value;
    /// What would be accepted there, in plain language.
    std::string allowed;

    friend bool operator==(const TableProblem &, const TableProblem &) = default;
};

/// Every problem that was found, in the order of the rows. Never empty when it is an error.
using TableProblems = std::vector<TableProblem>;

/// A value, or all the problems that stand in its way.
template<typename Value>
using TableResult = boost::outcome_v2::result<Value, TableProblems, boost::outcome_v2::policy::all_narrow>;

/// One line for operators, for example
/// `tables/north.csv: row 7, column weight: "many" is not allowed; allowed: a whole number from 0 to 1000`.
/// Bytes that are not printable ASCII are shown as `\xNN`, long values are shortened.
/// Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const TableProblem &problem);

/// All problems, each on its own line. Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const TableProblems &problems);

}
