#include "table/tablepublication.h"

#include <catch2/catch.hpp>

#include "tablegenerator.h"

using namespace Egretpath;

namespace
{

const std::string Header = "service,region,upstream,weight,in_flight_cap,deadline_ms\n";

std::string manyUpstreams(int services, int upstreams)
{
    std::string text = Header;
    for (int service = 0; service < services; ++service) {
        const std::string name = "service-" + std::to_string(service);
        text += name + ",,,,,800\n";
        for (int upstream = 0; upstream < upstreams; ++upstream) {
            text.append(name).append(",northmere,").append(name).append("-");
            text.append(std::to_string(upstream)).append(",100,6,\n");
        }
    }
    return text;
}

}

TEST_CASE("a published table is read back as it was")
{
    REQUIRE(rc::check("assemble(split(table)) == table", [] {
        const TablePointer table = *anyTable();
        const SplitTable split = TablePublication::split(*table).value();
        const auto head = TablePublication::parseHead(TablePublication::printHead(split.head), "head");
        RC_ASSERT(head.has_value());
        RC_ASSERT(head.value() == split.head);
        const auto result = TablePublication::assemble(head.value(), split.parts, "egretpath/table");
        RC_ASSERT(result.has_value());
        RC_ASSERT(*result.value() == *table);
    }));
}

TEST_CASE("a reader that has an earlier table gets the next one from the changed parts alone")
{
    REQUIRE(rc::check("update(a, changed parts of b) == b", [] {
        const TablePointer base = *anyTable();
        const TablePointer target = *anyTable();
        const TableHead baseHead = TablePublication::split(*base).value().head;
        const SplitTable split = TablePublication::split(*target).value();
        TableParts changed;
        for (const Digest &digest : TablePublication::changedParts(baseHead, split.head)) {
            changed[digest] = split.parts.at(digest);
        }
        const auto result = TablePublication::update(*base, baseHead, split.head, changed, "t");
        RC_ASSERT(result.has_value());
        RC_ASSERT(*result.value() == *target);
    }));
}

TEST_CASE("an update of another base, or without a changed part, is refused")
{
    const TablePointer base = tableFrom(Header + "a,,,,,1\n", 1);
    const SplitTable before = TablePublication::split(*base).value();
    const SplitTable after = TablePublication::split(*tableFrom(Header + "a,,,,,2\n", 2)).value();
    CHECK(TablePublication::update(*base, before.head, after.head, after.parts, "t").has_value());
    CHECK_FALSE(TablePublication::update(*base, after.head, after.head, after.parts, "t").has_value());
    CHECK_FALSE(TablePublication::update(*base, before.head, after.head, before.parts, "t").has_value());
    TableHead otherDigest = after.head;
    otherDigest.version.digest.low ^= 1;
    CHECK_FALSE(TablePublication::update(*base, before.head, otherDigest, after.parts, "t").has_value());
}

TEST_CASE("a change of one service leaves the other parts as they were")
{
    std::string text = manyUpstreams(100, 3);
    const SplitTable before = TablePublication::split(*tableFrom(text, 1)).value();
    text.replace(text.find("service-7-1,100"), 15, "service-7-1,0");
    const SplitTable after = TablePublication::split(*tableFrom(text, 2)).value();
    CHECK(TablePublication::missingParts(after.head, before.parts).size() == 1);
}

TEST_CASE("a table beyond the size of a value is split into more parts")
{
    const SplitTable split = TablePublication::split(*tableFrom(manyUpstreams(7, 13000), 1)).value();
    for (const auto &[digest, text] : split.parts) {
        CHECK(text.size() <= TablePublication::ValueCap);
    }
    CHECK_FALSE(TablePublication::split(*tableFrom(manyUpstreams(1, 25000), 1)).has_value());
}

TEST_CASE("parts of two publishings are never mixed")
{
    // Two operators publish at once. A node reads the head of one and meets parts of both. Were parts
    // keyed by their index, it would put a table in force that neither published.
    const SplitTable one = TablePublication::split(*tableFrom(Header + "a,,,,,1\nb,,,,,1\n", 5)).value();
    const SplitTable other = TablePublication::split(*tableFrom(Header + "a,,,,,2\nb,,,,,1\n", 5)).value();

    TableParts both = one.parts;
    both.insert(other.parts.begin(), other.parts.end());
    CHECK(TablePublication::assemble(one.head, both, "t").value()->version() == one.head.version);
    CHECK(TablePublication::assemble(other.head, both, "t").value()->version() == other.head.version);

    const Digest missing = TablePublication::missingParts(one.head, other.parts).front();
    const auto lacking = TablePublication::assemble(one.head, other.parts, "t");
    REQUIRE_FALSE(lacking.has_value());
    CHECK(toString(lacking.error())
          == "t/part/" + toHex(missing) + ": \"missing\" is not allowed; allowed: the part that the head lists\n");

    TableParts damaged = one.parts;
    damaged[missing] += "\n";
    const auto wrong = TablePublication::assemble(one.head, damaged, "t");
    REQUIRE_FALSE(wrong.has_value());
    CHECK(wrong.error().front().allowed == "content with the digest in the key");

    TableHead shorter = one.head;
    std::erase(shorter.parts, missing);
    CHECK_FALSE(TablePublication::assemble(shorter, one.parts, "t").has_value());
}

TEST_CASE("a head that isn't whole is refused at its first wrong line")
{
    const std::string digest(32, 'a');
    const std::string whole = "egretpath-table 1\nnumber 7\ndigest " + digest + "\nparts 1\npart " + digest + "\nend\n";
    REQUIRE(TablePublication::parseHead(whole, "head").has_value());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(TablePublication::parseHead(whole.substr(0, size), "head").has_value());
    }
    const auto messageOf = [](const std::string &text) {
        return toString(TablePublication::parseHead(text, "head").error());
    };
    CHECK(messageOf("egretpath-table 2\n")
          == "head: row 1: \"egretpath-table 2\" is not allowed; allowed: the line \"egretpath-table 1\"\n");
    CHECK(messageOf("egretpath-table 1\nnumber 0\n")
          == "head: row 2: \"number 0\" is not allowed; allowed: \"number <a whole number from 1 to "
             "18446744073709551615>\"\n");
    CHECK(messageOf("egretpath-table 1\nnumber 1\ndigest 12\n")
          == "head: row 3: \"digest 12\" is not allowed; allowed: \"digest <32 hexadecimal digits>\"\n");
    CHECK(messageOf(whole + "more")
          == "head: row 7: \"more\" is not allowed; allowed: nothing after the line \"end\"\n");
}
