#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "client/command.h"
#include "table/tablepublication.h"

namespace Egretpath
{

/// `publish-plan`: the values that the operators' own tool has to put into the platform's service to publish a
/// table. Works without a network; the client itself never writes to the platform. Thread safety: none.
class PublishPlanCommand : public Command
{
public:
    /// The file in the directory that lists what to put, in order.
    static constexpr const char *PlanFile = "plan";
    /// The file that holds the head's value.
    static constexpr const char *HeadFile = "head";

    CLI::App *declare(CLI::App &app) override;
    /// Writes one file for each value, reads them back, and prints the plan: parts first, the head last.
    /// Errors: ExitCode::No if the table doesn't check or its number isn't larger than the previous one;
    /// ExitCode::BadUsage if files can't be read or written, or the directory isn't empty.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    [[nodiscard]] ExitCode readPrevious(const CommandOutput &output, std::optional<TableHead> &previous) const;
    [[nodiscard]] bool makeDirectory(const CommandOutput &output) const;
    [[nodiscard]] std::string planText(const SplitTable &split, const std::optional<TableHead> &previous) const;
    [[nodiscard]] bool writeValues(const SplitTable &split, const std::string &plan) const;
    [[nodiscard]] bool readsBack(const SplitTable &split) const;
    [[nodiscard]] std::string pathOf(const std::string &name) const;

    std::string tablePath_;
    std::uint64_t number_ = 0;
    std::string prefix_ = "egretpath/table";
    std::string directory_;
    std::string previousHeadPath_;
};

}
