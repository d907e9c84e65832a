#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <boost/outcome/result.hpp>

namespace Egretpath
{

/// One reason why settings are refused.
struct SettingsProblem
{
    std::string file;
    /// The line of the file, counted from 1. Zero means the whole file, for example if a key is missing.
    std::size_t line = 0;
    /// The group and the key, for example `limits.header_bytes`.
    std::string key;
    /// The refused value; empty if there is none.
    std::string value;
    /// Describes the accepted values in plain language, with their unit.
    std::string allowed;

    friend bool operator==(const SettingsProblem &, const SettingsProblem &) = default;
};

/// All problems that were found, in the order in which the keys are read. Never empty as the error of a result.
using SettingsProblems = std::vector<SettingsProblem>;

template<typename Value>
using SettingsResult = boost::outcome_v2::result<Value, SettingsProblems, boost::outcome_v2::policy::all_narrow>;

/// Formats @p problem as one line for operators, for example
/// `node.toml: line 4, key limits.header_bytes: "big" is not allowed; allowed: a whole number of bytes from ...`.
/// Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const SettingsProblem &problem);

/// Formats all problems, each on its own line. Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const SettingsProblems &problems);

}
