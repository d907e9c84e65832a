#include "routes/routerows.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace Egretpath
{

namespace
{

constexpr std::string_view Header =
    "host,prefix,route,kind,priority,service,weight,target_ms,timeout_ms,attempts,regions\n";

/// Returns @p text as a field of a CSV row, quoted if a comma, quote or line end in it would break the row.
std::string csvField(const std::string &text)
{
    if (text.find_first_of(",\"\n") == std::string::npos) {
        return text;
    }
    std::string quoted = "\"";
    for (const char character : text) {
        quoted += character == '"' ? "\"\"" : std::string(1, character);
    }
    return quoted + '"';
}

}

std::vector<RouteRow> rowsOf(const RouteTable &table)
{
    std::vector<RouteRow> rows;
    table.forEachRoute([&rows](const std::string &host, const Route &route) {
        for (const Destination &destination : route.destinations) {
            rows.push_back({host, route, destination});
        }
    });
    const auto sortKey = [](const RouteRow &row) {
        return std::tie(row.host, row.route.prefix, row.destination.service);
    };
    std::sort(rows.begin(), rows.end(),
              [&sortKey](const RouteRow &left, const RouteRow &right) { return sortKey(left) < sortKey(right); });
    return rows;
}

std::string toCsv(const RouteRow &row)
{
    std::ostringstream text;
    text << csvField(row.host) << ',' << csvField(row.route.prefix) << ',' << csvField(row.route.name.value()) << ','
         << toString(row.route.kind) << ',' << row.route.priority << ',' << csvField(row.destination.service.value())
         << ',' << row.destination.weight << ',' << row.route.targetLatency.count() << ',' << row.route.timeout.count()
         << ',' << row.route.maxAttempts << ',' << csvField(toString(row.route.regions));
    return text.str();
}

std::string toCsv(const RouteTable &table)
{
    std::string text(Header);
    for (const RouteRow &row : rowsOf(table)) {
        text += toCsv(row) + '\n';
    }
    return text;
}

}
