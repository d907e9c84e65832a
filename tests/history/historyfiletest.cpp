#include <filesystem>
#include <fstream>
#include <string>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "history/historyformat.h"
#include "history/historyreader.h"
#include "history/historywriter.h"

using namespace Egretpath;

namespace
{

const NodeIdentity Node{UpstreamName("statements-1"), Incarnation(0xfedcba9876543210)};
const BodySummary Body{Bytes(12), digestOf("body")};

const std::vector<HistoryRecord> Records{
    InvocationRecord{RequestId("r1"), HistoryKey("k"), ServiceName("statements"), true, Node, Body, HistoryTime(1)},
    OutcomeRecord{RequestId("r1"), Verdict::NotRun, "overloaded", 503, Body, RequestId("r0"), true, HistoryTime(2)},
    RunStartedRecord{RequestId("r1"), HistoryKey("\"\n"), Node, HistoryTime(-5), HistoryTime(3)},
    RunStartedRecord{RequestId("r1"), HistoryKey(), Node, std::nullopt, HistoryTime(4)},
    RunFinishedRecord{RequestId("r1"), Node, 200, Body, HistoryTime(5)},
    StatusRecord{Node, TableNumber(7), digestOf("table"), Bytes(99), HistoryTime(6)},
    TableAcceptedRecord{TableNumber(7), digestOf("table"), HistoryTime(7)},
    PlannedStopRecord{Node, HistoryTime(7), HistoryTime(8)},
};

/// A path of its own for each test; the file is removed at the end.
class TemporaryFile
{
public:
    TemporaryFile()
        : path_(std::filesystem::temp_directory_path() / ("egretpath-history-" + std::to_string(getpid())))
    {
        std::filesystem::remove(path_);
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;
    ~TemporaryFile() { std::filesystem::remove(path_); }

    [[nodiscard]] std::string path() const { return path_.string(); }
    void append(const std::string &text) const { std::ofstream(path_, std::ios::app) << text; }

private:
    std::filesystem::path path_;
};

void writeAll(const std::string &path)
{
    HistoryWriter writer(path);
    for (const HistoryRecord &record : Records) {
        REQUIRE(writer.write(record));
    }
}

}

TEST_CASE("each record survives its line")
{
    for (const HistoryRecord &record : Records) {
        const std::string line = toJsonLine(record);
        CHECK(line.find('\n') == std::string::npos);
        CHECK(fromJsonLine(line).value() == record);
    }
}

TEST_CASE("a line that is no record says which field is wrong")
{
    const std::string good = toJsonLine(Records[5]);
    const auto with = [&good](const std::string &old, const std::string &text) {
        std::string line = good;
        return fromJsonLine(line.replace(line.find(old), old.size(), text)).error().detail;
    };
    CHECK(with("\"table\":7", "\"table\":-7") == "field 'table': expected a number in range");
    CHECK(with("\"table\":7,", "") == "field 'table': expected a number in range");
    CHECK(with("\"status\"", "\"state\"") == "field 'type': unknown record 'state'");
    CHECK(with(toHex(digestOf("table")), "12") == "field 'tableDigest': expected a digest of 32 hexadecimal digits");
    CHECK(fromJsonLine("[1]").error().detail == "not a JSON object");
    CHECK(fromJsonLine(good.substr(0, good.size() - 1)).error().detail == "not a JSON object");
}

TEST_CASE("several files give one history in the order of time")
{
    const TemporaryFile file;
    writeAll(file.path());
    HistoryReader reader;
    REQUIRE(reader.readFile(file.path()));
    REQUIRE(reader.readFile(file.path()));
    const History history = reader.take();
    REQUIRE(history.lines.size() == 2 * Records.size());
    CHECK(history.tornFiles.empty());
    CHECK(history.lines[0].record == history.lines[1].record);
    CHECK(history.lines[2].number == 2);
    CHECK(history.lines[2].file == file.path());
    CHECK(reader.take().lines.empty());
}

TEST_CASE("a killed writer's torn last line is left out, and the next writer cuts it off")
{
    // A check stops with an error, or a record of the next run is lost, because a process was killed within a line.
    const TemporaryFile file;
    writeAll(file.path());
    file.append(toJsonLine(Records[0]).substr(0, 20));
    HistoryReader reader;
    REQUIRE(reader.readFile(file.path()));
    const History torn = reader.take();
    CHECK(torn.lines.size() == Records.size());
    CHECK(torn.tornFiles == std::vector<std::string>{file.path()});
    writeAll(file.path());
    REQUIRE(reader.readFile(file.path()));
    const History continued = reader.take();
    CHECK(continued.lines.size() == 2 * Records.size());
    CHECK(continued.tornFiles.empty());
}

TEST_CASE("a broken line in the middle, or a missing file, is an error that names its place")
{
    const TemporaryFile file;
    HistoryReader reader;
    CHECK(reader.readFile(file.path()).error().detail == file.path() + ": cannot be opened");
    file.append("{}\n");
    CHECK(reader.readFile(file.path()).error().detail == file.path() + ":1: field 'type': expected text");
}
