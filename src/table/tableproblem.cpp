#include "table/tableproblem.h"

#include <cstdio>

namespace Egretpath
{

namespace
{

constexpr char FirstPrintable = ' ';
constexpr char LastPrintable = '~';

std::string printable(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        if (character >= FirstPrintable && character <= LastPrintable) {
            result += character;
        } else {
            char escaped[sizeof "\\xNN"];
            std::snprintf(escaped, sizeof escaped, "\\x%02x", static_cast<unsigned char>(character));
            result += escaped;
        }
    }
    return result;
}

}

std::string toString(const TableProblem &problem)
{
    std::string line = problem.file + ":";
    if (problem.row != 0) {
        line += " row " + std::to_string(problem.row) + ",";
    }
    if (!problem.column.empty()) {
        line += " column " + printable(problem.column) + ",";
    }
    if (line.back() == ',') {
        line.back() = ':';
    }
    return line + " \"" + printable(problem.value) + "\" is not allowed; allowed: " + problem.allowed;
}

std::string toString(const TableProblems &problems)
{
    std::string text;
    for (const TableProblem &problem : problems) {
        text += toString(problem) + "\n";
    }
    return text;
}

}
