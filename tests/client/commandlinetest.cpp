#include "client/commandline.h"

#include <algorithm>
#include <filesystem>
#include <sstream>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "client/checkcommand.h"
#include "client/diffcommand.h"
#include "client/publishplancommand.h"
#include "client/tablefile.h"

using namespace Egretpath;

namespace
{

const std::string Marrowfield = EGRETPATH_SOURCE_DIR "/examples/marrowfield/table.csv";

struct Answer
{
    ExitCode code;
    std::string out;
    std::string err;
};

Answer run(const std::vector<std::string> &arguments)
{
    CommandLine commandLine;
    commandLine.add(std::make_unique<CheckCommand>());
    commandLine.add(std::make_unique<DiffCommand>());
    commandLine.add(std::make_unique<PublishPlanCommand>());
    std::vector<std::string> all{"egretpath"};
    all.insert(all.end(), arguments.begin(), arguments.end());
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = commandLine.run(all, out, err);
    return {code, out.str(), err.str()};
}

/// A directory for one test; removed at its end.
class Folder
{
public:
    Folder()
        : path_(std::filesystem::temp_directory_path() / ("egretpath-client-test-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(path_);
    }
    ~Folder() { std::filesystem::remove_all(path_); }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    [[nodiscard]] std::string path(const std::string &name) const { return (path_ / name).string(); }

private:
    std::filesystem::path path_;
};

/// The example table with the first @p from replaced by @p to.
std::string edited(const std::string &from, const std::string &to)
{
    std::string text = TableFile::read(Marrowfield).value();
    return text.replace(text.find(from), from.size(), to);
}

}

TEST_CASE("wrong usage ends with 2, help with 0")
{
    CHECK(run({}).code == ExitCode::BadUsage);
    CHECK(run({"chek"}).code == ExitCode::BadUsage);
    CHECK(run({"check"}).code == ExitCode::BadUsage);
    CHECK(run({"check", "no-such-file.csv"}).code == ExitCode::BadUsage);
    for (const char *number : {"0", "-1", "01", "7.0", "1000000000000000", ""}) {
        CHECK(run({"publish-plan", Marrowfield, "--number", number, "--output", "x"}).code == ExitCode::BadUsage);
    }
    CHECK(run({"--help"}).code == ExitCode::Fine);
}

TEST_CASE("check ends with 1 and reports all problems of a table that isn't accepted")
{
    const Folder folder;
    const std::string bad = folder.path("bad.csv");
    REQUIRE(TableFile::write(bad, edited("statements-1,100", "statements-1,many")));
    CHECK(run({"check", Marrowfield}).code == ExitCode::Fine);
    const Answer answer = run({"check", bad, Marrowfield});
    CHECK(answer.code == ExitCode::No);
    CHECK(answer.err
          == bad + ": row 9, column weight: \"many\" is not allowed; allowed: a whole number from 0 to 1000\n");
    CHECK_THAT(answer.out, Catch::Matchers::Contains("fine: 3 services, 3 regions, 18 upstreams, digest "));
}

TEST_CASE("diff tells what a new table will do")
{
    const Folder folder;
    const std::string next = folder.path("next.csv");
    REQUIRE(TableFile::write(next, edited("arrangements-3,100", "arrangements-3,0")));
    const Answer answer = run({"diff", Marrowfield, next});
    CHECK(answer.code == ExitCode::Fine);
    CHECK(answer.out == "upstream arrangements-3: weight 100 -> 0: drains\n1 rows new or changed, 0 removed\n");
    CHECK(run({"diff", Marrowfield, Marrowfield}).out == "0 rows new or changed, 0 removed\n");
    REQUIRE(TableFile::write(next, "service\n"));
    CHECK(run({"diff", Marrowfield, next}).code == ExitCode::No);
}

TEST_CASE("a plan lists the parts before the head, and only what changed since the previous head")
{
    // Put before its parts, a head would send every reader after values that aren't there yet.
    const Folder folder;
    const Answer first = run({"publish-plan", Marrowfield, "--number", "7", "--output", folder.path("first")});
    REQUIRE(first.code == ExitCode::Fine);
    CHECK(TableFile::read(folder.path("first/plan")) == first.out);
    CHECK_THAT(first.out, Catch::Matchers::StartsWith("put egretpath/table/part/"));
    const std::string lastLine = first.out.substr(first.out.rfind('\n', first.out.size() - 2) + 1);
    CHECK_THAT(lastLine, Catch::Matchers::StartsWith("put egretpath/table/head head "));

    const std::string next = folder.path("next.csv");
    REQUIRE(TableFile::write(next, edited("arrangements-3,100", "arrangements-3,0")));
    const std::string head = folder.path("first/head");
    const Answer second = run({"publish-plan", next, "--number", "8", "--prefix", "t", "--previous-head", head,
                               "--output", folder.path("second")});
    REQUIRE(second.code == ExitCode::Fine);
    CHECK(std::count(second.out.begin(), second.out.end(), '\n') == 2);
    CHECK_THAT(second.out, Catch::Matchers::StartsWith("put t/part/"));
}

TEST_CASE("a plan is refused over an older number, a used directory or a table that doesn't check")
{
    // A number that isn't larger would be published in vain: nodes never go back.
    const Folder folder;
    const auto plan = [&folder](const std::string &table, const std::string &number, const std::string &output) {
        return run({"publish-plan", table, "--number", number, "--output", folder.path(output), "--previous-head",
                    folder.path("first/head")});
    };
    REQUIRE(run({"publish-plan", Marrowfield, "--number", "7", "--output", folder.path("first")}).code
            == ExitCode::Fine);
    CHECK(plan(Marrowfield, "7", "second").code == ExitCode::No);
    CHECK_FALSE(std::filesystem::exists(folder.path("second")));
    CHECK(plan(Marrowfield, "8", "first").code == ExitCode::BadUsage);
    CHECK(plan(folder.path("first/head"), "8", "second").code == ExitCode::No);
    CHECK(plan(folder.path("none"), "8", "second").code == ExitCode::BadUsage);
}
