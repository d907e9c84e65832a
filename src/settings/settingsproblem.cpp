#include "settings/settingsproblem.h"

namespace Egretpath
{

std::string toString(const SettingsProblem &problem)
{
    std::string line = problem.file + ":";
    if (problem.line != 0) {
        line += " line " + std::to_string(problem.line) + ",";
    }
    if (!problem.key.empty()) {
        line += " key " + problem.key + ",";
    }
    if (line.back() == ',') {
        line.back() = ':';
    }
    return line + " \"" + problem.value + "\" is not allowed; allowed: " + problem.allowed;
}

std::string toString(const SettingsProblems &problems)
{
    std::string text;
    for (const SettingsProblem &problem : problems) {
        text += toString(problem) + "\n";
    }
    return text;
}

}
