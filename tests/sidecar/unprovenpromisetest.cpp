#include <string>

#include <catch2/catch.hpp>

#include "endlessupstream.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const std::string Fields = "X-Egretpath-Attempt-Id: {id}\r\nX-Egretpath-Server-Signature: 3e1b\r\n";

/// A node whose upstream answers every request as the test says, and a node that takes requests far from it.
struct GreyDeployment : SidecarFixture
{
    GreyDeployment()
        : grey(addEndlessUpstream("i-grey", {}))
        , beside(addNode(grey, "statements"))
        , far(addNode(addUpstream("i-other"), "other"))
    {
        for (const std::string kind : {"safe", "unsafe", "upload"}) {
            std::string &routes = catalog.moreRoutes;
            routes.append(R"({"name":")").append(kind).append(R"(","kind":")").append(kind);
            routes.append(R"(","target_latency":"100ms","priority":2,"match":{"prefix":"/)").append(kind);
            routes.append(R"(/"},"action":{"service":"statements","timeout":"900ms","max_attempts":1}},)");
        }
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    EndlessUpstream &grey;
    TestNode &beside;
    TestNode &far;
};

}

// Guards against a payment that is made twice, since its caller took the failure of its run for a refusal.
TEST_CASE("an upstream's 503 without the mark of not run is no promise for a request that may run once")
{
    GreyDeployment deployment;
    const std::string status = GENERATE("503 Unavailable", "429 Many", "408 Late");
    const std::size_t bytes = GENERATE(2U, 2U * 1024 * 1024);
    EndlessAnswer answer;
    answer.begin = "HTTP/1.1 " + status + "\r\n" + Fields + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n"
        + std::string(bytes, 'a');
    deployment.grey.setAnswer(answer);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const TestNode *node : {&deployment.beside, &deployment.far}) {
            for (const std::string path : {"/unsafe/1", "/upload/1"}) {
                const Reply reply = co_await deployment.send(node->callers, "POST", path, "r1", Milliseconds(900));
                CHECK(reply.status == 502);
                CHECK_FALSE(reply.headers.contains("X-Egretpath-Server-Signature"));
                CHECK(reply.headers.find("X-Egretpath-Attempt-Id") == "r1");
            }
            const Reply reply = co_await deployment.send(node->callers, "GET", "/safe/1", "r2", Milliseconds(900));
            CHECK(std::to_string(reply.status) == status.substr(0, 3));
        }
    });
}

TEST_CASE("an upstream's 503 with the mark of not run stays a promise")
{
    GreyDeployment deployment;
    EndlessAnswer answer;
    answer.begin = "HTTP/1.1 503 Unavailable\r\nX-Egretpath-Not-Executed: 1\r\n" + Fields + "Content-Length: 0\r\n\r\n";
    deployment.grey.setAnswer(answer);
    deployment.run([&]() -> asio::awaitable<void> {
        const Reply reply = co_await deployment.send(deployment.far.callers, "POST", "/unsafe/1", "r1");
        CHECK(reply.status == 503);
    });
}

// Guards against a payment that is sent to another upstream, or refused as not run, after the success of its run.
TEST_CASE("a success beside the mark of not run proves neither")
{
    GreyDeployment deployment;
    EndlessAnswer answer;
    answer.begin = "HTTP/1.1 200 OK\r\nX-Egretpath-Not-Executed: 1\r\n" + Fields + "Content-Length: 2\r\n\r\nok";
    deployment.grey.setAnswer(answer);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const TestNode *node : {&deployment.beside, &deployment.far}) {
            const Reply reply = co_await deployment.send(node->callers, "POST", "/unsafe/1", "r1", Milliseconds(900));
            CHECK(reply.status == 502);
        }
    });
}
