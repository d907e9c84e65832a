#include <catch2/catch.hpp>

#include "fixtures.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

const Digest Request{1, 1};

/// Runs one request under @p key to its end.
void run(KeyLedger &ledger, const KeyId &key, const std::string &body, std::uint64_t sequence, TimePoint now = Start)
{
    REQUIRE(runs(ledger.begin(key, Request, tryId(sequence), now, WallStart)));
    REQUIRE(ledger.handedOver(key, tryId(sequence)));
    ledger.finished(key, tryId(sequence), answer(body), now);
}

void checkRefused(const BeginDecision &decision, Reason reason)
{
    CHECK(refusal(decision).verdict == Verdict::MayHaveRun);
    CHECK(refusal(decision).reason == reason);
}

}

TEST_CASE("a key runs once and is answered from memory afterwards")
{
    KeyLedger ledger;
    run(ledger, keyId(0), "receipt 1", 1);
    CHECK(replayed(ledger.begin(keyId(0), Request, tryId(2), Start, WallStart)) == "receipt 1");
    CHECK_FALSE(ledger.provedNotRun(keyId(0)));
}

TEST_CASE("a key in use is refused with a time to come back")
{
    KeyLedger ledger;
    REQUIRE(runs(ledger.begin(keyId(0), Request, tryId(1), Start, WallStart)));
    const auto second = ledger.begin(keyId(0), Request, tryId(2), Start, WallStart);
    checkRefused(second, Reason::KeyInUse);
    CHECK(refusal(second).retryAfter > 0ms);
    REQUIRE(ledger.handedOver(keyId(0), tryId(1)));
    checkRefused(ledger.begin(keyId(0), Request, tryId(2), Start, WallStart), Reason::KeyInUse);
}

TEST_CASE("a key of another request is refused, never answered with that request's answer")
{
    KeyLedger ledger;
    run(ledger, keyId(0), "receipt 1", 1);
    checkRefused(ledger.begin(keyId(0), Digest{2, 2}, tryId(2), Start, WallStart), Reason::BadKey);
}

TEST_CASE("an abandoned key may be tried again; a handed-over one may not")
{
    KeyLedger ledger;
    REQUIRE(runs(ledger.begin(keyId(0), Request, tryId(1), Start, WallStart)));
    CHECK(ledger.abandoned(keyId(0), tryId(1), Start));
    CHECK(ledger.provedNotRun(keyId(0)));
    REQUIRE(runs(ledger.begin(keyId(0), Request, tryId(2), Start, WallStart)));
    REQUIRE(ledger.handedOver(keyId(0), tryId(2)));
    CHECK_FALSE(ledger.abandoned(keyId(0), tryId(2), Start));
    checkRefused(ledger.begin(keyId(0), Request, tryId(3), Start, WallStart), Reason::AnswerNotHeld);
}

TEST_CASE("only the try that holds a key may hand it over or end it")
{
    KeyLedger ledger;
    REQUIRE(runs(ledger.begin(keyId(0), Request, tryId(1), Start, WallStart)));
    CHECK_FALSE(ledger.handedOver(keyId(0), tryId(2)));
    CHECK_FALSE(ledger.abandoned(keyId(0), tryId(2), Start));
    ledger.finished(keyId(0), tryId(2), answer("other"), Start);
    ledger.unknownOutcome(keyId(0), tryId(2), Start);
    CHECK(ledger.runningCount() == 1);
    REQUIRE(ledger.handedOver(keyId(0), tryId(1)));
    CHECK_FALSE(ledger.handedOver(keyId(0), tryId(1)));
}

TEST_CASE("an outcome that is not known stays so")
{
    KeyLedger ledger;
    REQUIRE(runs(ledger.begin(keyId(0), Request, tryId(1), Start, WallStart)));
    REQUIRE(ledger.handedOver(keyId(0), tryId(1)));
    ledger.unknownOutcome(keyId(0), tryId(1), Start);
    checkRefused(ledger.begin(keyId(0), Request, tryId(2), Start, WallStart), Reason::AnswerNotHeld);
}

TEST_CASE("answers go first when their bytes run out, and the keys stay known")
{
    KeyLedgerLimits limits;
    limits.answerBytes = Bytes(answer(std::string(1000, 'a')).size().value() * 2);
    KeyLedger ledger(limits);
    for (std::int64_t index = 0; index < 3; ++index) {
        run(ledger, keyId(index), std::string(1000, 'a'), index + 1);
    }
    CHECK(ledger.answerBytes().value() <= limits.answerBytes.value());
    CHECK(ledger.answersHeld() == 2);
    checkRefused(ledger.begin(keyId(0), Request, tryId(9), Start, WallStart), Reason::AnswerNotHeld);
    CHECK(replayed(ledger.begin(keyId(2), Request, tryId(9), Start, WallStart)).size() == 1000);
    run(ledger, keyId(5), std::string(5000, 'a'), 4);
    checkRefused(ledger.begin(keyId(5), Request, tryId(9), Start, WallStart), Reason::AnswerNotHeld);
}

TEST_CASE("a forgotten key is refused by its stamp, and so is each older one")
{
    KeyLedgerLimits limits;
    limits.finishedKeys = 2;
    KeyLedger ledger(limits);
    for (const std::int64_t stamp : {30, 10, 20}) {
        run(ledger, keyId(stamp), "receipt", stamp);
    }
    CHECK(ledger.finishedCount() == 2);
    CHECK(ledger.answersHeld() == 2);
    CHECK(ledger.boundary() == keyId(10).stamp);
    checkRefused(ledger.begin(keyId(10), Request, tryId(90), Start, WallStart), Reason::KeyOutOfMemory);
    checkRefused(ledger.begin(keyId(10, 2), Request, tryId(91), Start, WallStart), Reason::KeyOutOfMemory);
    checkRefused(ledger.begin(keyId(5), Request, tryId(92), Start, WallStart), Reason::KeyOutOfMemory);
    CHECK_FALSE(ledger.provedNotRun(keyId(5)));
    CHECK(runs(ledger.begin(keyId(11), Request, tryId(93), Start, WallStart)));
}

TEST_CASE("a finished key is forgotten after its retention, its answer with it")
{
    KeyLedgerLimits limits;
    limits.retention = 1min;
    KeyLedger ledger(limits);
    run(ledger, keyId(0), "receipt", 1);
    ledger.forgetOld(Start + 59s);
    CHECK(ledger.finishedCount() == 1);
    ledger.forgetOld(Start + 60s);
    CHECK(ledger.finishedCount() == 0);
    CHECK(ledger.answerBytes() == Bytes(0));
    checkRefused(ledger.begin(keyId(0), Request, tryId(2), Start, WallStart), Reason::KeyOutOfMemory);
}

TEST_CASE("a running key is never forgotten")
{
    KeyLedgerLimits limits;
    limits.finishedKeys = 1;
    KeyLedger ledger(limits);
    REQUIRE(runs(ledger.begin(keyId(0), Request, tryId(1), Start, WallStart)));
    for (std::int64_t index = 1; index < 10; ++index) {
        run(ledger, keyId(index), "receipt", index + 1);
    }
    ledger.forgetOld(Start + 240h);
    checkRefused(ledger.begin(keyId(0), Request, tryId(99), Start, WallStart), Reason::KeyInUse);
    CHECK(ledger.handedOver(keyId(0), tryId(1)));
}

TEST_CASE("one issuer with a fast clock cannot lift the boundary over the keys of the others")
{
    KeyLedgerLimits limits;
    limits.finishedKeys = 1;
    KeyLedger ledger(limits);
    const std::int64_t allowance = limits.futureAllowance.count();
    checkRefused(ledger.begin(keyId(allowance + 1), Request, tryId(1), Start, WallStart), Reason::BadKey);
    CHECK(runs(ledger.begin(keyId(allowance), Request, tryId(2), Start, WallStart)));
}

TEST_CASE("more running keys than allowed are refused as not run")
{
    KeyLedgerLimits limits;
    limits.runningKeys = 1;
    KeyLedger ledger(limits);
    REQUIRE(runs(ledger.begin(keyId(0), Request, tryId(1), Start, WallStart)));
    const auto second = ledger.begin(keyId(1), Request, tryId(2), Start, WallStart);
    CHECK(refusal(second).verdict == Verdict::NotRun);
    CHECK(ledger.provedNotRun(keyId(1)));
}

TEST_CASE("a retired key never runs again, and is said not to have run until it is forgotten")
{
    KeyLedgerLimits limits;
    limits.refusedKeys = RefusedKeys::Retire;
    limits.finishedKeys = 1;
    limits.runningKeys = 1;
    KeyLedger ledger(limits);
    REQUIRE(runs(ledger.begin(keyId(1), Request, tryId(1), Start, WallStart)));
    SECTION("refused while it waited")
    {
        CHECK(ledger.abandoned(keyId(1), tryId(1), Start));
        CHECK(refusal(ledger.begin(keyId(1), Request, tryId(2), Start, WallStart)).verdict == Verdict::NotRun);
        CHECK(ledger.provedNotRun(keyId(1)));
        run(ledger, keyId(2), "receipt", 3);
        checkRefused(ledger.begin(keyId(1), Request, tryId(4), Start, WallStart), Reason::KeyOutOfMemory);
    }
    SECTION("refused at once")
    {
        CHECK(refusal(ledger.begin(keyId(2), Request, tryId(2), Start, WallStart)).reason == Reason::Overloaded);
        CHECK(ledger.abandoned(keyId(1), tryId(1), Start));
        CHECK_FALSE(runs(ledger.begin(keyId(2), Request, tryId(2), Start, WallStart)));
    }
    SECTION("late")
    {
        CHECK(ledger.refuse(keyId(2), Request, tryId(2), Start));
        CHECK_FALSE(ledger.refuse(keyId(1), Request, tryId(2), Start));
        CHECK_FALSE(runs(ledger.begin(keyId(2), Request, tryId(2), Start, WallStart)));
    }
}
