#include "admission/upstreamaccount.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

/// Calls 1 to @p count are written at time zero.
UpstreamAccount accountOf(unsigned count)
{
    UpstreamAccount account;
    for (unsigned call = 1; call <= count; ++call) {
        account.begun(CallId(call));
        account.written(CallId(call), at(0));
    }
    return account;
}

void ask(UpstreamAccount &account, int askedAt, std::uint32_t held)
{
    account.asked(at(askedAt));
    account.reported(held, at(askedAt + 2));
}

}

TEST_CASE("a call that the upstream does not count is lost, once answers on their way have arrived")
{
    UpstreamAccount account = accountOf(2);
    ask(account, 100, 2);
    account.answered(CallId(1));
    ask(account, 300, 0);
    CHECK(account.lost().empty());
    ask(account, 450, 0);
    CHECK(account.lost() == std::vector<CallId>{CallId(2)});
    account.givenUp(CallId(2));
    CHECK(account.lost().empty());
}

// Guards against ending a request that runs in place of the one that was lost.
TEST_CASE("which of several calls is lost shows when the others are answered")
{
    UpstreamAccount account = accountOf(3);
    ask(account, 100, 2);
    ask(account, 300, 2);
    ask(account, 500, 2);
    CHECK(account.lost().empty());
    account.answered(CallId(3));
    CHECK(account.lost().empty());
    account.answered(CallId(1));
    CHECK(account.lost() == std::vector<CallId>{CallId(2)});
}

// Guards against ending a request whose answer was made just before the upstream counted.
TEST_CASE("an answer that was on its way while the upstream counted is no loss of another call")
{
    UpstreamAccount account = accountOf(2);
    ask(account, 90, 2);
    ask(account, 100, 1);
    account.answered(CallId(1));
    ask(account, 300, 1);
    ask(account, 500, 1);
    CHECK(account.lost().empty());
}

TEST_CASE("a call that was given up may have been the lost one")
{
    UpstreamAccount account = accountOf(3);
    ask(account, 100, 2);
    ask(account, 300, 2);
    account.givenUp(CallId(1));
    account.answered(CallId(2));
    CHECK(account.lost().empty());
}

TEST_CASE("calls that were only just written, or are being written, need not be counted yet")
{
    UpstreamAccount account = accountOf(1);
    ask(account, 60, 1);
    account.answered(CallId(1));
    account.begun(CallId(2));
    account.written(CallId(2), at(100));
    account.begun(CallId(3));
    ask(account, 120, 0);
    ask(account, 300, 1);
    ask(account, 500, 1);
    CHECK(account.lost().empty());
}

// Guards against an upstream that always says that it has nothing.
TEST_CASE("an upstream that was never seen to count proves nothing")
{
    UpstreamAccount account = accountOf(1);
    for (int time = 100; time < 3000; time += 200) {
        ask(account, time, 0);
    }
    CHECK(account.lost().empty());
    CHECK(account.others() == 0);
}

TEST_CASE("what the upstream has beside the calls from here is work for others")
{
    UpstreamAccount account = accountOf(2);
    account.asked(at(100));
    account.begun(CallId(3));
    account.reported(6, at(102));
    // The third may have been counted.
    CHECK(account.others() == 3);
    account.givenUp(CallId(1));
    ask(account, 300, 3);
    CHECK(account.others() == 1);
    ask(account, 500, 2);
    CHECK(account.others() == 0);
}
