#include "node/vmlistreader.h"

#include <catch2/catch.hpp>

#include <map>

#include "eventloop.h"
#include "http/httpserver.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const std::string FirstRow = "ledger-1,ledger,mazowsze,a,10.0.0.1:7000,live\n";
const std::string SecondRow = "ledger-2,ledger,mazowsze,b,10.0.0.2:7000,leaving\n";

/// A platform that holds a few keys, and a reader of its list.
struct Fixture
{
    Fixture()
        : server(loop.executor(), HttpLimits(),
                 [this](HttpExchange &exchange) -> asio::awaitable<void> { return serve(exchange); })
        , platform(loop.executor(), server.listen(Endpoint("127.0.0.1:0")).value())
        , board(settings(), Incarnation(1), 1)
        , reader(board, platform, store)
    {
    }

    static NodeSettings settings()
    {
        NodeSettings settings;
        settings.platform.vmsKey = "vms";
        return settings;
    }

    asio::awaitable<void> serve(HttpExchange &exchange)
    {
        ++reads;
        const auto found = values.find(exchange.head().target);
        HttpResponseHead head(found == values.end() ? std::uint16_t{404} : std::uint16_t{200});
        head.headers.add("X-Consul-Index", "1");
        std::string body = found == values.end() ? std::string() : found->second;
        (void)co_await exchange.respond(std::move(head), std::move(body));
    }

    SourceReading read(const std::string &value)
    {
        SourceReading reading;
        loop.run([&]() -> asio::awaitable<void> {
            std::string copy = value;
            reading = co_await reader.read(std::move(copy));
        });
        return reading;
    }

    EventLoop loop;
    std::map<std::string, std::string> values;
    int reads = 0;
    HttpServer server;
    PlatformClient platform;
    Blackboard board;
    VmListStore store;
    VmListReader reader;
};

}

TEST_CASE("a list in one value is loaded once")
{
    Fixture f;
    CHECK(f.read("7\n" + FirstRow).loaded);
    const SourceReading again = f.read("7\n" + FirstRow);
    CHECK_FALSE(again.loaded);
    CHECK(again.version == f.store.currentVersion());
    CHECK(f.reads == 0);
}

TEST_CASE("a list in parts is joined, and read only if its number is new")
{
    Fixture f;
    f.values["/v1/kv/vms/part/0/7?raw"] = "7\n" + FirstRow;
    f.values["/v1/kv/vms/part/1/7?raw"] = SecondRow;
    CHECK(f.read("parts 2\n7\n").loaded);
    CHECK(f.store.list().records.size() == 2);
    CHECK(f.reads == 2);
    CHECK(f.read("parts 2\n7\n").version == f.store.currentVersion());
    const SourceReading older = f.read("parts 2\n6\n");
    CHECK_FALSE(older.loaded);
    CHECK(older.version < f.store.currentVersion());
    CHECK(f.reads == 2);
}

// Story: a list of two parts is published while its reader has read one of them; the other is gone by then, or of the
// next list. A list made of both would lack VMs, and their callers would find nobody.
TEST_CASE("a list with a missing or foreign part is not taken")
{
    Fixture f;
    f.values["/v1/kv/vms/part/0/7?raw"] = "7\n" + FirstRow;
    const SourceReading missing = f.read("parts 2\n7\n");
    CHECK(missing.failure);
    CHECK_FALSE(missing.version);
    f.values["/v1/kv/vms/part/0/8?raw"] = "9\n" + FirstRow;
    CHECK_FALSE(f.read("parts 1\n8\n").version);
    CHECK_FALSE(f.read("parts 0\n8\n").version);
    CHECK_FALSE(f.store.currentVersion());
}
