#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "table/tablerow.h"
#include "table/tableversion.h"

namespace Egretpath
{

/// The operators' table: immutable, checked whole, and compact.
///
/// Made only by TableBuilder and TableEditor, hence by TableParser, TableDiff and TablePublication. Held by
/// `std::shared_ptr<const Table>`; pointers and spans into it live as long as the table.
/// Thread safety: every method may be called from any thread at once. Errors: no method fails.
class Table
{
public:
    /// What operators gave as the table's number.
    [[nodiscard]] TableNumber number() const { return version_.number; }
    /// The digest of all rows (see TableDigest); the number is not part of it.
    [[nodiscard]] const Digest &digest() const { return version_.digest; }
    /// Number and digest.
    [[nodiscard]] const TableVersion &version() const { return version_; }

    /// The service's row, or null for a service that isn't in the table.
    [[nodiscard]] const ServicePolicy *service(const ServiceName &name) const;
    /// All service rows, sorted by name.
    [[nodiscard]] std::span<const ServicePolicy> services() const { return services_; }
    /// The upstreams of a service, sorted by name; empty for a service that isn't in the table.
    [[nodiscard]] std::span<const UpstreamPolicy> upstreams(const ServiceName &service) const;
    /// All upstreams, sorted by service, then name.
    [[nodiscard]] std::span<const UpstreamPolicy> upstreams() const { return upstreams_; }
    /// The upstream's row, or null.
    [[nodiscard]] const UpstreamPolicy *upstream(const UpstreamName &name) const;
    /// The region's row, or null; without a row nothing may be spent on probes towards the region.
    [[nodiscard]] const RegionPolicy *region(const RegionName &name) const;
    /// All region rows, sorted by name.
    [[nodiscard]] std::span<const RegionPolicy> regions() const { return regions_; }
    /// The weight for sending calls of @p service to @p region from another region; 0 without a row.
    [[nodiscard]] std::uint32_t spillWeight(const ServiceName &service, const RegionName &region) const;
    /// All service and region rows, sorted by service, then region.
    [[nodiscard]] std::span<const SpillPolicy> spills() const { return spills_; }
    /// The service and region rows of a service, sorted by region; empty for a service that has none.
    [[nodiscard]] std::span<const SpillPolicy> spills(const ServiceName &service) const;

    /// Copies of all rows, sorted by key. Costs time and memory in proportion to the table.
    [[nodiscard]] std::vector<TableRow> rows() const;

    /// The rows by kind.
    struct Policies
    {
        std::vector<ServicePolicy> services;
        std::vector<RegionPolicy> regions;
        std::vector<SpillPolicy> spills;
        std::vector<UpstreamPolicy> upstreams;
    };

private:
    friend class TableBuilder;
    friend class TableEditor;

    /// Preconditions: @p policies stand in TableOrder, @p upstreamsByName is their indexByName().
    Table(const TableVersion &version, Policies policies, std::vector<std::uint32_t> upstreamsByName);

    static void sort(Policies &policies);
    [[nodiscard]] static std::vector<std::uint32_t> indexByName(const std::vector<UpstreamPolicy> &upstreams);

    TableVersion version_;
    std::vector<ServicePolicy> services_;
    std::vector<RegionPolicy> regions_;
    std::vector<SpillPolicy> spills_;
    std::vector<UpstreamPolicy> upstreams_;
    /// Indexes into upstreams_, sorted by upstream name.
    std::vector<std::uint32_t> upstreamsByName_;
};

using TablePointer = std::shared_ptr<const Table>;

/// Whether both tables have the same number and the same rows.
/// Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] bool operator==(const Table &left, const Table &right);

/// The whole table as CSV: the canonical header, then the rows sorted by key, each line ended by a line feed.
/// Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toCsv(const Table &table);

}
