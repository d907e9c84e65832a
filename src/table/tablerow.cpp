#include "table/tablerow.h"

#include <utility>

namespace Egretpath
{

namespace
{

constexpr std::size_t TypicalRowSize = 96;

TableRowKeyView keyOf(const ServicePolicy &policy)
{
    return {policy.service.value(), {}, {}};
}

TableRowKeyView keyOf(const RegionPolicy &policy)
{
    return {{}, policy.region.value(), {}};
}

TableRowKeyView keyOf(const SpillPolicy &policy)
{
    return {policy.service.value(), policy.region.value(), {}};
}

TableRowKeyView keyOf(const UpstreamPolicy &policy)
{
    return {policy.service.value(), policy.region.value(), policy.upstream.value()};
}

std::optional<std::uint64_t> cellOf(const ServicePolicy &policy, TableColumn column)
{
    switch (column) {
    case TableColumn::DeadlineMs:
        return static_cast<std::uint64_t>(policy.deadline.count());
    case TableColumn::TriesCap:
        return policy.triesCap;
    case TableColumn::BodyCap:
        return policy.bodyCap.value();
    default:
        return std::nullopt;
    }
}

std::optional<std::uint64_t> cellOf(const RegionPolicy &policy, TableColumn column)
{
    if (column != TableColumn::MeasureCap) {
        return std::nullopt;
    }
    return policy.measureCap.value();
}

std::optional<std::uint64_t> cellOf(const SpillPolicy &policy, TableColumn column)
{
    if (column != TableColumn::Weight) {
        return std::nullopt;
    }
    return policy.weight;
}

std::optional<std::uint64_t> cellOf(const UpstreamPolicy &policy, TableColumn column)
{
    switch (column) {
    case TableColumn::Weight:
        return policy.weight;
    case TableColumn::InFlightCap:
        return policy.inFlightCap;
    case TableColumn::QueueCap:
        return policy.queueCap;
    case TableColumn::ConnectionCap:
        return policy.connectionCap;
    default:
        return std::nullopt;
    }
}

TableRowKind kindOf(const ServicePolicy & /*policy*/)
{
    return TableRowKind::Service;
}

TableRowKind kindOf(const RegionPolicy & /*policy*/)
{
    return TableRowKind::Region;
}

TableRowKind kindOf(const SpillPolicy & /*policy*/)
{
    return TableRowKind::Spill;
}

TableRowKind kindOf(const UpstreamPolicy & /*policy*/)
{
    return TableRowKind::Upstream;
}

void appendNamed(std::string &text, std::string_view label, std::string_view name)
{
    if (name.empty()) {
        return;
    }
    text += text.empty() ? "" : ", ";
    text += label;
    text += name;
}

}

TableRowKeyView viewOf(const TableRowKey &key)
{
    return {key.service.value(), key.region.value(), key.upstream.value()};
}

TableRow::TableRow(Policy policy)
    : policy_(std::move(policy))
{
}

TableRowKey TableRow::key() const
{
    const TableRowKeyView view = keyView();
    return {ServiceName(std::string(view.service)), RegionName(std::string(view.region)),
            UpstreamName(std::string(view.upstream))};
}

TableRowKeyView TableRow::keyView() const
{
    return std::visit([](const auto &policy) { return keyOf(policy); }, policy_);
}

TableRowKind TableRow::kind() const
{
    return std::visit([](const auto &policy) { return kindOf(policy); }, policy_);
}

std::optional<std::uint64_t> TableRow::cell(TableColumn column) const
{
    return std::visit([column](const auto &policy) { return cellOf(policy, column); }, policy_);
}

std::string TableRow::canonicalText() const
{
    const TableRowKeyView names = keyView();
    std::string text;
    text.reserve(TypicalRowSize);
    text.append(names.service).append(",").append(names.region).append(",").append(names.upstream);
    for (auto index = static_cast<std::size_t>(TableColumn::Weight); index < TableColumnCount; ++index) {
        text += ',';
        if (const auto number = cell(static_cast<TableColumn>(index))) {
            text += std::to_string(*number);
        }
    }
    return text;
}

std::string toString(const TableRowKey &key)
{
    std::string text;
    appendNamed(text, "service ", key.service.value());
    appendNamed(text, "region ", key.region.value());
    appendNamed(text, "upstream ", key.upstream.value());
    return text;
}

}
