#pragma once

#include <string>
#include <vector>

#include "routes/routetable.h"

namespace Egretpath
{

/// One row of the table that operators read: what holds for the part of a route's requests that goes to one service.
struct RouteRow
{
    std::string host;
    Route route;
    Destination destination;
};

/// All rows of @p table, by host, prefix and service. Thread safety: safe.
[[nodiscard]] std::vector<RouteRow> rowsOf(const RouteTable &table);
/// The table as comma-separated values with a header line, for a spreadsheet. Times are in milliseconds.
/// Thread safety: safe.
[[nodiscard]] std::string toCsv(const RouteTable &table);
/// One row of toCsv(), without its line end. Thread safety: safe.
[[nodiscard]] std::string toCsv(const RouteRow &row);

}
