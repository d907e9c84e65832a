#include "node/callerresponse.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("a caller is told the verdict, the reason and when to come back")
{
    const HttpResponseHead head = failureHead(notRun(Reason::Overloaded, "full", Milliseconds(150)));
    CHECK(head.status == 503);
    CHECK(head.headers.find("Egretpath-Verdict") == "not-run");
    CHECK(head.headers.find("Egretpath-Reason") == "overloaded");
    CHECK(head.headers.find("Retry-After") == "1");
    CHECK(head.headers.find("Egretpath-Retry-After-Ms") == "150");
    CHECK(failureBody(notRun(Reason::Overloaded, "full")) == "not-run: overloaded: full\n");
    CHECK(failureBody(notRun(Reason::Draining)) == "not-run: draining\n");
}

TEST_CASE("the status follows from the reason, else from the verdict")
{
    CHECK(statusOf(notRun(Reason::BadRequest)) == 400);
    CHECK(statusOf(mayHaveRun(Reason::KeyInUse)) == 409);
    CHECK(statusOf(mayHaveRun(Reason::DeadlinePassed)) == 504);
    CHECK(statusOf(mayHaveRun(Reason::ConnectionLost)) == 502);
    CHECK(statusOf(notRun(Reason::Draining)) == 503);
}
