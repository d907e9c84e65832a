#include "settings/settingsfile.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace Egretpath
{

SettingsResult<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    // Inserting an empty buffer sets the fail bit of `text`, so an empty file counts as unreadable. It would be refused
    // anyway, since required keys are missing.
    if (!stream.is_open() || !text) {
        return SettingsProblems{{path, 0, {}, "unreadable", "a file that can be read and isn't empty"}};
    }
    return std::move(text).str();
}

bool canBeReadAgain(const std::string &path)
{
    std::error_code error;
    const std::filesystem::file_status status = std::filesystem::status(path, error);
    return !std::filesystem::exists(status) || std::filesystem::is_regular_file(status);
}

std::string formatValue(const toml::node &node)
{
    if (const auto text = node.value_exact<std::string>()) {
        return *text;
    }
    std::ostringstream stream;
    node.visit([&stream](const auto &item) { stream << item; });
    return std::move(stream).str();
}

SettingsProblems syntaxProblem(const toml::parse_error &error, std::string_view file)
{
    return {{std::string(file), error.source().begin.line, {}, std::string(error.description()), "TOML"}};
}

}
