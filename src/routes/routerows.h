#pragma once

#include <string>
#include <vector>

#include "routes/routetable.h"

namespace Egretpath
{

/// One row of the table that operators read: a route and one of the services to which its requests go.
struct RouteRow
{
    std::string host;
    Route route;
    Destination destination;
};

/// All rows of @p table, sorted by host, prefix and service. Thread safety: safe.
[[nodiscard]] std::vector<RouteRow> rowsOf(const RouteTable &table);
/// Returns the table as comma-separated values with a header line, for spreadsheets. Times are in milliseconds.
/// Thread safety: safe.
[[nodiscard]] std::string toCsv(const RouteTable &table);
/// Returns one row as comma-separated values, without a line end. Thread safety: safe.
[[nodiscard]] std::string toCsv(const RouteRow &row);

}
