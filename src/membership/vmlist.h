#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/vmrecord.h"

namespace Egretpath
{

/// The platform's list of live and leaving VMs. It lags behind the truth.
struct VmList
{
    std::uint64_t version = 0;
    /// Sorted by upstream; no upstream occurs twice.
    std::vector<VmRecord> records;

    friend bool operator==(const VmList &, const VmList &) = default;
};

/// Why a line of a list was refused. Lines count from 1.
struct VmListProblem
{
    std::size_t line = 0;
    /// What was wrong, the value found, and what is allowed.
    std::string message;
};

/// The outcome of parseVmList(): either a list or at least one problem.
struct VmListParse
{
    std::optional<VmList> list;
    std::vector<VmListProblem> problems;
};

/// Larger texts are refused before they are read.
constexpr std::size_t MaxVmListBytes = std::size_t{8} * 1024 * 1024;
/// More rows are refused.
constexpr std::size_t MaxVmListRecords = 65'536;
/// Longer fields are refused.
constexpr std::size_t MaxVmListFieldBytes = 128;
/// No more problems than this are collected from one text.
constexpr std::size_t MaxVmListProblems = 20;

/// Reads a list value: the version number on the first line, then one line
/// `upstream,service,region,zone,address,state` for each VM, with state `live` or `leaving`.
///
/// A text with any bad line is refused whole: a list cut short in transit would otherwise look like
/// the loss of all VMs after the cut. Empty lines are allowed. Preconditions: none.
/// Thread safety: safe. Errors: in VmListParse::problems.
[[nodiscard]] VmListParse parseVmList(std::string_view text);

/// The text that parseVmList() reads back to an equal list. Thread safety: safe. Errors: none.
[[nodiscard]] std::string printVmList(const VmList &list);

}
