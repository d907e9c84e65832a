#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "deployment.h"

using namespace Egretpath;

namespace asio = boost::asio;

namespace
{

constexpr std::size_t LargeAnswer = 540'000;
/// More than the sockets between an upstream and a reader that stops hold.
constexpr std::size_t HugeAnswer = 40'000'000;
constexpr std::uint32_t MemoryMb = 32;
constexpr std::uint64_t BudgetBytes = 4'000'000;
constexpr std::uint64_t AnyBandwidth = 100'000'000;

/// What a reader got of a download.
struct Download
{
    std::optional<std::uint64_t> length;
    std::string body;
    bool isComplete = false;
    /// Whether the upstream was still sending when the first bytes arrived.
    bool beganEarly = false;
};

/// Two upstreams with downloads, and a node beside another upstream, from which the callers ask for them.
struct DownloadDeployment : SidecarFixture
{
    explicit DownloadDeployment(std::uint32_t memoryMb = 0)
        : SidecarFixture(memoryMb)
        , one(addUpstream("i-1"))
        , two(addUpstream("i-2"))
        , other(addUpstream("i-3"))
        , first(addNode(one, "archive"))
        , second(addNode(two, "archive"))
        , entry(addNode(other, "other"))
    {
        catalog.moreRoutes = R"({"name":"download","kind":"download","target_latency":"2s","priority":2,)"
                             R"("match":{"prefix":"/download/"},)"
                             R"("action":{"service":"archive","timeout":"10s","max_attempts":3}},)";
        for (FakeUpstream *upstream : {&one, &two}) {
            upstream->answerBytes = LargeAnswer;
        }
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    /// Waits until all nodes have the routes. A node takes no request for a download before.
    asio::awaitable<void> waitUntilReady()
    {
        for (const TestNode *node : {&first, &second, &entry}) {
            for (std::uint16_t status = 0; status != 200;) {
                status = co_await readiness(node->ready);
            }
        }
    }

    asio::awaitable<std::unique_ptr<HttpClientCall>> ask(const TestNode &node, std::string id,
                                                         Milliseconds timeout = Milliseconds(8000))
    {
        return open(node.callers, "GET", "/download/1", std::move(id), timeout);
    }

    /// Reads @p call to its end.
    asio::awaitable<Download> readAll(HttpClientCall &call)
    {
        Download download;
        const auto head = co_await call.readHead();
        if (!head || head.value().status != 200) {
            co_return download;
        }
        download.length = head.value().contentLength;
        while (true) {
            const auto piece = co_await call.readBody();
            if (!piece || piece.value().empty()) {
                download.isComplete = piece.has_value();
                co_return download;
            }
            download.beganEarly = download.beganEarly || one.finishedAnswers + two.finishedAnswers == 0;
            download.body += piece.value();
        }
    }

    asio::awaitable<Download> download(const TestNode &node, std::string id)
    {
        const auto call = co_await ask(node, std::move(id));
        co_return co_await readAll(*call);
    }

    /// The bytes of answers that @p node holds for readers, as its status page tells.
    asio::awaitable<std::uint64_t> heldBytes(const TestNode &node)
    {
        const Reply reply = co_await send(node.metrics, "GET", "/status", "");
        const std::string key = R"("held_answer_bytes":)";
        const std::size_t at = reply.body.find(key);
        co_return at == std::string::npos ? UINT64_MAX : std::stoull(reply.body.substr(at + key.size()));
    }

    FakeUpstream &one;
    FakeUpstream &two;
    FakeUpstream &other;
    TestNode &first;
    TestNode &second;
    TestNode &entry;
};

void checkWhole(const Download &download)
{
    CHECK(download.isComplete);
    CHECK(download.body == FakeUpstream::contentBetween(0, LargeAnswer));
}

}

// Guards against answers that are buffered whole at both nodes before their reader gets the first byte.
TEST_CASE("a large download arrives whole, and its first bytes before the upstream has sent the last")
{
    const bool announcesLength = GENERATE(true, false);
    DownloadDeployment deployment;
    deployment.catalog.remove("i-2");
    deployment.one.announcesLength = announcesLength;
    deployment.one.piecePause = Milliseconds(2);
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        for (const TestNode *node : {&deployment.entry, &deployment.first}) {
            deployment.one.finishedAnswers = 0;
            const Download download = co_await deployment.download(*node, "a");
            checkWhole(download);
            CHECK(download.beganEarly);
            CHECK(download.length == (announcesLength ? std::optional<std::uint64_t>(LargeAnswer) : std::nullopt));
            const bool isSent = co_await deployment.waitUntil([&] { return deployment.one.finishedAnswers == 1; });
            checkHappened(isSent);
        }
    });
}

// Guards against an upstream that keeps its slot and its memory until a slow reader has taken the answer.
TEST_CASE("the upstream gets rid of an answer whose reader takes nothing")
{
    DownloadDeployment deployment;
    deployment.catalog.remove("i-2");
    deployment.one.answerBytes = HugeAnswer;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        const auto stopped = co_await deployment.ask(deployment.entry, "stopped");
        const bool isSent = co_await deployment.waitUntil([&] { return deployment.one.finishedAnswers == 1; });
        checkHappened(isSent);
        const std::uint64_t held = co_await deployment.heldBytes(deployment.first);
        CHECK(held > HugeAnswer / 4);
        stopped->cancel();
        for (std::uint64_t left = held; left > 0;) {
            co_await deployment.sleep(Milliseconds(5));
            left = co_await deployment.heldBytes(deployment.first);
        }
    });
}

// Guards against one reader that stops for good and takes the memory of the node, or of all other downloads.
TEST_CASE("a reader that stops for good holds no more than the budget, and other downloads go on")
{
    DownloadDeployment deployment(MemoryMb);
    deployment.catalog.remove("i-2");
    deployment.one.answerBytes = HugeAnswer;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        const auto stopped = co_await deployment.ask(deployment.first, "stopped");
        std::uint64_t held = 0;
        std::uint64_t heldBefore = 1;
        while (held < BudgetBytes / 4 || held != heldBefore) {
            heldBefore = held;
            co_await deployment.sleep(Milliseconds(100));
            held = co_await deployment.heldBytes(deployment.first);
        }
        CHECK(held <= BudgetBytes);
        CHECK(deployment.one.finishedAnswers == 0);
        deployment.one.answerBytes = LargeAnswer;
        for (const TestNode *node : {&deployment.entry, &deployment.first}) {
            const Download download = co_await deployment.download(*node, "b");
            checkWhole(download);
        }
        stopped->cancel();
    });
}

// Guards against an answer that is cut off at the deadline although it is ready, and the link only needs its time.
TEST_CASE("an answer that is under way is delivered after the deadline")
{
    constexpr std::uint64_t BytesPerSecond = 1'000'000;
    DownloadDeployment deployment;
    deployment.catalog.remove("i-2");
    deployment.putBehindLink(deployment.first, deployment.one, "archive", BytesPerSecond);
    deployment.catalog.publishList();
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        const auto call = co_await deployment.ask(deployment.entry, "a", Milliseconds(250));
        const Download download = co_await deployment.readAll(*call);
        checkWhole(download);
    });
}

// Guards against a truncated answer that looks complete, and against bytes of a second answer behind those of a first.
TEST_CASE("a download whose node disappears midway is aborted and not tried again")
{
    DownloadDeployment deployment;
    deployment.catalog.remove("i-2");
    StandinRelay &link = deployment.putBehindLink(deployment.first, deployment.one, "archive", AnyBandwidth);
    deployment.catalog.publishList();
    deployment.one.announcesLength = false;
    deployment.one.piecePause = Milliseconds(5);
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        const auto call = co_await deployment.ask(deployment.entry, "a");
        const auto head = co_await call->readHead();
        const auto piece = co_await call->readBody();
        CHECK(head.has_value());
        CHECK(piece.has_value());
        link.reset(true);
        bool hasFailed = false;
        for (bool hasEnded = false; !hasEnded;) {
            const auto next = co_await call->readBody();
            hasFailed = !next;
            hasEnded = !next || next.value().empty();
        }
        CHECK(hasFailed);
        CHECK(deployment.one.runs("a") == 1);
        const bool isCancelled = co_await deployment.waitUntil([&] { return deployment.one.cancelledRuns() == 1; });
        checkHappened(isCancelled);
    });
}

// Guards against a try that is given up although its caller has got nothing yet, and against one that is repeated
// although its caller has got a part.
TEST_CASE("an upstream that fails is replaced before the first chunk of its answer, and not after it")
{
    const std::size_t abortsAfter = GENERATE(0, 10'000, 200'000);
    const bool isRetried = abortsAfter < LargeAnswer / 10;
    DownloadDeployment deployment;
    deployment.two.abortsLeft = deployment.one.abortsLeft;
    *deployment.one.abortsLeft = 1;
    for (FakeUpstream *upstream : {&deployment.one, &deployment.two}) {
        upstream->announcesLength = false;
        upstream->abortsAfter = abortsAfter;
    }
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        const Download download = co_await deployment.download(deployment.entry, "a");
        CHECK(download.isComplete == isRetried);
        CHECK((download.body == FakeUpstream::contentBetween(0, LargeAnswer)) == isRetried);
    });
    CHECK(*deployment.one.abortsLeft == 0);
    CHECK(deployment.one.totalRuns() + deployment.two.totalRuns() == (isRetried ? 2 : 1));
}

// Guards against a large answer that is passed on before it was checked.
TEST_CASE("a large answer that is not the upstream's own, or tells of an error, is not passed on in chunks")
{
    const bool isForged = GENERATE(true, false);
    DownloadDeployment deployment;
    for (FakeUpstream *upstream : {&deployment.one, &deployment.two}) {
        upstream->omitsDigest = isForged;
        upstream->status = isForged ? 200 : 500;
    }
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        const Download download = co_await deployment.download(deployment.entry, "a");
        CHECK(download.body.empty());
    });
    // Nothing was passed on, so that the request could be tried at both.
    CHECK(deployment.one.totalRuns() == 1);
    CHECK(deployment.two.totalRuns() == 1);
}

// Guards against an upstream that exits because it holds more answers than its memory takes.
TEST_CASE("at most twice as many downloads as slots are under way at one upstream, and the others are refused")
{
    constexpr int Slots = 6;
    constexpr int Requests = 2 * Slots + 3;
    DownloadDeployment deployment;
    deployment.catalog.remove("i-2");
    deployment.one.runDuration = Milliseconds(300);
    int answered = 0;
    int refused = 0;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await deployment.waitUntilReady();
        const Download warmUp = co_await deployment.download(deployment.first, "w");
        checkWhole(warmUp);
        for (int number = 0; number < Requests; ++number) {
            deployment.start([&deployment, &answered, &refused, number]() -> asio::awaitable<void> {
                const Reply reply = co_await deployment.send(deployment.first.callers, "GET", "/download/1",
                                                             "r" + std::to_string(number), Milliseconds(8000));
                answered += reply.status == 200 ? 1 : 0;
                refused += reply.status == 503 && reply.headers.contains("Retry-After") ? 1 : 0;
            });
        }
        const bool haveEnded = co_await deployment.waitUntil([&] { return answered + refused == Requests; });
        checkHappened(haveEnded);
    });
    CHECK(answered == 2 * Slots);
    CHECK(refused == Requests - 2 * Slots);
    CHECK(deployment.one.totalRuns() == 1 + 2 * Slots);
}
