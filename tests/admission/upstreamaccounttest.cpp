#include "admission/upstreamaccount.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

/// Returns an account in which calls 1 to @p count were written at time zero.
UpstreamAccount accountWithCalls(unsigned count)
{
    UpstreamAccount account;
    for (unsigned call = 1; call <= count; ++call) {
        account.onStarted(CallId(call));
        account.onWritten(CallId(call), at(0));
    }
    return account;
}

void queryUpstream(UpstreamAccount &account, int sentAt, std::uint32_t held)
{
    account.onQuerySent(at(sentAt));
    account.onReport(held, at(sentAt + 2));
}

}

TEST_CASE("a call that the upstream does not count is lost once the answers in flight have arrived")
{
    UpstreamAccount account = accountWithCalls(2);
    queryUpstream(account, 100, 2);
    account.onAnswered(CallId(1));
    queryUpstream(account, 300, 0);
    CHECK(account.lostCalls().empty());
    queryUpstream(account, 450, 0);
    CHECK(account.lostCalls() == std::vector<CallId>{CallId(2)});
    account.onGivenUp(CallId(2));
    CHECK(account.lostCalls().empty());
}

// Guards against ending a running request instead of the one that was lost.
TEST_CASE("the lost one of several calls is identified when the others are answered")
{
    UpstreamAccount account = accountWithCalls(3);
    queryUpstream(account, 100, 2);
    queryUpstream(account, 300, 2);
    queryUpstream(account, 500, 2);
    CHECK(account.lostCalls().empty());
    account.onAnswered(CallId(3));
    CHECK(account.lostCalls().empty());
    account.onAnswered(CallId(1));
    CHECK(account.lostCalls() == std::vector<CallId>{CallId(2)});
}

// Guards against ending a request whose answer was sent just before the upstream counted.
TEST_CASE("an answer in flight while the upstream counts does not make another call count as lost")
{
    UpstreamAccount account = accountWithCalls(2);
    queryUpstream(account, 90, 2);
    queryUpstream(account, 100, 1);
    account.onAnswered(CallId(1));
    queryUpstream(account, 300, 1);
    queryUpstream(account, 500, 1);
    CHECK(account.lostCalls().empty());
}

TEST_CASE("a call that was given up may have been the lost call")
{
    UpstreamAccount account = accountWithCalls(3);
    queryUpstream(account, 100, 2);
    queryUpstream(account, 300, 2);
    account.onGivenUp(CallId(1));
    account.onAnswered(CallId(2));
    CHECK(account.lostCalls().empty());
}

TEST_CASE("calls that are being written or were just written are not expected in the count")
{
    UpstreamAccount account = accountWithCalls(1);
    queryUpstream(account, 60, 1);
    account.onAnswered(CallId(1));
    account.onStarted(CallId(2));
    account.onWritten(CallId(2), at(100));
    account.onStarted(CallId(3));
    queryUpstream(account, 120, 0);
    queryUpstream(account, 300, 1);
    queryUpstream(account, 500, 1);
    CHECK(account.lostCalls().empty());
}

// Guards against ending running requests as lost because the upstream does not count its requests.
TEST_CASE("no call counts as lost at an upstream that always reports zero requests")
{
    UpstreamAccount account = accountWithCalls(1);
    for (int time = 100; time < 3000; time += 200) {
        queryUpstream(account, time, 0);
    }
    CHECK(account.lostCalls().empty());
    CHECK(account.externalRequests() == 0);
}

TEST_CASE("requests at the upstream beyond this node's calls count as external requests")
{
    UpstreamAccount account = accountWithCalls(2);
    account.onQuerySent(at(100));
    account.onStarted(CallId(3));
    account.onReport(6, at(102));
    // The upstream may have counted the third call.
    CHECK(account.externalRequests() == 3);
    account.onGivenUp(CallId(1));
    queryUpstream(account, 300, 3);
    CHECK(account.externalRequests() == 1);
    queryUpstream(account, 500, 2);
    CHECK(account.externalRequests() == 0);
}
