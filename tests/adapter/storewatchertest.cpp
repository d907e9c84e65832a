#include "platform/storewatcher.h"

#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "http/httpserver.h"
#include "http/tcpendpoint.h"
#include "standins/standinrelay.h"
#include "standins/standinstore.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

std::string routesText(const std::string &version)
{
    return R"({"version":")" + version + R"(","listeners":[],"clusters":[]})";
}

/// As many bytes as some 1,400 routes take.
std::string largeRoutesText(int version)
{
    constexpr std::size_t Size = 246'000;
    std::ostringstream text;
    text << R"({"version":")" << std::hex << version << R"(","unused":")" << std::string(Size, 'x')
         << R"(","listeners":[],"clusters":[]})";
    return text.str();
}

std::string entryText(const std::string &state)
{
    return R"({"service":"statements","address":"10.0.0.1:8301","zone":"north-a","slots":6,"state":")" + state
        + R"("})";
}

constexpr Milliseconds LongestPause{700};

/// Remembers what a watcher told.
class RecordingSink final : public CatalogSink
{
public:
    void onRoutesRead(PublishedRoutes routes) override { version = routes.table->version(); }
    void onListRead(const InstanceSnapshot &snapshot) override
    {
        ++lists;
        listed = snapshot.records.size();
    }
    void onChangesRead(const std::vector<InstanceChange> &changes, StoreRevision /*reached*/) override
    {
        for (const InstanceChange &change : changes) {
            changed.push_back(change.id.value());
        }
    }
    void onSourceLost(std::string_view /*why*/) override { lost = true; }
    void onSourceRestored() override { lost = false; }
    void onEntryRefused(std::string_view key, std::string_view /*why*/) override { refused.emplace_back(key); }
    void onStoreCalled(std::string_view /*call*/, std::string_view outcome) override { ++calls[std::string(outcome)]; }

    RouteVersion version;
    std::size_t listed = 0;
    int lists = 0;
    std::vector<std::string> changed;
    std::vector<std::string> refused;
    /// By outcome.
    std::map<std::string, int> calls;
    bool lost = false;
};

/// A store, the way to it, and a watcher.
class Fixture
{
public:
    Fixture()
        : store(context.get_executor())
        , server(context.get_executor(), HttpLimits(),
                 [this](HttpExchange &exchange) { return store.handle(exchange); })
        , way(context.get_executor(), *toTcpEndpoint(server.listen(Endpoint("127.0.0.1:0")).value()))
        , watcher(context.get_executor(), way.listen(*toTcpEndpoint(Endpoint("127.0.0.1:0"))),
                  Platform::InstancePlaces{{}, 7620}, Random(1))
    {
        watcher.attach(sink);
    }

    /// Runs until @p condition holds; false if that takes longer than any of it should.
    bool until(const std::function<bool()> &condition, Milliseconds limit = Milliseconds(5000))
    {
        const TimePoint end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(Milliseconds(5));
        }
        return condition();
    }

    asio::io_context context;
    RecordingSink sink;
    StandinStore store;
    HttpServer server;
    StandinRelay way;
    Platform::StoreWatcher watcher;
};

}

TEST_CASE("a watcher reads everything in pages, and then what changes")
{
    Fixture fixture;
    fixture.store.put("op/config", routesText("05"));
    for (int number = 0; number < 12; ++number) {
        fixture.store.put("servers/i-" + std::to_string(number), entryText("ready"));
    }
    fixture.store.put("servers/i-bad", "{");
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    CHECK(fixture.until([&] { return fixture.sink.listed == 12 && fixture.sink.version == RouteVersion(5); }));
    CHECK(fixture.sink.refused == std::vector<std::string>{"servers/i-bad"});
    fixture.store.put("op/config", routesText("0a"));
    fixture.store.remove("servers/i-3");
    CHECK(fixture.until([&] { return fixture.sink.version == RouteVersion(10) && !fixture.sink.changed.empty(); }));
    CHECK(fixture.sink.changed == std::vector<std::string>{"i-3"});
    CHECK_FALSE(fixture.sink.lost);
}

TEST_CASE("a watcher whose history is gone reads everything anew")
{
    Fixture fixture;
    fixture.store.put("servers/i-1", entryText("ready"));
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    CHECK(fixture.until([&] { return fixture.sink.lists == 1; }));
    fixture.store.put("servers/i-2", entryText("ready"));
    fixture.store.compact();
    CHECK(fixture.until([&] { return fixture.sink.lists == 2; }));
    CHECK(fixture.sink.listed == 2);
}

// The store turns all nodes away for eight seconds. Each asked it again and again for routes and for the list, and on a
// small fleet these calls cost more than all others of the day.
TEST_CASE("while the store is lost, a watcher asks for one thing only, and for all when it is back")
{
    Fixture fixture;
    fixture.store.put("op/config", routesText("05"));
    fixture.store.put("servers/i-1", entryText("ready"));
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    CHECK(fixture.until([&] { return fixture.sink.lists == 1 && fixture.sink.version == RouteVersion(5); }));
    fixture.store.setMode(StoreMode::Busy);
    fixture.store.put("op/config", routesText("06"));
    fixture.store.put("servers/i-2", entryText("ready"));
    CHECK(fixture.until([&] { return fixture.sink.lost; }));
    const std::uint64_t calls = fixture.store.calls();
    fixture.context.run_for(Milliseconds(3000));
    // Pauses of 60 ms, doubled up to 700, of which at least half is waited.
    CHECK(fixture.store.calls() - calls <= 13);
    CHECK(fixture.sink.calls["turned-away"] > 0);
    fixture.store.setMode(StoreMode::Up);
    CHECK(fixture.until([&] { return !fixture.sink.lost && fixture.sink.version == RouteVersion(6); }));
    CHECK(fixture.until([&] { return fixture.sink.changed == std::vector<std::string>{"i-2"}; }));
}

// Routes change while one node's way to the store is cut. It reads for a region, both its watches wait, and nothing
// tells it that they wait in vain: it goes on to say that there is no news, and its followers serve by the old routes.
TEST_CASE("a watcher notices within a second or so that its way to the store is cut")
{
    Fixture fixture;
    fixture.store.put("op/config", routesText("05"));
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    CHECK(fixture.until([&] { return fixture.sink.version == RouteVersion(5); }));
    RelayConditions cut;
    cut.partitioned = true;
    fixture.way.setConditions(cut);
    CHECK(fixture.until([&] { return fixture.sink.lost; }));
    fixture.way.setConditions(RelayConditions());
    fixture.store.put("op/config", routesText("06"));
    CHECK(fixture.until([&] { return !fixture.sink.lost && fixture.sink.version == RouteVersion(6); }));
}

TEST_CASE("a watcher that is suspended makes no calls, and goes on where others have come to")
{
    Fixture fixture;
    fixture.store.put("servers/i-1", entryText("ready"));
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    CHECK(fixture.until([&] { return fixture.sink.lists == 1; }));
    fixture.watcher.suspend();
    const std::uint64_t calls = fixture.store.calls();
    fixture.store.put("servers/i-2", entryText("ready"));
    fixture.store.put("servers/i-3", entryText("ready"));
    fixture.context.run_for(Milliseconds(700));
    CHECK(fixture.store.calls() == calls);
    CHECK(fixture.sink.changed.empty());
    // Another node told of the change with revision 3; the one with 4 is still to be read.
    fixture.watcher.resume(StoreRevision(3), false, LongestPause);
    CHECK(fixture.until([&] { return !fixture.sink.changed.empty(); }));
    CHECK(fixture.sink.changed == std::vector<std::string>{"i-3"});
}

// The store is away, silently, and while it is, a follower begins to read for itself. The opening packet of its
// connection is lost and sent again after many seconds only, so that the node is on old routes long after the store is
// back. The first watches have to give up soon; the long ones come when the store has answered.
TEST_CASE("a watcher that begins to read waits only a moment at first")
{
    Fixture fixture;
    fixture.store.put("op/config", routesText("05"));
    fixture.store.put("servers/i-1", entryText("ready"));
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    CHECK(fixture.until([&] { return fixture.sink.lists == 1 && fixture.sink.version == RouteVersion(5); }));
    CHECK(fixture.until([&] { return fixture.store.waits().size() == 2; }));
    fixture.watcher.resume(StoreRevision(3), false, LongestPause);
    CHECK(fixture.until([&] { return fixture.store.waits().size() == 6; }));
    const std::vector<std::uint64_t> &waits = fixture.store.waits();
    CHECK(waits[2] < 1000);
    CHECK(waits[3] < 1000);
    CHECK(waits[4] > 10'000);
    CHECK(waits[5] > 10'000);
}

// Guards against a reader on a link of little bandwidth that falls behind further with each version of a large table.
TEST_CASE("versions of many routes in quick succession do not hold up the newest one")
{
    constexpr std::uint64_t TenMegabits = 1'250'000;
    constexpr Milliseconds BetweenVersions{50};
    constexpr Milliseconds InForceWithin{2000};
    constexpr int FirstVersion = 0x10;
    constexpr int LastVersion = FirstVersion + 40;
    Fixture fixture;
    RelayConditions conditions;
    conditions.bytesPerSecond = TenMegabits;
    fixture.way.setConditions(conditions);
    fixture.store.put("op/config", largeRoutesText(FirstVersion));
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    REQUIRE(fixture.until([&] { return fixture.sink.version == RouteVersion(FirstVersion); }));
    for (int version = FirstVersion + 1; version <= LastVersion; ++version) {
        fixture.store.put("op/config", largeRoutesText(version));
        fixture.context.run_for(BetweenVersions);
    }
    CHECK(fixture.until([&] { return fixture.sink.version == RouteVersion(LastVersion); }, InForceWithin));
    CHECK_FALSE(fixture.sink.lost);
}

// Guards against a reader that is on old routes for seconds after the store's return, since its call hangs on a
// connection that was begun while the store was silent.
TEST_CASE("a watcher finds soon that a silent store is back")
{
    constexpr int Times = 3;
    constexpr Milliseconds SilentFor{2400};
    constexpr Milliseconds FoundWithin{1600};
    Fixture fixture;
    fixture.store.put("op/config", routesText("05"));
    fixture.watcher.resume(StoreRevision(), false, LongestPause);
    REQUIRE(fixture.until([&] { return fixture.sink.version == RouteVersion(5); }));
    for (int time = 0; time < Times; ++time) {
        RelayConditions cut;
        cut.partitioned = true;
        fixture.way.setConditions(cut);
        REQUIRE(fixture.until([&] { return fixture.sink.lost; }));
        fixture.context.run_for(SilentFor);
        fixture.way.silenceOpen();
        fixture.way.setConditions(RelayConditions());
        const RouteVersion next(6 + static_cast<std::uint64_t>(time));
        fixture.store.put("op/config", routesText("0" + std::to_string(next.value())));
        CHECK(fixture.until([&] { return !fixture.sink.lost && fixture.sink.version == next; }, FoundWithin));
    }
}
