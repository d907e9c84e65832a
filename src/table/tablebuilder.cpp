#include "table/tablebuilder.h"

#include <algorithm>
#include <utility>

#include "table/tabledigest.h"

namespace Egretpath
{

namespace
{

constexpr std::size_t ShownValueSize = 80;

void shorten(std::string &text)
{
    if (text.size() > ShownValueSize) {
        text.resize(ShownValueSize);
        text += "...";
    }
}

std::string_view columnOfKey(TableRowKind kind)
{
    return columnName(kind == TableRowKind::Region ? TableColumn::Region : TableColumn::Service);
}

std::string shownKey(const TableRowKeyView &key)
{
    std::string text{key.service};
    text += !key.service.empty() && !key.region.empty() ? "," : "";
    text += key.region;
    return text;
}

}

void TableBuilder::addRow(TableRow tableRow, std::string_view file, std::size_t row)
{
    if (sources_.size() < RowCap) {
        sources_.push_back(Source{std::move(tableRow), fileIndex(file), static_cast<std::uint32_t>(row)});
        return;
    }
    if (!tooManyRows_) {
        tooManyRows_ = true;
        addProblem({std::string(file), row, {}, "a row too many", std::to_string(RowCap) + " rows in all"});
    }
}

void TableBuilder::addProblem(TableProblem problem)
{
    if (problems_.size() >= ProblemCap) {
        ++droppedProblems_;
        return;
    }
    shorten(problem.column);
    shorten(problem.value);
    fileIndex(problem.file);
    problems_.push_back(std::move(problem));
}

TableResult<TablePointer> TableBuilder::build(TableNumber number, std::string_view source)
{
    checkUniqueKeys();
    checkUniqueUpstreams();
    checkServices(source);
    if (hasProblems()) {
        TableProblems problems = takeProblems(source);
        *this = TableBuilder();
        return problems;
    }
    TablePointer table = makeTable(number);
    *this = TableBuilder();
    return table;
}

TableResult<std::vector<TableRow>> TableBuilder::takeRows(std::string_view source)
{
    if (hasProblems()) {
        return takeProblems(source);
    }
    std::vector<TableRow> rows;
    rows.reserve(sources_.size());
    for (Source &item : sources_) {
        rows.push_back(std::move(item.tableRow));
    }
    return rows;
}

std::uint32_t TableBuilder::fileIndex(std::string_view file)
{
    if (files_.empty() || files_.back() != file) {
        const auto found = std::find(files_.begin(), files_.end(), file);
        if (found != files_.end()) {
            return static_cast<std::uint32_t>(found - files_.begin());
        }
        files_.emplace_back(file);
    }
    return static_cast<std::uint32_t>(files_.size() - 1);
}

void TableBuilder::addConflict(const Source &earlier, const Source &later, std::string_view column, std::string value)
{
    std::string place = earlier.file == later.file ? "" : files_[earlier.file] + " ";
    place += earlier.row == 0 ? "another row" : "row " + std::to_string(earlier.row);
    addProblem({files_[later.file], later.row, std::string(column), std::move(value),
                "one row for each; " + place + " has it already"});
}

void TableBuilder::checkUniqueKeys()
{
    std::vector<const Source *> order;
    for (const Source &source : sources_) {
        if (source.tableRow.kind() != TableRowKind::Upstream) {
            order.push_back(&source);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const Source *left, const Source *right) {
        return left->tableRow.keyView() < right->tableRow.keyView();
    });
    for (std::size_t index = 1; index < order.size(); ++index) {
        const TableRowKeyView key = order[index]->tableRow.keyView();
        if (order[index - 1]->tableRow.keyView() == key) {
            addConflict(*order[index - 1], *order[index], columnOfKey(order[index]->tableRow.kind()), shownKey(key));
        }
    }
}

void TableBuilder::checkUniqueUpstreams()
{
    std::vector<const Source *> order;
    for (const Source &source : sources_) {
        if (source.tableRow.kind() == TableRowKind::Upstream) {
            order.push_back(&source);
        }
    }
    const auto name = [](const Source *source) { return source->tableRow.keyView().upstream; };
    std::stable_sort(order.begin(), order.end(),
                     [name](const Source *left, const Source *right) { return name(left) < name(right); });
    for (std::size_t index = 1; index < order.size(); ++index) {
        if (name(order[index - 1]) == name(order[index])) {
            addConflict(*order[index - 1], *order[index], columnName(TableColumn::Upstream),
                        std::string(name(order[index])));
        }
    }
}

void TableBuilder::checkServices(std::string_view source)
{
    std::vector<std::string_view> services;
    for (const Source &item : sources_) {
        if (item.tableRow.kind() == TableRowKind::Service) {
            services.push_back(item.tableRow.keyView().service);
        }
    }
    if (services.empty() && !hasProblems()) {
        // A table emptied by accident would make every node refuse every call.
        addProblem({std::string(source), 0, {}, "no service row", "at least one service row"});
        return;
    }
    std::sort(services.begin(), services.end());
    for (const Source &item : sources_) {
        const std::string_view service = item.tableRow.keyView().service;
        if (!service.empty() && !std::binary_search(services.begin(), services.end(), service)) {
            addProblem({files_[item.file], item.row, std::string(columnName(TableColumn::Service)),
                        std::string(service), "a service that has a service row"});
        }
    }
}

TableProblems TableBuilder::takeProblems(std::string_view source)
{
    std::stable_sort(problems_.begin(), problems_.end(), [this](const TableProblem &left, const TableProblem &right) {
        return std::make_pair(fileIndex(left.file), left.row) < std::make_pair(fileIndex(right.file), right.row);
    });
    if (droppedProblems_ != 0) {
        problems_.push_back(
            {std::string(source), 0, {}, std::to_string(droppedProblems_) + " further problems", "no problem"});
    }
    return std::move(problems_);
}

TablePointer TableBuilder::makeTable(TableNumber number) const
{
    TableDigest digest;
    Table::Policies policies;
    const auto collect = [&policies](const auto &policy) { append(policies, policy); };
    policies.upstreams.reserve(sources_.size());
    for (const Source &source : sources_) {
        digest.add(source.tableRow);
        std::visit(collect, source.tableRow.policy());
    }
    policies.upstreams.shrink_to_fit();
    Table::sort(policies);
    std::vector<std::uint32_t> upstreamsByName = Table::indexByName(policies.upstreams);
    return TablePointer(
        new Table(TableVersion{number, digest.value()}, std::move(policies), std::move(upstreamsByName)));
}

void TableBuilder::append(Table::Policies &policies, const ServicePolicy &policy)
{
    policies.services.push_back(policy);
}

void TableBuilder::append(Table::Policies &policies, const RegionPolicy &policy)
{
    policies.regions.push_back(policy);
}

void TableBuilder::append(Table::Policies &policies, const SpillPolicy &policy)
{
    policies.spills.push_back(policy);
}

void TableBuilder::append(Table::Policies &policies, const UpstreamPolicy &policy)
{
    policies.upstreams.push_back(policy);
}

}
