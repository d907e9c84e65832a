#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/clock.h"
#include "core/strongtype.h"
#include "table/tablecolumns.h"

namespace Egretpath
{

/// A service row: what holds for each call of a service.
struct ServicePolicy
{
    ServiceName service;
    Milliseconds deadline{0};
    /// How often a call may be sent to an upstream in all; 1 means that it may not be repeated.
    std::uint32_t triesCap = 1;
    /// The largest request body.
    Bytes bodyCap;

    friend auto operator<=>(const ServicePolicy &, const ServicePolicy &) = default;
};

/// A region row: what measuring may cost towards a region.
struct RegionPolicy
{
    RegionName region;
    /// Bytes a second that one node outside of the region may spend on probes towards it.
    Bytes measureCap;

    friend auto operator<=>(const RegionPolicy &, const RegionPolicy &) = default;
};

/// A service and region row: whether calls may leave their own region for this one.
struct SpillPolicy
{
    ServiceName service;
    RegionName region;
    /// 0 means that no call of the service is sent to the region from another one.
    std::uint32_t weight = 0;

    friend auto operator<=>(const SpillPolicy &, const SpillPolicy &) = default;
};

/// An upstream row: the share of work and the limits of one upstream.
struct UpstreamPolicy
{
    UpstreamName upstream;
    ServiceName service;
    RegionName region;
    /// 0 drains the upstream.
    std::uint32_t weight = 0;
    /// Slots: calls that run at the upstream at the same time.
    std::uint32_t inFlightCap = 0;
    /// Calls that wait at the upstream's node for a slot.
    std::uint32_t queueCap = 0;
    /// Connections that the node beside the upstream may hold to it.
    std::uint32_t connectionCap = 0;

    friend auto operator<=>(const UpstreamPolicy &, const UpstreamPolicy &) = default;
};

/// The cells that tell a row from all others: service, region and upstream. An empty name is an empty cell.
struct TableRowKey
{
    ServiceName service;
    RegionName region;
    UpstreamName upstream;

    friend auto operator<=>(const TableRowKey &, const TableRowKey &) = default;
};

/// A TableRowKey without copies; valid as long as the row that it was taken from.
struct TableRowKeyView
{
    std::string_view service;
    std::string_view region;
    std::string_view upstream;

    friend auto operator<=>(const TableRowKeyView &, const TableRowKeyView &) = default;
};

/// Thread safety: safe. Errors: none.
[[nodiscard]] TableRowKeyView viewOf(const TableRowKey &key);

/// One typed row of the table. A value; ordered by its key.
class TableRow
{
public:
    using Policy = std::variant<ServicePolicy, RegionPolicy, SpillPolicy, UpstreamPolicy>;

    /// Preconditions: the values are in the ranges that TableParser accepts. Errors: none.
    explicit TableRow(Policy policy);

    /// The typed content. Thread safety: safe for concurrent reads.
    [[nodiscard]] const Policy &policy() const { return policy_; }
    /// Thread safety: safe for concurrent reads.
    [[nodiscard]] TableRowKey key() const;
    /// The key without copies; valid as long as this row. Thread safety: safe for concurrent reads.
    [[nodiscard]] TableRowKeyView keyView() const;
    /// Thread safety: safe for concurrent reads.
    [[nodiscard]] TableRowKind kind() const;
    /// The number in a cell; nothing for the cells of names and for cells that this kind of row leaves empty.
    /// Thread safety: safe for concurrent reads.
    [[nodiscard]] std::optional<std::uint64_t> cell(TableColumn column) const;
    /// The row as CSV in the order of TableColumns, with defaults written out and no line end. Two rows mean
    /// the same if, and only if, their canonical texts are equal.
    /// Thread safety: safe for concurrent reads.
    [[nodiscard]] std::string canonicalText() const;

    friend bool operator==(const TableRow &, const TableRow &) = default;

private:
    Policy policy_;
};

/// The key for operators, for example `service statements, region northmere, upstream statements-1`.
/// Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const TableRowKey &key);

}
