// A config raises the limits of what consumers may send. Kept connections from before still get the older limits.
#include <cstdio>

#include "cases.h"
#include "deployment.h"

namespace Review
{

namespace
{

constexpr std::uint64_t OldBodyLimit = 1048576;
constexpr std::uint64_t NewBodyLimit = 67108864;
constexpr std::size_t UploadBytes = 2000000;
constexpr std::size_t ConnectionsPerNode = 8;
/// Twice the bound of `config`.
constexpr double WaitAfterAckMs = 4000;
constexpr int DeadlineMs = 3000;
constexpr double AnswerTimeoutMs = 5000;

std::string limitsWith(std::uint64_t bodyBytes)
{
    return "{\"max_header_bytes\":16384,\"max_body_bytes\":" + std::to_string(bodyBytes)
        + ",\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}";
}

Answer upload(Wire &wire, std::size_t size, const std::string &what)
{
    const std::string id = newId();
    Answer answer = exchange(
        wire, requestText("POST", "up.example", "/up/1", id, DeadlineMs, {}, std::string(size, 'x')), AnswerTimeoutMs);
    record(what + ": request " + id + " of " + std::to_string(size) + " bytes: status " + std::to_string(answer.status)
           + " " + answer.error);
    return answer;
}

struct Kept
{
    std::unique_ptr<Wire> wire;
    std::string node;
};

}

int runLimitsCase()
{
    Deployment deployment(smallDeployment());
    deployment.limits = limitsWith(hasTrouble() ? OldBodyLimit : NewBodyLimit);
    deployment.rules = Deployment::route("up.example", "/up/", "upload", "desk", 1500, 2);
    if (!deployment.start()) {
        return CouldNotRun;
    }
    sleepMs(1000);
    std::vector<Kept> connections;
    std::size_t requests = 0;
    for (const auto &node : deployment.nodes) {
        for (std::size_t i = 0; i < ConnectionsPerNode; ++i) {
            Kept kept{Wire::connect(node->options.ip, node->options.callers), node->options.name};
            ++requests;
            if (!kept.wire || upload(*kept.wire, 1000, "before, " + kept.node).status != 200) {
                record("the deployment does not serve");
                return CouldNotRun;
            }
            connections.push_back(std::move(kept));
        }
    }
    if (hasTrouble()) {
        deployment.limits = limitsWith(NewBodyLimit);
        deployment.writeConfig();
        record("the store acknowledged a config whose max_body_bytes is " + std::to_string(NewBodyLimit));
    }
    sleepMs(WaitAfterAckMs);
    std::size_t denied = 0;
    std::size_t served = 0;
    for (const Kept &kept : connections) {
        const Answer answer = upload(*kept.wire, UploadBytes, "kept connection to " + kept.node);
        ++requests;
        denied += answer.status == 413 ? 1 : 0;
        served += answer.status == 200 ? 1 : 0;
    }
    std::size_t servedOnNew = 0;
    for (const auto &node : deployment.nodes) {
        const auto wire = Wire::connect(node->options.ip, node->options.callers);
        ++requests;
        servedOnNew += wire && upload(*wire, UploadBytes, "new connection to " + node->options.name).status == 200;
    }
    const double allowed = 5.0 + static_cast<double>(requests) / 500.0;
    char text[200];
    std::snprintf(text, sizeof text,
                  "%zu of %zu requests denied with 413 on kept connections, allowed %.1f; %zu served there; %zu of %zu "
                  "served on new connections",
                  denied, requests, allowed, served, servedOnNew, deployment.nodes.size());
    record(text);
    std::puts(text);
    return static_cast<double>(denied) > allowed ? Broken : Held;
}

}
