// Instances run some of the payments and answer 503, without the header that says that they did not run them.
#include <cstdio>
#include <mutex>

#include "cases.h"
#include "deployment.h"

namespace Review
{

namespace
{

/// The share of the failing instance's answers that fail: x = 0.45 in the site file.
constexpr std::size_t FailingOfHundred = 45;
constexpr std::size_t Payments = 120;
constexpr int DeadlineMs = 3000;
constexpr double AnswerTimeoutMs = 5000;

bool failsAt(const Run &run)
{
    return std::hash<std::string>{}(run.request) % 100 < FailingOfHundred;
}

/// Runs the request, and answers as an instance does whose own store has failed.
bool answerUnavailable(Wire &wire, const Run &run)
{
    const std::string body = "the instance's store does not answer\n";
    return wire.send("HTTP/1.1 503 Service Unavailable\r\nX-Egretpath-Attempt-Id: " + run.request
                     + "\r\nX-Egretpath-Server-Signature: " + run.instance + "." + run.request
                     + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

}

int runRefusedCase()
{
    Deployment deployment(smallDeployment());
    deployment.rules = Deployment::route("tx.example", "/tx/", "unsafe", "desk", 1500, 2);
    for (InstanceOptions &options : deployment.instanceOptions) {
        options.workMs = 40;
    }
    if (hasTrouble()) {
        deployment.instanceOptions.front().special = [](Wire &wire, const Message & /*request*/, const Run &run) {
            return failsAt(run) && answerUnavailable(wire, run);
        };
    }
    if (!deployment.start()) {
        return CouldNotRun;
    }
    sleepMs(3500);
    std::size_t served = 0;
    std::size_t refusedAfterRun = 0;
    for (std::size_t i = 0; i < Payments; ++i) {
        const NodeOptions &node = deployment.nodes[i % deployment.nodes.size()]->options;
        const std::string id = newId();
        const auto wire = Wire::connect(node.ip, node.callers);
        if (!wire) {
            return CouldNotRun;
        }
        const Answer answer = exchange(
            *wire, requestText("POST", "tx.example", "/tx/1", id, DeadlineMs, {}, "a payment"), AnswerTimeoutMs);
        const std::vector<Run> runs = deployment.runs.of(id);
        record(node.name + " request " + id + ": ran " + std::to_string(runs.size()) + " times"
               + (runs.empty() ? "" : " at " + runs.front().instance) + ", status " + std::to_string(answer.status));
        served += answer.status == 200 ? 1 : 0;
        refusedAfterRun += answer.status == 503 && !runs.empty() ? 1 : 0;
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "%zu of %zu unsafe requests answered 503 though they had run, allowed 0; %zu served", refusedAfterRun,
                  Payments, served);
    record(text);
    std::puts(text);
    return refusedAfterRun > 0 ? Broken : Held;
}

}
