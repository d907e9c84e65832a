#include "table/csvlinereader.h"

#include <new>

namespace Egretpath
{

namespace
{

constexpr unsigned char StrictOptions = CSV_STRICT | CSV_STRICT_FINI;

void appendCell(void *text, std::size_t size, void *cells)
{
    auto &list = *static_cast<std::vector<std::string> *>(cells);
    if (size == 0) {
        list.emplace_back();
    } else {
        list.emplace_back(static_cast<const char *>(text), size);
    }
}

void startParser(csv_parser &parser)
{
    if (csv_init(&parser, StrictOptions) != 0) {
        throw std::bad_alloc();
    }
}

}

CsvLineReader::CsvLineReader()
{
    startParser(parser_);
}

CsvLineReader::~CsvLineReader()
{
    csv_free(&parser_);
}

bool CsvLineReader::read(std::string_view line, std::vector<std::string> &cells)
{
    cells.clear();
    const std::size_t parsed = csv_parse(&parser_, line.data(), line.size(), appendCell, nullptr, &cells);
    const bool whole = parsed == line.size() && csv_fini(&parser_, appendCell, nullptr, &cells) == 0;
    if (!whole) {
        // After an error libcsv stays in the middle of the quoted cell; the next line would continue it.
        csv_free(&parser_);
        startParser(parser_);
    }
    return whole;
}

}
