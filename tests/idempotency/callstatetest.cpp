#include <catch2/catch.hpp>

#include "fixtures.h"
#include "idempotency/callstate.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

const NodeIdentity First{UpstreamName("a"), Incarnation(1)};
const NodeIdentity Second{UpstreamName("b"), Incarnation(2)};
const TimePoint Deadline = Start + 2s;
constexpr TryNumber Try1(1);
constexpr TryNumber Try2(2);

CallState callState(Repetition repetition, std::uint32_t maxTries = 3)
{
    return {IngressCallId{Incarnation(7), CallSequence(1)}, repetition, maxTries, Deadline};
}

CallState callSentOnce(Repetition repetition, std::uint32_t maxTries = 3)
{
    CallState call = callState(repetition, maxTries);
    REQUIRE(call.startTry(First, Start));
    REQUIRE(call.permitSending(Try1, Start));
    return call;
}

}

TEST_CASE("a call that was never sent ends as not-run, unless an earlier call may have used its key")
{
    for (const auto &[repetition, verdict] :
         {std::pair(Repetition::Repeatable, Verdict::NotRun), std::pair(Repetition::Once, Verdict::NotRun),
          std::pair(Repetition::OncePerKey, Verdict::MayHaveRun)}) {
        CallState call = callState(repetition);
        REQUIRE(call.startTry(First, Start));
        CHECK(call.onTryFailed(Try1, mayHaveRun(Reason::ConnectFailed)) == NextStep::MayRetry);
        CHECK(call.giveUp(Reason::ConnectFailed)->verdict == verdict);
    }
}

TEST_CASE("a call that was sent ends as not-run only if the egress proves it")
{
    for (const Repetition repetition : {Repetition::Repeatable, Repetition::Once, Repetition::OncePerKey}) {
        CallState unanswered = callSentOnce(repetition);
        CHECK(unanswered.phase() == CallPhase::Sent);
        CHECK(unanswered.outstanding().size() == 1);
        CHECK(unanswered.giveUp(Reason::DeadlinePassed)->verdict == Verdict::MayHaveRun);
        CallState lost = callSentOnce(repetition);
        (void)lost.onTryFailed(Try1, mayHaveRun(Reason::ConnectionLost));
        CHECK(lost.giveUp(Reason::ConnectionLost)->verdict == Verdict::MayHaveRun);
        CallState refused = callSentOnce(repetition);
        CHECK(refused.onTryFailed(Try1, notRun(Reason::Overloaded)) == NextStep::MayRetry);
        CHECK(refused.giveUp(Reason::Overloaded)->verdict == Verdict::NotRun);
    }
}

TEST_CASE("one lost try keeps the verdict at may-have-run, even if another try was refused")
{
    CallState call = callSentOnce(Repetition::OncePerKey);
    CHECK(call.onTryFailed(Try1, mayHaveRun(Reason::ConnectionLost)) == NextStep::MayRetry);
    REQUIRE(call.startTry(First, Start));
    REQUIRE(call.permitSending(Try2, Start));
    CHECK(call.onTryFailed(Try2, notRun(Reason::Overloaded)) == NextStep::MayRetry);
    CHECK(call.giveUp(Reason::Overloaded)->verdict == Verdict::MayHaveRun);
}

TEST_CASE("a call that may run once is sent again only after a proof that it did not run")
{
    CallState call = callSentOnce(Repetition::Once);
    CHECK(call.startTry(Second, Start).error().reason == Reason::KeyInUse);
    SECTION("refused")
    {
        REQUIRE(call.onTryFailed(Try1, notRun(Reason::Overloaded)) == NextStep::MayRetry);
        CHECK(call.startTry(Second, Start));
    }
    SECTION("lost")
    {
        CHECK(call.onTryFailed(Try1, mayHaveRun(Reason::ConnectionLost)) == NextStep::GiveUp);
        CHECK(call.startTry(Second, Start).error().reason == Reason::KeyInUse);
    }
}

TEST_CASE("a call with a key is sent again only to the key's owner")
{
    CallState call = callSentOnce(Repetition::OncePerKey);
    REQUIRE(call.onTryFailed(Try1, mayHaveRun(Reason::ConnectionLost)) == NextStep::MayRetry);
    CHECK(call.startTry(Second, Start).error().reason == Reason::KeyInUse);
    CHECK(call.startTry(First, Start));
}

TEST_CASE("a repeatable call may have two tries under way, and the first complete answer counts")
{
    CallState call = callSentOnce(Repetition::Repeatable);
    REQUIRE(call.startTry(Second, Start));
    CHECK_FALSE(call.acceptAnswer(Try2));
    REQUIRE(call.permitSending(Try2, Start));
    CHECK(call.onTryFailed(Try1, mayHaveRun(Reason::BadAnswer)) == NextStep::Wait);
    CHECK(call.acceptAnswer(Try2));
    CHECK(call.phase() == CallPhase::Answered);
    CHECK_FALSE(call.acceptAnswer(Try2));
    CHECK_FALSE(call.giveUp(Reason::DeadlinePassed));
}

TEST_CASE("exactly one verdict is given, and later events change nothing")
{
    CallState call = callSentOnce(Repetition::Repeatable);
    REQUIRE(call.giveUp(Reason::DeadlinePassed));
    CHECK_FALSE(call.giveUp(Reason::Cancelled));
    CHECK_FALSE(call.refuse(notRun(Reason::BadKey)));
    CHECK_FALSE(call.acceptAnswer(Try1));
    CHECK(call.onTryFailed(Try1, notRun(Reason::Overloaded)) == NextStep::Ignore);
    CHECK_FALSE(call.startTry(Second, Start));
    CHECK(call.phase() == CallPhase::GivenUp);
}

TEST_CASE("a call has at most its maximum of tries, each is sent once, and none starts or is sent past the deadline")
{
    CallState limited = callSentOnce(Repetition::Repeatable, 1);
    CHECK(limited.startTry(Second, Start).error().reason == Reason::BudgetSpent);
    CHECK(limited.onTryFailed(Try1, notRun(Reason::Overloaded)) == NextStep::GiveUp);
    CallState late = callState(Repetition::Repeatable);
    REQUIRE(late.startTry(First, Start));
    CHECK_FALSE(late.permitSending(Try1, Deadline));
    REQUIRE(late.permitSending(Try1, Start));
    CHECK_FALSE(late.permitSending(Try1, Start));
    CHECK(late.startTry(First, Deadline).error().reason == Reason::DeadlinePassed);
}

TEST_CASE("a refusal before the first try keeps its own verdict, and a later one gets the verdict of the tries")
{
    CallState unsent = callState(Repetition::OncePerKey);
    CHECK(unsent.refuse(notRun(Reason::BadKey))->verdict == Verdict::NotRun);
    CallState sent = callSentOnce(Repetition::OncePerKey);
    CHECK(sent.refuse(notRun(Reason::BadKey))->verdict == Verdict::MayHaveRun);
}
