// Consumers read a large answer slowly: they pause for four seconds.
#include <cstdio>
#include <mutex>

#include "cases.h"
#include "deployment.h"

namespace Review
{

namespace
{

constexpr std::size_t LargeAnswer = 1000000;
constexpr std::size_t Readers = 8;
/// The idle_timeout of the config is 15 s.
constexpr double PauseMs = 4000;
constexpr int DeadlineMs = 10000;
constexpr double AnswerTimeoutMs = 8000;

struct Outcomes
{
    std::mutex mutex;
    std::size_t requests = 0;
    std::size_t whole = 0;
    std::size_t cut = 0;
    std::size_t withoutAnswer = 0;
};

std::string get(const std::string &host, const std::string &target, const std::string &id)
{
    return requestText("GET", host, target, id, DeadlineMs, {}, "");
}

void readSlowly(Deployment &deployment, std::size_t number, Outcomes &outcomes)
{
    const NodeOptions &node = deployment.nodes[number % deployment.nodes.size()]->options;
    const auto wire = Wire::connect(node.ip, node.callers);
    const bool isServed = wire && exchange(*wire, get("rd.example", "/rd/1", newId()), AnswerTimeoutMs).status == 200;
    if (!isServed) {
        record("the deployment does not serve");
        return;
    }
    const std::vector<std::string> ids{newId(), newId()};
    wire->send(get("dl.example", "/dl/1", ids[0]) + get("rd.example", "/rd/2", ids[1]));
    sleepMs(hasTrouble() ? PauseMs : 0);
    bool hasEnded = false;
    for (const std::string &id : ids) {
        Answer answer;
        if (!hasEnded) {
            answer = readAnswer(*wire, AnswerTimeoutMs);
            hasEnded = !answer.isWhole;
        }
        const std::vector<Run> runs = deployment.runs.of(id);
        record(node.name + " request " + id + ": ran " + std::to_string(runs.size()) + " times"
               + (runs.empty() ? "" : " at " + runs.front().instance) + ", status " + std::to_string(answer.status)
               + ", " + std::to_string(answer.message.body.size()) + " bytes of the body, "
               + (answer.isWhole ? "whole" : "connection ended: " + answer.error));
        const std::scoped_lock lock(outcomes.mutex);
        ++outcomes.requests;
        outcomes.whole += answer.isWhole && answer.status == 200 ? 1 : 0;
        outcomes.cut += answer.status != 0 && !answer.isWhole ? 1 : 0;
        outcomes.withoutAnswer += answer.status == 0 && !runs.empty() ? 1 : 0;
    }
}

}

int runReadersCase()
{
    Deployment deployment(smallDeployment());
    deployment.rules = Deployment::route("dl.example", "/dl/", "download", "board", 1500, 2) + ","
        + Deployment::route("rd.example", "/rd/", "safe", "board", 1200, 2);
    for (InstanceOptions &options : deployment.instanceOptions) {
        options.workMs = 50;
        options.answerOf = [](const Run &run) {
            return run.target.rfind("/dl/", 0) == 0 ? std::string(LargeAnswer, 'd') : std::string("a short answer\n");
        };
    }
    if (!deployment.start()) {
        return CouldNotRun;
    }
    sleepMs(4000);
    Outcomes outcomes;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < Readers; ++i) {
        threads.emplace_back([&deployment, &outcomes, i] { readSlowly(deployment, i, outcomes); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "%zu of %zu requests on kept connections passed on and the connection reset without any answer, "
                  "allowed 3; beside these %zu answers cut; %zu whole",
                  outcomes.withoutAnswer, outcomes.requests, outcomes.cut, outcomes.whole);
    record(text);
    std::puts(text);
    if (outcomes.requests != 2 * Readers) {
        return CouldNotRun;
    }
    return outcomes.withoutAnswer > 3 ? Broken : Held;
}

}
