#include "table/tableparser.h"

#include <string>
#include <utility>
#include <vector>

#include "table/tablebuilder.h"
#include "table/tablefilereader.h"

namespace Egretpath
{

TableResult<TablePointer> TableParser::parse(std::string_view text, std::string_view file, TableNumber number)
{
    TableBuilder builder;
    parseInto(builder, text, file);
    return builder.build(number, file);
}

void TableParser::parseInto(TableBuilder &builder, std::string_view text, std::string_view file)
{
    TableFileReader(builder, file).readFile(text);
}

TableResult<TableRow> TableParser::parseRow(std::string_view text, std::string_view source)
{
    TableBuilder builder;
    TableFileReader reader(builder, source);
    reader.useCanonicalHeader();
    if (text.find('\n') != std::string_view::npos) {
        builder.addProblem({std::string(source), 0, {}, std::string(text), "one line"});
    } else {
        reader.readLine(text);
    }
    auto rows = builder.takeRows(source);
    if (!rows) {
        return rows.error();
    }
    if (rows.value().size() != 1) {
        return TableProblems{{std::string(source), 0, {}, std::string(text), "one row"}};
    }
    return std::move(rows.value().front());
}

}
