#include <array>
#include <string>

#include <catch2/catch.hpp>

#include "daemons/modulepath.h"

using namespace Egretpath;

namespace
{

/// Empty if there is no path.
std::string modulePath(const char *program, const char *workingDirectory)
{
    constexpr std::size_t PathSize = 40;
    std::array<char, PathSize> path{};
    const bool exists = writeModulePath(program, workingDirectory, "node.so", path.data(), path.size());
    return exists ? std::string(path.data()) : std::string();
}

}

// Guards against a node that can't start from a folder which its process reaches by its working directory only.
TEST_CASE("a module below the working directory is named relative to it")
{
    CHECK(modulePath("/tmp/tree/target/bin/node", "/tmp/tree") == "target/bin/node.so");
    CHECK(modulePath("/tmp/tree/node", "/tmp/tree") == "./node.so");
    CHECK(modulePath("target/bin/node", "/tmp/tree") == "target/bin/node.so");
}

TEST_CASE("a module elsewhere is named by the path of its program")
{
    CHECK(modulePath("/tmp/tree-2/bin/node", "/tmp/tree") == "/tmp/tree-2/bin/node.so");
    CHECK(modulePath("/opt/node", "/") == "/opt/node.so");
    CHECK(modulePath("/node", nullptr) == "/node.so");
    CHECK(modulePath("../bin/node", "/tmp/tree") == "../bin/node.so");
}

TEST_CASE("a program that names no folder, or too long a path, has no module path")
{
    CHECK(modulePath("node", "/tmp/tree").empty());
    CHECK(modulePath("/a-folder-with-a-very-long-name-indeed/node", nullptr).empty());
}
