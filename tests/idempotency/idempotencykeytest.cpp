#include <algorithm>
#include <cctype>
#include <map>

#include <catch2/catch.hpp>

#include "fixtures.h"
#include "idempotency/keyrouter.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

const NodeIdentity Owner{UpstreamName("arrangements-3.northmere"), Incarnation(0xabcdef)};
const std::string Uuid = "018bcfe5-6800-7abc-8def-0123456789ab";

std::string upper(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::toupper(letter); });
    return text;
}

OwnerSet ownerSet(std::initializer_list<const char *> names)
{
    std::vector<UpstreamName> upstreams;
    for (const char *name : names) {
        upstreams.emplace_back(name);
    }
    return OwnerSet(std::move(upstreams));
}

}

TEST_CASE("an issued key survives its text form, also if the upstream's name holds dots")
{
    Random random(1);
    const IssuedKey key = issueKey(Owner, WallStart, random);
    CHECK(IssuedKey::parse(key.text().value()) == key);
    CHECK(key.stamp == stampOf(WallStart));
}

TEST_CASE("a changed character anywhere makes an issued key unknown")
{
    Random random(1);
    const std::string text = issueKey(Owner, WallStart, random).text().value();
    for (std::size_t index = 0; index < text.size(); ++index) {
        std::string changed = text;
        changed[index] = changed[index] == '1' ? '2' : '1';
        CHECK_FALSE(IssuedKey::parse(changed));
    }
    for (const std::string &wrong : {std::string(), std::string("ep1."), text + "0", " " + text, upper(text)}) {
        CHECK_FALSE(IssuedKey::parse(wrong));
    }
}

TEST_CASE("a UUID of version 7 gives its creation time, the same in either letter case")
{
    const auto key = TimedKey::parse(Uuid);
    REQUIRE(key);
    CHECK(key->keyId.stamp == KeyStamp(0x018bcfe56800));
    CHECK(TimedKey::parse(upper(Uuid)) == key);
}

TEST_CASE("other UUIDs and texts are no timed keys")
{
    CHECK_FALSE(TimedKey::parse("018bcfe5-6800-4abc-8def-0123456789ab"));
    CHECK_FALSE(TimedKey::parse("018bcfe5-6800-7abc-cdef-0123456789ab"));
    CHECK_FALSE(TimedKey::parse("018bcfe5-6800-7abc-8def-0123456789a"));
    CHECK_FALSE(TimedKey::parse("018bcfe5-6800-7abc-8def-0123456789ag"));
    CHECK_FALSE(TimedKey::parse("018bcfe5968009abc98def90123456789ab0"));
}

TEST_CASE("an owner set moves only the keys of an upstream that joins or leaves")
{
    const OwnerSet before = ownerSet({"a", "b", "c", "d"});
    const OwnerSet after = ownerSet({"d", "a", "b", "a"});
    CHECK(before.digest() != after.digest());
    CHECK(after.digest() == ownerSet({"a", "b", "d"}).digest());
    std::map<std::string, int> owned;
    for (int index = 0; index < 1000; ++index) {
        const std::string key = std::to_string(index);
        const UpstreamName owner = before.ownerOf(key).value();
        ++owned[owner.value()];
        if (owner != UpstreamName("c")) {
            CHECK(after.ownerOf(key) == owner);
        }
    }
    for (const char *name : {"a", "b", "c", "d"}) {
        CHECK(owned[name] > 150);
    }
    CHECK_FALSE(OwnerSet().ownerOf("key"));
}

TEST_CASE("an issued key is routed to the owner that it names, whatever the table's other rows are")
{
    Random random(1);
    const KeyRouter router = KeyRouter::standard(false);
    const KeyText key = issueKey({UpstreamName("b"), Incarnation(9)}, WallStart, random).text();
    const KeyTarget expected{UpstreamName("b"), Incarnation(9), std::nullopt};
    CHECK(router.route(key, ownerSet({"a", "b"})).value() == expected);
    CHECK(router.route(key, ownerSet({"b", "x", "y"})).value() == expected);
    const Failure gone = router.route(key, ownerSet({"a", "c"})).error();
    CHECK(gone.verdict == Verdict::MayHaveRun);
    CHECK(gone.reason == Reason::KeyOutOfMemory);
}

TEST_CASE("a caller-chosen key is refused as not run, or routed by the table if it is timed and that is switched on")
{
    const OwnerSet owners = ownerSet({"a", "b", "c"});
    for (const std::string &text : {std::string("order-17"), std::string(), Uuid}) {
        const Failure failure = KeyRouter::standard(false).route(KeyText(text), owners).error();
        CHECK(failure.verdict == Verdict::NotRun);
        CHECK(failure.reason == Reason::BadKey);
    }
    const KeyRouter router = KeyRouter::standard(true);
    const KeyTarget target = router.route(KeyText(Uuid), owners).value();
    for (const char digit : std::string("0123456789abcdef")) {
        const std::string uuid = Uuid.substr(0, Uuid.size() - 1) + digit;
        CHECK(router.route(KeyText(upper(uuid)), owners).value() == router.route(KeyText(uuid), owners).value());
    }
    CHECK(target.ownerSet == owners.digest());
    CHECK_FALSE(target.incarnation);
    CHECK(router.route(KeyText("order-17"), owners).error().verdict == Verdict::NotRun);
    CHECK(router.route(KeyText(Uuid), OwnerSet()).error().verdict == Verdict::MayHaveRun);
}

TEST_CASE("an ingress that asked no owner does not say that a key did not run")
{
    // A payment ran and its answer was lost. The caller asks again with the same key at a node that has just started
    // and has no table yet. Told "not run", it would pay a second time under a fresh key.
    Random random(1);
    const KeyText issued = issueKey({UpstreamName("b"), Incarnation(9)}, WallStart, random).text();
    const Failure noTable = notRun(Reason::NoTable, "no table is in force yet", Milliseconds(200));
    const KeyRouter router = KeyRouter::standard(false);
    const Failure said = router.refuseUnasked(issued, noTable);
    CHECK(said.verdict == Verdict::MayHaveRun);
    CHECK(said.reason == Reason::NoTable);
    CHECK(said.retryAfter == noTable.retryAfter);
    CHECK(router.refuseUnasked(KeyText("order-17"), noTable).verdict == Verdict::NotRun);
    CHECK(router.refuseUnasked(KeyText(Uuid), noTable).verdict == Verdict::NotRun);
    CHECK(KeyRouter::standard(true).refuseUnasked(KeyText(Uuid), noTable).verdict == Verdict::MayHaveRun);
}
