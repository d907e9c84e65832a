#include "node/tablechangecodec.h"

#include <utility>

#include "table/tableparser.h"

namespace Egretpath
{

namespace
{

constexpr std::string_view Source = "change from a peer";
constexpr std::string_view ChangedMark = "= ";
constexpr std::string_view RemovedMark = "- ";

std::string_view takeUntil(std::string_view &text, char end)
{
    const std::size_t position = text.find(end);
    const std::string_view piece = text.substr(0, position);
    text.remove_prefix(position == std::string_view::npos ? text.size() : position + 1);
    return piece;
}

TableRowKey decodeKey(std::string_view text)
{
    TableRowKey key;
    key.service = ServiceName(std::string(takeUntil(text, ',')));
    key.region = RegionName(std::string(takeUntil(text, ',')));
    key.upstream = UpstreamName(std::string(text));
    return key;
}

TableProblems unknownLine(std::string_view line)
{
    return {{std::string(Source), 0, {}, std::string(line), "a line that begins with '= ' or '- '"}};
}

}

std::string TableChangeCodec::encode(const TableChange &change)
{
    std::string text;
    for (const TableRow &row : change.changed) {
        text.append(ChangedMark).append(row.canonicalText()).append("\n");
    }
    for (const TableRowKey &key : change.removed) {
        // Names hold neither commas nor quotes, see TableParser.
        text.append(RemovedMark).append(key.service.value()).append(",");
        text.append(key.region.value()).append(",").append(key.upstream.value()).append("\n");
    }
    return text;
}

TableResult<TableChange> TableChangeCodec::decode(const TableVersion &base, const TableVersion &target,
                                                  std::string_view text)
{
    TableChange change{base, target, {}, {}};
    while (!text.empty()) {
        std::string_view line = takeUntil(text, '\n');
        if (line.starts_with(ChangedMark)) {
            auto row = TableParser::parseRow(line.substr(ChangedMark.size()), Source);
            if (!row) {
                return std::move(row).error();
            }
            change.changed.push_back(std::move(row).value());
        } else if (line.starts_with(RemovedMark)) {
            change.removed.push_back(decodeKey(line.substr(RemovedMark.size())));
        } else {
            return unknownLine(line);
        }
    }
    return change;
}

}
