#include <string>

#include <catch2/catch.hpp>

#include "deployment.h"
#include "endlessupstream.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const std::string Head = "HTTP/1.1 200 OK\r\nX-Egretpath-Attempt-Id: {id}\r\nX-Egretpath-Server-Signature: 3e1b\r\n";
const std::string Informational = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

/// A node whose upstream cuts its answers, and a node that takes requests, far from the upstream or beside it.
struct CutDeployment : SidecarFixture
{
    CutDeployment()
        : ill(addEndlessUpstream("i-ill", {}))
        , beside(addNode(ill, "statements"))
        , far(addNode(addUpstream("i-other"), "other"))
    {
        const std::string route = R"({"name":"NAME","kind":"NAME","target_latency":"100ms","priority":2,)"
                                  R"("match":{"prefix":"/NAME/"},"action":{"service":"statements",)"
                                  R"("timeout":"900ms","max_attempts":2}},)";
        for (const std::string kind : {"safe", "unsafe", "download"}) {
            std::string text = route;
            for (std::size_t at = text.find("NAME"); at != std::string::npos; at = text.find("NAME")) {
                text.replace(at, 4, kind);
            }
            catalog.moreRoutes += text;
        }
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    EndlessUpstream &ill;
    TestNode &beside;
    TestNode &far;
};

}

// Guards against an upstream that stops in the middle of its answer's head, and a caller who gets a short success.
TEST_CASE("an answer whose head is cut at any byte is no success for its caller")
{
    CutDeployment deployment;
    const std::string framing =
        GENERATE(std::string("Content-Length: 0\r\n\r\n"), std::string("Content-Length: 4\r\n\r\n"),
                 std::string("Transfer-Encoding: chunked\r\n\r\n"), std::string("\r\n"));
    const bool isReset = GENERATE(false, true);
    const std::string answer = Informational + Head + framing;
    deployment.run([&]() -> asio::awaitable<void> {
        int number = 0;
        for (std::size_t size = 0; size < answer.size(); size += 1 + size % 3) {
            EndlessAnswer cut;
            cut.begin = answer.substr(0, size);
            cut.isReset = isReset;
            deployment.ill.setAnswer(cut);
            const std::string kind = number % 3 == 0 ? "safe" : number % 3 == 1 ? "unsafe" : "download";
            const std::string id = "r" + std::to_string(number);
            const TestNode &node = number % 2 == 0 ? deployment.beside : deployment.far;
            const Reply reply =
                co_await deployment.send(node.callers, kind == "safe" ? "GET" : "POST", "/" + kind + "/1", id);
            INFO("a head of " << answer.size() << " bytes cut after " << size);
            CHECK(reply.status >= 500);
            CHECK((kind != "unsafe" || deployment.ill.runs(id) <= 1));
            ++number;
        }
        CHECK(deployment.ill.totalRuns() >= number);
        EndlessAnswer whole;
        whole.begin = Informational + Head + "Content-Length: 0\r\n\r\n";
        deployment.ill.setAnswer(whole);
        const Reply reply = co_await deployment.send(deployment.far.callers, "GET", "/safe/1", "whole");
        CHECK(reply.status == 200);
    });
}
