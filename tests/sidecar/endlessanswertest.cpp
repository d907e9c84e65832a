#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "core/currenttime.h"
#include "deployment.h"
#include "endlessupstream.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// The timeout of the routes in these tests.
constexpr Milliseconds RouteTimeout{400};
/// How long the reading of an answer may pause for readers, in these tests.
constexpr Milliseconds MaxAnswerPause{200};
/// The time after which a node gives a health check up.
constexpr Milliseconds HealthTimeout{500};
/// What the machine of the tests may take in addition.
constexpr Milliseconds Slack{250};
/// The memory that the settings tell to a node. Its upstreams, its callers and other nodes share the process.
constexpr std::uint32_t MemoryMb = 160;

const std::string OwnHead = "HTTP/1.1 200 OK\r\nX-Egretpath-Attempt-Id: {id}\r\n";
const std::string StrayHead = "HTTP/1.1 200 OK\r\nX-Egretpath-Attempt-Id: other\r\n";
const std::string FailedHead = "HTTP/1.1 500 Error\r\nX-Egretpath-Attempt-Id: {id}\r\n";
const std::string RefusalHead = "HTTP/1.1 503 Busy\r\nX-Egretpath-Attempt-Id: {id}\r\nX-Egretpath-Not-Executed: 1\r\n";
const std::string Signed = "X-Egretpath-Server-Signature: 3e1b.{id}\r\n";
const std::string Length = "Content-Length: 999999999999\r\n\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string Chunk = "10\r\n0123456789abcdef\r\n";
const std::string Digits = "0123456789";
const std::string Field = "X-More: 1\r\n";

/// When it shows that such bytes are no answer to the request.
enum class Shows : std::uint8_t {
    /// Not before the deadline: until then, they may be a slow answer.
    AtDeadline,
    /// Once so many bytes have come that no answer has them.
    WhenFast,
    /// Soon, however slowly they come.
    Soon,
};

struct Kind
{
    EndlessAnswer answer;
    Shows shows;
};

/// All kinds of bytes without end that an upstream may send in place of an answer.
std::vector<Kind> kinds()
{
    return {
        {{"a line that is no HTTP", "", "x"}, Shows::WhenFast},
        {{"a status line", "HTTP/1.1 200 ", "x"}, Shows::WhenFast},
        {{"header fields", "HTTP/1.1 200 OK\r\n", Field}, Shows::WhenFast},
        {{"one header field", "HTTP/1.1 200 OK\r\nX-More: ", "x"}, Shows::WhenFast},
        {{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"}, Shows::Soon},
        {{"a body with a length", OwnHead + Length, Digits}, Shows::Soon},
        {{"a body in chunks", OwnHead + Chunked, Chunk}, Shows::Soon},
        {{"a body without a length", OwnHead + "\r\n", Digits}, Shows::Soon},
        {{"a signed body with a length", OwnHead + Signed + Length, Digits}, Shows::AtDeadline},
        {{"a signed body in chunks", OwnHead + Signed + Chunked, Chunk}, Shows::AtDeadline},
        {{"a signed body without a length", OwnHead + Signed + "\r\n", Digits}, Shows::AtDeadline},
        {{"the line of a chunk", OwnHead + Signed + Chunked + "10;", "x"}, Shows::WhenFast},
        {{"trailer fields", OwnHead + Signed + Chunked + "0\r\n", Field}, Shows::WhenFast},
        {{"an error with a body", FailedHead + Signed + "\r\n", Digits}, Shows::AtDeadline},
        {{"a refusal with a body", RefusalHead + "\r\n", Digits}, Shows::Soon},
        {{"a stray answer with a length", StrayHead + Signed + Length, Digits}, Shows::Soon},
        {{"a stray answer in chunks", StrayHead + Signed + Chunked, Chunk}, Shows::Soon},
        {{"a stray answer without a length", StrayHead + Signed + "\r\n", Digits}, Shows::Soon},
        {{"stray answers", "", StrayHead + Signed + "Content-Length: 4\r\n\r\nabcd"}, Shows::Soon},
    };
}

/// The present memory of the process.
std::uint64_t memoryMb()
{
    constexpr std::uint64_t BytesPerMb = 1'000'000;
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / BytesPerMb;
}

/// An upstream whose answers don't end and a sound one, or two of the former, beside a service that is sound.
struct EndlessDeployment : SidecarFixture
{
    EndlessDeployment(const EndlessAnswer &answer, bool isAllOfService)
        : SidecarFixture(MemoryMb, pausingFor(MaxAnswerPause))
        , ill(addEndlessUpstream("i-ill", answer))
        , second(addEndlessUpstream("i-second", answer))
        , sound(addUpstream("i-sound"))
        , first(addNode(ill, "statements"))
    {
        addNode(isAllOfService ? static_cast<const ListedUpstream &>(second) : sound, "statements");
        addNode(addUpstream("i-other"), "other");
        catalog.moreRoutes = route("get", "safe", "statements") + route("order", "unsafe", "statements")
            + route("other", "safe", "other");
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    static DecisionSettings pausingFor(Milliseconds maxAnswerPause)
    {
        DecisionSettings settings;
        settings.maxAnswerPause = maxAnswerPause;
        return settings;
    }

    static std::string route(const std::string &name, const std::string &kind, const std::string &service)
    {
        return R"({"name":")" + name + R"(","kind":")" + kind + R"(","target_latency":"100ms","priority":2,)"
            + R"("match":{"prefix":"/)" + name + R"(/"},"action":{"service":")" + service + R"(","timeout":")"
            + std::to_string(RouteTimeout.count()) + R"(ms","max_attempts":3}},)";
    }

    [[nodiscard]] int runs(const std::string &request) const
    {
        return ill.runs(request) + second.runs(request) + sound.runs(request);
    }

    /// Sends a request and drops its answer. Returns the status, or 0 if the answer was not complete.
    asio::awaitable<std::uint16_t> ask(std::string method, std::string path, std::string id)
    {
        const auto call = co_await open(first.callers, std::move(method), std::move(path), std::move(id));
        const auto head = co_await call->readHead();
        if (!head) {
            co_return 0;
        }
        while (true) {
            const auto piece = co_await call->readBody();
            maxMemoryMb = std::max(maxMemoryMb, memoryMb());
            if (!piece) {
                co_return 0;
            }
            if (piece.value().empty()) {
                co_return head.value().status;
            }
        }
    }

    /// Checks when a request is answered, and that the answer is true.
    asio::awaitable<void> check(std::string method, std::string path, std::string id, bool showsSoon)
    {
        const TimePoint sentAt = currentTime();
        const std::uint16_t status = co_await ask(method, path, id);
        const Milliseconds took = timeSince(sentAt);
        INFO(method << " got " << status << " after " << took.count() << " ms");
        CHECK(took < RouteTimeout + MaxAnswerPause + Slack);
        CHECK((status != 200 || sound.runs(id) == 1));
        CHECK((status != 503 || runs(id) == 0));
        CHECK((method == "GET" || runs(id) <= 1));
        CHECK((!showsSoon || (status != 504 && status != 0)));
        servedReads += method == "GET" && status == 200 ? 1 : 0;
    }

    /// Sends requests to the sound service until @p isOver.
    asio::awaitable<void> checkOthers(const bool &isOver)
    {
        for (int number = 0; !isOver; ++number) {
            const TimePoint sentAt = currentTime();
            const std::uint16_t status = co_await ask("GET", "/other/1", "o" + std::to_string(number));
            INFO("another request took " << timeSince(sentAt).count() << " ms");
            CHECK(status == 200);
            co_await sleep(Milliseconds(10));
        }
    }

    EndlessUpstream &ill;
    EndlessUpstream &second;
    FakeUpstream &sound;
    TestNode &first;
    std::uint64_t maxMemoryMb = 0;
    int servedReads = 0;
};

/// Sends reads and orders at the same time and checks all of them, and what the upstreams see.
asio::awaitable<void> checkRequests(EndlessDeployment &deployment, bool showsSoon, int requests)
{
    bool isOver = false;
    int open = 0;
    deployment.start([&] { return deployment.checkOthers(isOver); });
    for (int number = 0; number < requests; ++number) {
        for (const std::string method : {"GET", "POST"}) {
            ++open;
            deployment.start([&, number, method]() -> asio::awaitable<void> {
                const std::string path = method == "GET" ? "/get/1" : "/order/1";
                co_await deployment.check(method, path, method + std::to_string(number), showsSoon);
                --open;
            });
        }
    }
    checkHappened(co_await deployment.waitUntil([&] { return open == 0; }));
    checkHappened(
        co_await deployment.waitUntil([&] { return !deployment.ill.isSending() && !deployment.second.isSending(); }));
    isOver = true;
    co_await deployment.sleep(Milliseconds(20));
}

void checkSendTimes(const EndlessUpstream &upstream, Milliseconds limit)
{
    for (const Milliseconds time : upstream.sendTimes()) {
        CHECK(time < limit + Slack);
    }
}

}

// Guards against an upstream whose bytes never end: they fill the node's memory, or hold its connections and callers.
TEST_CASE("bytes without end in place of an answer hold neither the caller, the connection nor the node's memory",
          "[.endless]")
{
    constexpr int Requests = 4;
    const std::size_t number = GENERATE(range(std::size_t{0}, kinds().size()));
    const Milliseconds pause = GENERATE(Milliseconds(0), Milliseconds(4));
    const bool isAllOfService = GENERATE(false, true);
    const Kind kind = kinds().at(number);
    EndlessAnswer answer = kind.answer;
    const bool isFast = pause == Milliseconds{0};
    answer.pause = pause;
    answer.isRefusal = answer.begin.starts_with(RefusalHead);
    INFO(answer.name << " without end, " << (isFast ? "fast" : "slow") << ", sent by "
                     << (isAllOfService ? "all upstreams of the service" : "one of two upstreams"));
    const bool showsSoon = kind.shows == Shows::Soon || (kind.shows == Shows::WhenFast && isFast);
    const std::uint64_t memoryBefore = memoryMb();
    EndlessDeployment deployment(answer, isAllOfService);
    deployment.run([&] { return checkRequests(deployment, showsSoon, Requests); });
    checkSendTimes(deployment.ill, RouteTimeout + MaxAnswerPause);
    checkSendTimes(deployment.second, RouteTimeout + MaxAnswerPause);
    CHECK(deployment.maxMemoryMb < memoryBefore + MemoryMb);
    // A read that an upstream has failed in time is tried at the other one.
    const int expectedReads = isAllOfService ? 0 : showsSoon ? Requests : 1;
    CHECK(deployment.servedReads >= expectedReads);
}

// Guards against an upstream that goes on to get requests while its answers don't end.
TEST_CASE("an upstream whose answers don't end gets few requests while another one is sound", "[.endless]")
{
    constexpr int Reads = 20;
    const std::size_t number = GENERATE(range(std::size_t{0}, kinds().size()));
    Kind kind = kinds().at(number);
    INFO(kind.answer.name << " without end");
    EndlessDeployment deployment(kind.answer, false);
    deployment.run([&]() -> asio::awaitable<void> {
        for (int read = 0; read < Reads; ++read) {
            (void)co_await deployment.ask("GET", "/get/1", "r" + std::to_string(read));
        }
    });
    CHECK(deployment.ill.totalRuns() <= Reads / 4);
}

// Guards against health checks that hold a node's memory and connections, or the requests that wait for them.
TEST_CASE("bytes without end in place of health answers hold neither requests, connections nor memory", "[.endless]")
{
    const Milliseconds pause = GENERATE(Milliseconds(0), Milliseconds(4));
    const std::uint64_t memoryBefore = memoryMb();
    SidecarFixture fixture(MemoryMb);
    std::vector<EndlessUpstream *> upstreams;
    std::vector<Endpoint> callers;
    for (const Kind &kind : kinds()) {
        EndlessAnswer answer = kind.answer;
        answer.pause = pause;
        answer.isForRequests = false;
        answer.isForHealthChecks = true;
        upstreams.push_back(&fixture.addEndlessUpstream("i-" + std::to_string(upstreams.size()), answer));
        callers.push_back(fixture.addNode(*upstreams.back(), "statements").callers);
    }
    fixture.catalog.publishRoutes(10);
    fixture.catalog.publishList();
    std::uint64_t maxMemoryMb = 0;
    fixture.run([&]() -> asio::awaitable<void> {
        const TimePoint end = currentTime() + 2 * HealthTimeout;
        for (int number = 0; currentTime() < end; ++number) {
            for (const Endpoint &node : callers) {
                checkStatus(co_await fixture.send(node, "POST", "/pay/1", "p" + std::to_string(number)), 200);
                maxMemoryMb = std::max(maxMemoryMb, memoryMb());
            }
        }
    });
    int checks = 0;
    for (std::size_t number = 0; number < upstreams.size(); ++number) {
        INFO(kinds().at(number).answer.name << " without end, " << (pause == Milliseconds{0} ? "fast" : "slow"));
        checks += static_cast<int>(upstreams.at(number)->sendTimes().size());
        checkSendTimes(*upstreams.at(number), HealthTimeout);
    }
    CHECK(checks >= static_cast<int>(upstreams.size()));
    CHECK(maxMemoryMb < memoryBefore + MemoryMb);
}
