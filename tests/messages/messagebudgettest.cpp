#include "messages/messagebudget.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

constexpr std::uint64_t KiB = 1024;
constexpr std::uint64_t MiB = 1024 * KiB;
constexpr Bytes Limit{80 * MiB};
constexpr Bytes Piece{64 * KiB};
const TimePoint Start{std::chrono::seconds(100)};

/// Lets a body of @p size come at once. Returns whether it found room.
bool receive(MessageBudget &budget, MessageId body, std::uint64_t size, TimePoint now)
{
    for (std::uint64_t come = 0; come < size; come += Piece.value()) {
        if (!budget.grow(body, Bytes(std::min(Piece.value(), size - come)), now).isGranted) {
            return false;
        }
    }
    return true;
}

}

TEST_CASE("a crowd of large bodies stays within the limit")
{
    MessageBudget budget(Limit);
    for (int body = 0; body < 40; ++body) {
        (void)receive(budget, budget.begin(Start), 60 * MiB, Start);
        CHECK(budget.held() <= Limit);
    }
}

TEST_CASE("bodies that only announce shut nobody out")
{
    MessageBudget budget(Limit);
    for (int body = 0; body < 1000; ++body) {
        (void)budget.begin(Start);
    }
    CHECK(receive(budget, budget.begin(Start), 64 * MiB, Start));
}

TEST_CASE("a large body that began earlier is completed before the later ones of a crowd")
{
    MessageBudget budget(Limit);
    const MessageId first = budget.begin(Start);
    REQUIRE(receive(budget, first, 20 * MiB, Start));
    for (int later = 1; later <= 40; ++later) {
        const TimePoint now = Start + Milliseconds(later);
        (void)receive(budget, budget.begin(now), 60 * MiB, now);
        REQUIRE(receive(budget, first, MiB, now));
    }
}

TEST_CASE("bodies that stall are given up for one that comes, although they began earlier")
{
    MessageBudget budget(Limit);
    (void)receive(budget, budget.begin(Start), 30 * MiB, Start);
    (void)receive(budget, budget.begin(Start), 30 * MiB, Start);
    const TimePoint later = Start + MessageBudget::StallTime;
    CHECK(receive(budget, budget.begin(later), 64 * MiB, later));
}

TEST_CASE("a byte now and then is no progress")
{
    MessageBudget budget(Limit);
    const MessageId slow = budget.begin(Start);
    REQUIRE(receive(budget, slow, 60 * MiB, Start));
    TimePoint now = Start;
    for (int byte = 0; byte < 10; ++byte) {
        now += MessageBudget::StallTime / 5;
        REQUIRE(budget.grow(slow, Bytes(1), now).isGranted);
    }
    const MessageBudget::Room room = budget.grow(budget.begin(now), Bytes(30 * MiB), now);
    CHECK(room.isGranted);
    CHECK(room.givenUp == std::vector<MessageId>{slow});
}

TEST_CASE("complete bodies are never given up, and short ones find their own share beside them")
{
    MessageBudget budget(Limit);
    const MessageId whole = budget.begin(Start);
    REQUIRE(receive(budget, whole, 64 * MiB, Start));
    budget.stopYielding(whole);
    const TimePoint later = Start + std::chrono::minutes(1);
    CHECK_FALSE(receive(budget, budget.begin(later), 64 * MiB, later));
    CHECK_FALSE(budget.canMakeRoom(Bytes(64 * MiB)));
    for (int order = 0; order < 100; ++order) {
        const MessageId body = budget.begin(later);
        CHECK(receive(budget, body, 2 * KiB, later));
        budget.stopYielding(body);
    }
}

TEST_CASE("an order is served in a crowd of short bodies that stop just short of their end")
{
    MessageBudget budget(Limit);
    for (int body = 0; body < 5000; ++body) {
        (void)receive(budget, budget.begin(Start), 64 * KiB - 3, Start);
    }
    CHECK(receive(budget, budget.begin(Start), 2 * KiB, Start));
    CHECK(budget.held() <= Limit);
}

TEST_CASE("what ends or is given up counts no more")
{
    MessageBudget budget(Limit);
    const MessageId body = budget.begin(Start);
    REQUIRE(receive(budget, body, 60 * MiB, Start));
    budget.end(body, Start);
    budget.end(body, Start);
    CHECK(budget.held() == Bytes(0));
    CHECK(budget.yieldingCount() == 0);
}

TEST_CASE("who found no room comes back after the stalled may be given up, or sooner if bytes are released")
{
    MessageBudget budget(Limit);
    CHECK(budget.returnDelay(Start) == MessageBudget::StallTime);
    const MessageId body = budget.begin(Start);
    REQUIRE(receive(budget, body, 60 * MiB, Start));
    budget.end(body, Start);
    CHECK(budget.returnDelay(Start) < MessageBudget::StallTime);
}

TEST_CASE("connections together leave a bounded number of bytes unread")
{
    MessageBudget budget(Limit);
    std::uint64_t unread = 0;
    for (int body = 0; body < 1500; ++body) {
        (void)budget.begin(Start);
        unread += budget.unreadShare().value();
    }
    CHECK(unread < Limit.value() / 2);
}

TEST_CASE("a message that waits for its client counts with its connection, a complete one alone")
{
    MessageBudget budget(Limit);
    const MessageId body = budget.begin(Start);
    CHECK(budget.held() == MessageBudget::Overhead);
    REQUIRE(receive(budget, body, MiB, Start));
    CHECK(budget.held() == Bytes(MiB + MessageBudget::Overhead.value()));
    budget.stopYielding(body);
    CHECK(budget.held() == Bytes(MiB));
    budget.end(body, Start);
    CHECK(budget.held() == Bytes(0));
}
