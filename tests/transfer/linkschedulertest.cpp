#include "transfer/linkscheduler.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include "core/durations.h"

using namespace Egretpath;

namespace
{

constexpr double LinkMbps = 13.0;
constexpr double LinkBytesPerSecond = LinkMbps * 1e6 / 8.0;
constexpr Bytes ChunkSize{16384};
const TimePoint Start{std::chrono::seconds(1000)};

LinkSchedulerSettings linkSettings()
{
    LinkSchedulerSettings settings;
    settings.megabitsPerSecond = LinkMbps;
    return settings;
}

/// A link in virtual time that sends first in, first out, with answers whose sender offers the next chunk when the one
/// before it was started.
class SimulatedLink
{
public:
    TransferId openAnswer(std::uint8_t priority)
    {
        const TransferId answer = scheduler.open(priority);
        scheduler.offer(answer, ChunkSize, now);
        return answer;
    }

    /// Lets the chunks of all answers go until @p end.
    void runUntil(TimePoint end)
    {
        while (scheduler.waitingChunks() > 0 && scheduler.nextDue() <= end) {
            now = std::max(now, scheduler.nextDue());
            const auto started = scheduler.start(now);
            REQUIRE(started);
            send(ChunkSize);
            bulkBytes += ChunkSize.value();
            chunks[*started]++;
            scheduler.onAccepted(*started);
            scheduler.offer(*started, ChunkSize, now);
        }
        now = end;
    }

    /// Sends a short message and returns its delay on the link.
    Duration sendShort(Bytes size)
    {
        scheduler.onShortMessage(size, now);
        send(size);
        return idleAt_ - now;
    }

    [[nodiscard]] double share(TransferId answer) const
    {
        return static_cast<double>(chunks.at(answer) * ChunkSize.value()) / static_cast<double>(bulkBytes);
    }

    LinkScheduler scheduler{linkSettings()};
    TimePoint now = Start;
    std::map<TransferId, std::uint64_t> chunks;
    std::uint64_t bulkBytes = 0;

private:
    void send(Bytes size)
    {
        idleAt_ = std::max(idleAt_, now) + fromSeconds(static_cast<double>(size.value()) / LinkBytesPerSecond);
    }

    TimePoint idleAt_ = Start;
};

}

// Guards against urgent answers that wait in the kernel's queue behind all bytes of large answers, and against a link
// that stands idle because of it.
TEST_CASE("an urgent message beside four bulk answers waits for at most one chunk")
{
    SimulatedLink link;
    for (int count = 0; count < 4; ++count) {
        (void)link.openAnswer(2);
    }
    Duration longest{0};
    for (int message = 1; message <= 300; ++message) {
        link.runUntil(Start + Milliseconds(7) * message);
        longest = std::max(longest, link.sendShort(Bytes(700)));
    }
    // One chunk takes 10.1 ms.
    CHECK(longest < Milliseconds(20));
    CHECK(static_cast<double>(link.bulkBytes) > 0.75 * LinkBytesPerSecond * 2.1);
}

TEST_CASE("short messages that ask for the whole link leave a quarter of it to bulk answers")
{
    SimulatedLink link;
    (void)link.openAnswer(2);
    for (int message = 1; message <= 2000; ++message) {
        link.runUntil(Start + Milliseconds(1) * message);
        (void)link.sendShort(Bytes(3250));
    }
    const double share = static_cast<double>(link.bulkBytes) / (LinkBytesPerSecond * 2.0);
    CHECK(share > 0.22);
    CHECK(share < 0.3);
}

// Guards against a priority that is starved, also one between others.
TEST_CASE("the more urgent answers go first, and each lower priority keeps its share")
{
    SimulatedLink link;
    const TransferId urgent = link.openAnswer(0);
    const TransferId middle = link.openAnswer(1);
    const TransferId low = link.openAnswer(2);
    const TransferId alsoLow = link.openAnswer(2);
    link.runUntil(Start + std::chrono::seconds(20));
    CHECK(link.share(urgent) == Approx(0.5625).margin(0.01));
    CHECK(link.share(middle) == Approx(0.1875).margin(0.01));
    CHECK(link.share(low) == Approx(0.125).margin(0.01));
    CHECK(link.share(alsoLow) == Approx(0.125).margin(0.01));
}

TEST_CASE("a sender that disappears, or a receiver that takes nothing, does not block the others")
{
    LinkScheduler scheduler(linkSettings());
    const TransferId gone = scheduler.open(0);
    const TransferId stuck = scheduler.open(0);
    const TransferId live = scheduler.open(2);
    for (const TransferId transfer : {gone, stuck, live}) {
        scheduler.offer(transfer, ChunkSize, Start);
    }
    CHECK(scheduler.start(Start) == gone);
    scheduler.offer(gone, ChunkSize, Start);
    scheduler.close(gone);
    scheduler.close(gone);
    CHECK(scheduler.waitingChunks() == 2);
    CHECK(scheduler.start(Start + Milliseconds(12)) == stuck);
    CHECK(scheduler.start(Start + Milliseconds(24)) == live);
    scheduler.onAccepted(live);
    scheduler.close(live);
    // The chunk that no socket accepted still counts.
    CHECK(scheduler.backlog(Start + std::chrono::seconds(1)) > Milliseconds(10));
    scheduler.close(stuck);
    CHECK(scheduler.backlog(Start + std::chrono::seconds(1)) == Duration{0});
    CHECK_FALSE(scheduler.start(Start + std::chrono::seconds(1)));
}

TEST_CASE("the backlog is the time that waiting chunks need")
{
    LinkScheduler scheduler(linkSettings());
    const TransferId answer = scheduler.open(2);
    for (int count = 0; count < 9; ++count) {
        scheduler.offer(answer, Bytes(16250), Start);
    }
    // Each chunk takes 10 ms at the full rate.
    CHECK(scheduler.backlog(Start) == Milliseconds(100));
    CHECK(scheduler.start(Start) == answer);
    CHECK(scheduler.backlog(Start + Milliseconds(5)) > Milliseconds(94));
    CHECK(scheduler.backlog(Start + Milliseconds(5)) < Milliseconds(101));
}
