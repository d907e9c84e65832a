// Consumers upload bodies well within max_body_bytes at the same time. The node holds all of them whole.
#include <cstdio>
#include <mutex>

#include "cases.h"
#include "deployment.h"

namespace Review
{

namespace
{

/// Within max_body_bytes, 67,108,864.
constexpr std::size_t LargeUpload = 40000000;
/// What uploads are in the site file.
constexpr std::size_t UsualUpload = 60000;
constexpr std::size_t Uploaders = 3;
constexpr std::size_t Filers = 8;
constexpr int Rounds = 3;
constexpr double RoundMs = 8000;
constexpr int DeadlineMs = 3000;
constexpr double AnswerTimeoutMs = 5000;

struct Filing
{
    std::string id;
    bool isOnKeptConnection = false;
    Answer answer;
};

std::mutex mutex;
std::vector<Filing> filings;

/// Sends one small unsafe request after the other over a connection that it keeps.
void file(const NodeOptions &node, const std::atomic<bool> &isOver)
{
    std::unique_ptr<Wire> wire;
    bool isKept = false;
    while (!isOver) {
        if (!wire) {
            wire = Wire::connect(node.ip, node.callers);
            isKept = false;
        }
        if (!wire) {
            sleepMs(100);
            continue;
        }
        Filing filing{newId(), isKept, {}};
        filing.answer = exchange(
            *wire, requestText("POST", "tx.example", "/tx/1", filing.id, DeadlineMs, {}, "a filing"), AnswerTimeoutMs);
        if (!filing.answer.isWhole || filing.answer.message.header("Connection") == "close") {
            wire.reset();
        }
        isKept = true;
        const std::scoped_lock lock(mutex);
        filings.push_back(std::move(filing));
    }
}

void uploadAll(const NodeOptions &node)
{
    const std::size_t size = hasTrouble() ? LargeUpload : UsualUpload;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < Uploaders; ++i) {
        threads.emplace_back([&node, size] {
            const std::string id = newId();
            const auto wire = Wire::connect(node.ip, node.callers);
            if (!wire) {
                record("upload " + id + ": no connection");
                return;
            }
            const Answer answer =
                exchange(*wire, requestText("POST", "up.example", "/up/1", id, DeadlineMs, {}, std::string(size, 'x')),
                         AnswerTimeoutMs);
            record("upload " + id + " of " + std::to_string(size) + " bytes: status " + std::to_string(answer.status)
                   + " " + answer.error);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

}

int runUploadsCase()
{
    Deployment deployment(smallDeployment());
    deployment.rules = Deployment::route("up.example", "/up/", "upload", "board", 1500, 2) + ","
        + Deployment::route("tx.example", "/tx/", "unsafe", "desk", 1500, 2);
    for (InstanceOptions &options : deployment.instanceOptions) {
        options.workMs = 250;
    }
    if (!deployment.start()) {
        return CouldNotRun;
    }
    deployment.supervise();
    const NodeOptions &node = deployment.nodes.front()->options;
    std::atomic<bool> isOver{false};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < Filers; ++i) {
        threads.emplace_back([&node, &isOver] { file(node, isOver); });
    }
    sleepMs(4000);
    for (int round = 0; round < Rounds; ++round) {
        record("consumers of " + node.name + " upload");
        uploadAll(node);
        sleepMs(RoundMs);
    }
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::size_t lost = 0;
    std::size_t served = 0;
    for (const Filing &filing : filings) {
        served += filing.answer.status == 200 ? 1 : 0;
        const bool hasNoAnswer = !filing.answer.isWhole && filing.answer.error != "timeout";
        const std::vector<Run> runs = deployment.runs.of(filing.id);
        if (filing.isOnKeptConnection && hasNoAnswer && !runs.empty()) {
            ++lost;
            record("request " + filing.id + " ran at " + runs.front().instance + " from "
                   + std::to_string(runs.front().at / 1000) + " s; its kept connection ended without an answer at "
                   + std::to_string(filing.answer.endedAt / 1000) + " s (" + filing.answer.error + ")");
        }
    }
    char text[200];
    std::snprintf(text, sizeof text,
                  "%zu of %zu filings on kept connections passed on and cut without an answer, allowed 3; %zu served; "
                  "%d ends of processes; most memory of the node %llu kB",
                  lost, filings.size(), served, deployment.ends.load(),
                  static_cast<unsigned long long>(deployment.peakKb.front().load()));
    record(text);
    std::puts(text);
    if (served == 0) {
        return CouldNotRun;
    }
    return lost > 3 ? Broken : Held;
}

}
