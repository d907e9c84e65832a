#include "client/publishplancommand.h"

#include <algorithm>
#include <filesystem>
#include <system_error>
#include <utility>

#include <CLI/App.hpp>

#include "client/tablefile.h"

namespace Egretpath
{

namespace
{

/// What is wrong with the text of a table's number; empty for a good one. CLI11 would read "-1" as the largest
/// number there is, and no later table could ever replace one that was published under it.
std::string numberProblem(const std::string &text)
{
    constexpr std::size_t DigitsMost = 15;
    const bool isNumber = !text.empty() && text.size() <= DigitsMost && text.front() != '0'
        && text.find_first_not_of("0123456789") == std::string::npos;
    return isNumber ? "" : "\"" + text + "\" is not allowed; allowed: a whole number from 1 to 999999999999999";
}

std::string partFile(const Digest &part)
{
    return "part-" + toHex(part);
}

bool isListed(const std::optional<TableHead> &head, const Digest &part)
{
    return head && std::find(head->parts.begin(), head->parts.end(), part) != head->parts.end();
}

std::string putLine(const std::string &key, const std::string &file, std::size_t size)
{
    return "put " + key + " " + file + " " + std::to_string(size) + "\n";
}

}

CLI::App *PublishPlanCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("publish-plan", "Writes the values that publish a table into a directory");
    command->add_option("table", tablePath_, "CSV file")->required();
    command->add_option("--number", number_, "The table's number, larger than all before")
        ->required()
        ->check(numberProblem);
    command->add_option("--output", directory_, "The directory; new or empty")->required();
    command->add_option("--prefix", prefix_, "As the nodes' setting platform.table_prefix");
    command->add_option("--previous-head", previousHeadPath_, "A file with the head value that is published now");
    return command;
}

ExitCode PublishPlanCommand::run(const CommandOutput &output)
{
    const TableFile::Loaded loaded = TableFile::load(tablePath_, TableNumber(number_), output);
    if (!loaded.table) {
        return loaded.code;
    }
    std::optional<TableHead> previous;
    if (const ExitCode code = readPrevious(output, previous); code != ExitCode::Fine) {
        return code;
    }
    const auto split = TablePublication::split(*loaded.table);
    if (!split) {
        output.err << toString(split.error());
        return ExitCode::No;
    }
    if (!makeDirectory(output)) {
        return ExitCode::BadUsage;
    }
    const std::string plan = planText(split.value(), previous);
    if (!writeValues(split.value(), plan) || !readsBack(split.value())) {
        output.err << directory_ << ": can't be written\n";
        return ExitCode::BadUsage;
    }
    output.out << plan;
    return ExitCode::Fine;
}

ExitCode PublishPlanCommand::readPrevious(const CommandOutput &output, std::optional<TableHead> &previous) const
{
    if (previousHeadPath_.empty()) {
        return ExitCode::Fine;
    }
    const auto text = TableFile::read(previousHeadPath_);
    if (!text) {
        output.err << previousHeadPath_ << ": can't be read\n";
        return ExitCode::BadUsage;
    }
    const auto head = TablePublication::parseHead(*text, previousHeadPath_);
    if (!head) {
        output.err << toString(head.error());
        return ExitCode::BadUsage;
    }
    // Nodes never go back to a smaller number; a plan with one would be published without any effect.
    if (number_ <= head.value().version.number.value()) {
        output.err << "--number: " << number_ << " is not larger than " << head.value().version.number.value()
                   << ", the number that is published now\n";
        return ExitCode::No;
    }
    previous = head.value();
    return ExitCode::Fine;
}

bool PublishPlanCommand::makeDirectory(const CommandOutput &output) const
{
    std::error_code error;
    std::filesystem::create_directories(directory_, error);
    // Files of an earlier plan would be published along with this one.
    const bool isEmpty = !error && std::filesystem::is_empty(directory_, error);
    if (error || !isEmpty) {
        output.err << directory_ << ": not a new or empty directory\n";
        return false;
    }
    return true;
}

std::string PublishPlanCommand::planText(const SplitTable &split, const std::optional<TableHead> &previous) const
{
    std::string plan;
    for (const auto &[digest, text] : split.parts) {
        if (!isListed(previous, digest)) {
            plan += putLine(TablePublication::partKey(prefix_, digest), partFile(digest), text.size());
        }
    }
    const std::string head = TablePublication::printHead(split.head);
    return plan + putLine(TablePublication::headKey(prefix_), HeadFile, head.size());
}

bool PublishPlanCommand::writeValues(const SplitTable &split, const std::string &plan) const
{
    for (const auto &[digest, text] : split.parts) {
        if (!TableFile::write(pathOf(partFile(digest)), text)) {
            return false;
        }
    }
    return TableFile::write(pathOf(HeadFile), TablePublication::printHead(split.head))
        && TableFile::write(pathOf(PlanFile), plan);
}

bool PublishPlanCommand::readsBack(const SplitTable &split) const
{
    const auto headText = TableFile::read(pathOf(HeadFile));
    const auto head = TablePublication::parseHead(headText.value_or(std::string()), HeadFile);
    if (!head || head.value() != split.head) {
        return false;
    }
    TableParts parts;
    for (const Digest &digest : head.value().parts) {
        parts[digest] = TableFile::read(pathOf(partFile(digest))).value_or(std::string());
    }
    return TablePublication::assemble(head.value(), parts, prefix_).has_value();
}

std::string PublishPlanCommand::pathOf(const std::string &name) const
{
    return (std::filesystem::path(directory_) / name).string();
}

}
