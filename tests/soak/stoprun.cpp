#include "soak/stoprun.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/currenttime.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds ReadyTimeout{20'000};
constexpr Milliseconds ProbeTimeout{1800};
constexpr Bytes MaxAnswer{std::uint64_t{8} * 1024 * 1024};

HttpPoolLimits poolLimits()
{
    HttpPoolLimits limits;
    limits.connections = 4000;
    limits.connectionsPerEndpoint = 4000;
    limits.idleTime = std::chrono::seconds(60);
    return limits;
}

}

StopRun::StopRun(const StopRunOptions &options)
    : folder_(std::filesystem::temp_directory_path() / ("egretpath-stops-" + std::to_string(getpid())))
    , store_(context_.get_executor())
    , publisher_(store_, versions_, Random(1))
    , deployment_(context_, deploymentOptions(options, folder_), store_, checker_)
    , pool_(context_.get_executor(), poolLimits())
{
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (const CallerRoute &route : options.routes) {
        publisher_.addRoute(route);
    }
}

StopRun::~StopRun()
{
    deployment_.stop();
    std::filesystem::remove_all(folder_);
}

DeploymentOptions StopRun::deploymentOptions(const StopRunOptions &options, const std::filesystem::path &folder)
{
    DeploymentOptions deployment;
    deployment.program = EGRETPATH_NODE_PROGRAM;
    deployment.directory = folder;
    deployment.network = "127." + std::to_string(100 + getpid() % 50);
    deployment.nodes = options.nodes;
    deployment.grace = options.grace;
    deployment.work = options.work;
    deployment.slots = options.slots;
    deployment.observer = options.observer;
    deployment.hasPeerLinks = false;
    return deployment;
}

void StopRun::run(asio::awaitable<void> scenario)
{
    std::exception_ptr thrown;
    asio::co_spawn(context_, std::move(scenario), [&](std::exception_ptr error) {
        thrown = error;
        context_.stop();
    });
    context_.run();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
}

void StopRun::start(asio::awaitable<void> action)
{
    asio::co_spawn(context_, std::move(action), asio::detached);
}

asio::awaitable<void> StopRun::startNodes()
{
    publisher_.publishNext();
    deployment_.start([](NodeNumber) { return StandinUpstream::InnerCall(); }, [](Member &) {});
    const TimePoint limit = currentTime() + ReadyTimeout;
    for (const auto &member : deployment_.members()) {
        bool isReady = false;
        while (!isReady && currentTime() < limit) {
            HttpRequestHead head = makeHead("GET", "/v1/readiness", ProbeTimeout);
            const std::uint16_t status = co_await send(member->ready, std::move(head), ProbeTimeout);
            isReady = status == OkStatus;
            if (!isReady) {
                co_await sleepFor(Milliseconds(50));
            }
        }
    }
}

void StopRun::stopNode(NodeNumber node)
{
    deployment_.member(node).isExitExpected = true;
    deployment_.member(node).process->signal(SIGTERM);
}

asio::awaitable<std::unique_ptr<HttpClientCall>> StopRun::connect(NodeNumber node, TimePoint deadline)
{
    auto opened = co_await pool_.open(deployment_.member(node).callers, deadline, HttpConnectionChoice::Fresh);
    if (!opened) {
        co_return nullptr;
    }
    co_return std::move(opened).value();
}

HttpRequestHead StopRun::makeHead(std::string method, std::string target, Milliseconds callerTimeout)
{
    HttpRequestHead head(std::move(method), std::move(target));
    head.headers.add("Host", RoutePublisher::host());
    head.headers.add("X-Egretpath-Attempt-Id", "s" + std::to_string(++lastId_));
    head.headers.add("X-Egretpath-Deadline-Ms", std::to_string(callerTimeout.count()));
    return head;
}

asio::awaitable<std::uint16_t> StopRun::exchange(HttpClientCall &call, HttpRequestHead head, std::string body)
{
    (void)co_await call.sendRequest(std::move(head), std::move(body));
    const auto answer = co_await call.readHead();
    if (!answer) {
        co_return 0;
    }
    const auto content = co_await call.readCompleteBody(MaxAnswer);
    co_return content ? answer.value().status : std::uint16_t{0};
}

asio::awaitable<std::uint16_t> StopRun::send(Endpoint to, HttpRequestHead head, Milliseconds callerTimeout)
{
    auto opened = co_await pool_.open(std::move(to), currentTime() + callerTimeout);
    if (!opened) {
        co_return 0;
    }
    co_return co_await exchange(*opened.value(), std::move(head));
}

std::string StopRun::logOf(NodeNumber node) const
{
    std::ifstream file(folder_ / ("node-" + std::to_string(node) + ".log"));
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

bool StopRun::hasLogged(NodeNumber node, const std::string &text) const
{
    return logOf(node).find(text) != std::string::npos;
}

std::vector<std::string> StopRun::badExits() const
{
    std::vector<std::string> exits;
    std::copy_if(checker_.violations().begin(), checker_.violations().end(), std::back_inserter(exits),
                 [](const std::string &text) { return text.find("ended by itself") != std::string::npos; });
    return exits;
}

}
