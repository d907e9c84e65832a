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
    /// The line of the file, from 1. Zero means the whole file, for example for a key that is missing.
    std::size_t line = 0;
    /// Group and key, for example `limits.header_bytes`.
    std::string key;
    /// What stands there; empty when nothing does.
    std::string value;
    /// What would be accepted, in plain language with its unit.
    std::string allowed;

    friend bool operator==(const SettingsProblem &, const SettingsProblem &) = default;
};

/// Every problem that was found, in the order of the lines. Never empty when it is an error.
using SettingsProblems = std::vector<SettingsProblem>;

template<typename Value>
using SettingsResult = boost::outcome_v2::result<Value, SettingsProblems, boost::outcome_v2::policy::all_narrow>;

/// One line for operators, for example
/// `node.toml: line 4, key limits.header_bytes: "big" is not allowed; allowed: a whole number of bytes from ...`.
/// Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const SettingsProblem &problem);

/// All problems, each on its own line. Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const SettingsProblems &problems);

}
