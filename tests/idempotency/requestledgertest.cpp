#include <catch2/catch.hpp>

#include "fixtures.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

TEST_CASE("a try is admitted once; a copy gets the verdict that the first one earned")
{
    RequestLedger ledger;
    ledger.introduce(Incarnation(7), CallSequence(1));
    CHECK_FALSE(ledger.admit(tryId(1)));
    CHECK(ledger.admit(tryId(1))->verdict == Verdict::MayHaveRun);
    CHECK_FALSE(ledger.admit(tryId(1, 2)));
    ledger.refused(tryId(1, 2), notRun(Reason::Overloaded));
    CHECK(ledger.admit(tryId(1, 2))->verdict == Verdict::NotRun);
    CHECK(ledger.admit(tryId(1, 2))->reason == Reason::Overloaded);
}

TEST_CASE("a forgotten try raises the floor of its ingress and of no other")
{
    RequestLedger ledger({2, 10});
    ledger.introduce(Incarnation(7), CallSequence(1));
    ledger.introduce(Incarnation(8), CallSequence(1));
    for (const std::uint64_t sequence : {5, 6, 7}) {
        CHECK_FALSE(ledger.admit(tryId(sequence)));
    }
    CHECK(ledger.tryCount() == 2);
    CHECK(ledger.admit(tryId(5))->verdict == Verdict::MayHaveRun);
    CHECK(ledger.admit(tryId(5))->reason == Reason::KeyOutOfMemory);
    CHECK(ledger.admit(tryId(4, 9))->reason == Reason::KeyOutOfMemory);
    CHECK_FALSE(ledger.admit(tryId(5, 2)));
    CHECK_FALSE(ledger.admit(tryId(1, 1, 8)));
}

TEST_CASE("a forgotten ingress must introduce itself, and its old tries stay refused")
{
    RequestLedger ledger({1, 1});
    ledger.introduce(Incarnation(7), CallSequence(1));
    CHECK_FALSE(ledger.admit(tryId(3)));
    ledger.introduce(Incarnation(8), CallSequence(1));
    CHECK_FALSE(ledger.admit(tryId(1, 1, 8)));
    CHECK(ledger.ingressCount() == 1);
    CHECK(ledger.admit(tryId(3))->verdict == Verdict::MayHaveRun);
    CHECK(ledger.admit(tryId(4))->reason == Reason::WrongIncarnation);
    ledger.introduce(Incarnation(7), CallSequence(4));
    CHECK(ledger.admit(tryId(3))->verdict == Verdict::MayHaveRun);
    CHECK_FALSE(ledger.admit(tryId(4)));
}

TEST_CASE("a second introduction does not lift the memory of a known ingress")
{
    RequestLedger ledger;
    ledger.introduce(Incarnation(7), CallSequence(1));
    ledger.introduce(Incarnation(7), CallSequence(50));
    CHECK_FALSE(ledger.admit(tryId(2)));
}
