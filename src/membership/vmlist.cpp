#include "membership/vmlist.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_set>

#include <csv.h>

namespace Egretpath
{

namespace
{

constexpr std::size_t ColumnCount = 6;
constexpr std::string_view LiveWord = "live";
constexpr std::string_view LeavingWord = "leaving";

enum Column : std::uint8_t {
    UpstreamColumn,
    ServiceColumn,
    RegionColumn,
    ZoneColumn,
    AddressColumn,
    StateColumn,
};

constexpr std::array<std::string_view, ColumnCount> ColumnNames{"upstream", "service", "region",
                                                                "zone",     "address", "state"};

bool isAllowed(char character)
{
    return character > ' ' && character <= '~' && character != ',' && character != '"';
}

bool isName(std::string_view field)
{
    return !field.empty() && field.size() <= MaxVmListFieldBytes && std::all_of(field.begin(), field.end(), isAllowed);
}

std::optional<VmState> stateFrom(std::string_view word)
{
    if (word == LiveWord) {
        return VmState::Live;
    }
    if (word == LeavingWord) {
        return VmState::Leaving;
    }
    return std::nullopt;
}

std::string_view wordFor(VmState state)
{
    return state == VmState::Live ? LiveWord : LeavingWord;
}

/// Collects rows from libcsv's callbacks.
class ListReader
{
public:
    static void fieldRead(void *data, std::size_t length, void *reader)
    {
        static_cast<ListReader *>(reader)->addField(std::string_view(static_cast<const char *>(data), length));
    }

    static void rowRead(int terminator, void *reader) { static_cast<ListReader *>(reader)->endRow(terminator); }

    void addProblem(std::string message)
    {
        if (problems_.size() < MaxVmListProblems) {
            problems_.push_back({line_, std::move(message)});
        }
    }

    VmListParse finish()
    {
        if (!versionRead_) {
            addProblem("the version number is missing; the first line must hold it");
        }
        if (!problems_.empty()) {
            return {std::nullopt, std::move(problems_)};
        }
        sortRecords();
        return {std::move(list_), {}};
    }

private:
    void addField(std::string_view field)
    {
        if (fields_.size() <= ColumnCount) {
            fields_.emplace_back(field.substr(0, MaxVmListFieldBytes + 1));
        }
    }

    void endRow(int terminator)
    {
        const bool isEmpty = fields_.empty() || (fields_.size() == 1 && fields_.front().empty());
        if (!isEmpty) {
            readRow();
        }
        fields_.clear();
        if (terminator == '\n') {
            ++line_;
        }
    }

    void readRow()
    {
        if (versionRead_) {
            readRecord();
        } else {
            readVersion();
        }
    }

    void readVersion()
    {
        versionRead_ = true;
        const std::string &text = fields_.front();
        const char *end = text.data() + text.size();
        const auto [parsedTo, error] = std::from_chars(text.data(), end, list_.version);
        if (fields_.size() != 1 || error != std::errc{} || parsedTo != end) {
            addProblem("'" + text + "' is no version; a whole number alone on the line is allowed");
        }
    }

    void readRecord()
    {
        if (fields_.size() != ColumnCount) {
            addProblem("the line has not 6 columns; upstream,service,region,zone,address,state are allowed");
            return;
        }
        for (std::size_t column = 0; column < StateColumn; ++column) {
            if (!isName(fields_[column])) {
                addProblem(std::string(ColumnNames[column]) + " '" + fields_[column]
                           + "' is not allowed; 1 to 128 printable characters without space, comma and quote are");
                return;
            }
        }
        const std::optional<VmState> state = stateFrom(fields_[StateColumn]);
        if (!state) {
            addProblem("state '" + fields_[StateColumn] + "' is not allowed; live or leaving are");
            return;
        }
        addRecord(*state);
    }

    void addRecord(VmState state)
    {
        if (list_.records.size() == MaxVmListRecords) {
            addProblem("more than " + std::to_string(MaxVmListRecords) + " VMs are not allowed");
            return;
        }
        if (!upstreams_.insert(fields_[UpstreamColumn]).second) {
            addProblem("upstream '" + fields_[UpstreamColumn] + "' occurs twice");
            return;
        }
        list_.records.push_back({UpstreamName(fields_[UpstreamColumn]), ServiceName(fields_[ServiceColumn]),
                                 Location{RegionName(fields_[RegionColumn]), ZoneName(fields_[ZoneColumn])},
                                 Endpoint(fields_[AddressColumn]), state});
    }

    void sortRecords()
    {
        std::sort(list_.records.begin(), list_.records.end(),
                  [](const VmRecord &left, const VmRecord &right) { return left.upstream < right.upstream; });
    }

    VmList list_;
    std::vector<VmListProblem> problems_;
    std::vector<std::string> fields_;
    std::unordered_set<std::string> upstreams_;
    std::size_t line_ = 1;
    bool versionRead_ = false;
};

/// Owns libcsv's parser state.
class CsvParser
{
public:
    CsvParser() { usable_ = csv_init(&parser_, CSV_STRICT | CSV_REPALL_NL | CSV_STRICT_FINI) == 0; }
    CsvParser(const CsvParser &) = delete;
    CsvParser &operator=(const CsvParser &) = delete;
    ~CsvParser() { csv_free(&parser_); }

    bool run(std::string_view text, ListReader &reader)
    {
        return usable_
            && csv_parse(&parser_, text.data(), text.size(), &ListReader::fieldRead, &ListReader::rowRead, &reader)
            == text.size()
            && csv_fini(&parser_, &ListReader::fieldRead, &ListReader::rowRead, &reader) == 0;
    }

private:
    csv_parser parser_{};
    bool usable_ = false;
};

}

VmListParse parseVmList(std::string_view text)
{
    ListReader reader;
    if (text.size() > MaxVmListBytes) {
        reader.addProblem("the list has " + std::to_string(text.size()) + " bytes; at most "
                          + std::to_string(MaxVmListBytes) + " are allowed");
        return reader.finish();
    }
    CsvParser parser;
    if (!parser.run(text, reader)) {
        reader.addProblem("the line has a quote in the wrong place, or the list ends inside quotes");
    }
    return reader.finish();
}

std::string printVmList(const VmList &list)
{
    std::string text = std::to_string(list.version) + "\n";
    for (const VmRecord &record : list.records) {
        text += record.upstream.value() + "," + record.service.value() + "," + record.location.region.value() + ","
            + record.location.zone.value() + "," + record.node.value() + ",";
        text += wordFor(record.state);
        text += "\n";
    }
    return text;
}

}
