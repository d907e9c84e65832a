#include "client/tablefile.h"

#include <filesystem>
#include <fstream>

#include "table/tableparser.h"

namespace Egretpath
{

std::optional<std::string> TableFile::read(const std::string &path)
{
    std::error_code error;
    if (std::filesystem::is_directory(path, error)) {
        return std::nullopt;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    // One byte more than is allowed is enough for the parser to refuse the file.
    std::string content(TableParser::FileCap + 1, '\0');
    file.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (file.bad()) {
        return std::nullopt;
    }
    content.resize(static_cast<std::size_t>(file.gcount()));
    return content;
}

bool TableFile::write(const std::string &path, const std::string &content)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << content;
    file.close();
    return !file.fail();
}

TableFile::Loaded TableFile::load(const std::string &path, TableNumber number, const CommandOutput &output)
{
    const auto text = read(path);
    if (!text) {
        output.err << path << ": can't be read\n";
        return {nullptr, ExitCode::BadUsage};
    }
    auto table = TableParser::parse(*text, path, number);
    if (!table) {
        output.err << toString(table.error());
        return {nullptr, ExitCode::No};
    }
    return {table.value(), ExitCode::Fine};
}

}
