#include "crowds/crowddeployment.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr const char *StoreAddress = "127.251.0.9:8309";
constexpr const char *NodeIps[] = {"127.251.0.1", "127.251.0.2"};
constexpr const char *Services[] = {"intake", "desk"};
constexpr const char *Upstreams[] = {"i-intake", "i-desk"};
constexpr Milliseconds PollInterval{20};
constexpr Milliseconds LongestStart{20'000};
constexpr Milliseconds LongestReturn{30'000};
constexpr Milliseconds RouteTimeout{8000};

std::string upstreamAddress(std::size_t number)
{
    return std::string(NodeIps[number]) + ":8301";
}

json::object ruleTo(std::size_t number, const char *prefix)
{
    return {{"name", Services[number]},
            {"kind", "upload"},
            {"target_latency", "2000ms"},
            {"priority", 0},
            {"match", json::object{{"prefix", prefix}}},
            {"action",
             json::object{{"service", Services[number]},
                          {"timeout", std::to_string(RouteTimeout.count()) + "ms"},
                          {"max_attempts", 2},
                          {"allowed_regions", json::array()}}}};
}

json::object entryOf(std::size_t number, std::uint32_t slots)
{
    return {{"service", Services[number]},
            {"address", upstreamAddress(number)},
            {"zone", "north-a"},
            {"version", "1"},
            {"slots", slots},
            {"state", "ready"},
            {"sequence", 1},
            {"warmup_remaining", "0ms"}};
}

}

CrowdDeployment::CrowdDeployment(CrowdLimits limits, RawUpstream::Answerer answerer)
    : limits_(limits)
    , folder_(std::filesystem::temp_directory_path() / ("egretpath-crowds-" + std::to_string(getpid())))
    , work_(context_.get_executor())
    , store_(context_.get_executor())
    , storeServer_(context_.get_executor(), HttpLimits(),
                   [this](HttpExchange &exchange) { return store_.handle(exchange); })
{
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    if (!answerer) {
        answerer = answerWithSize;
    }
    listenForStore();
    publish();
    for (std::size_t number = 0; number < upstreams_.size(); ++number) {
        upstreams_.at(number) = std::make_unique<RawUpstream>(context_, Endpoint(upstreamAddress(number)),
                                                              Upstreams[number], limits_.slots, answerer);
        startNode(number);
    }
    thread_ = std::thread([this] { context_.run(); });
}

CrowdDeployment::~CrowdDeployment()
{
    for (const auto &node : nodes_) {
        if (isAlive()) {
            node->signal(SIGKILL);
        }
    }
    for (auto &node : nodes_) {
        node.reset();
    }
    context_.stop();
    thread_.join();
    std::filesystem::remove_all(folder_);
}

void CrowdDeployment::listenForStore()
{
    if (const auto bound = storeServer_.listen(Endpoint(StoreAddress)); !bound) {
        throw std::runtime_error("the stand-in store can't listen: " + bound.error().detail);
    }
}

void CrowdDeployment::publish()
{
    json::array clusters;
    for (const char *service : Services) {
        clusters.push_back(json::object{{"name", service}, {"health_check_path", "/health"}, {"max_connections", 220}});
    }
    const json::object listener{{"hostname", Host}, {"rules", json::array{ruleTo(0, HerePath), ruleTo(1, AwayPath)}}};
    const json::object limits{{"max_body_bytes", limits_.bodyBytes},
                              {"max_header_bytes", 16384},
                              {"idle_timeout", "10s"},
                              {"header_timeout", "5s"}};
    const json::object config{
        {"version", "00000001"}, {"listeners", json::array{listener}}, {"clusters", clusters}, {"limits", limits}};
    store_.put("op/config", json::serialize(config));
    for (std::size_t number = 0; number < std::size(Services); ++number) {
        store_.put(std::string("servers/") + Upstreams[number], json::serialize(entryOf(number, limits_.slots)));
    }
}

std::string CrowdDeployment::settingsOf(std::size_t number) const
{
    const std::string ip = NodeIps[number];
    return "[node]\nname = \"node-" + std::to_string(number) + "\"\nservice = \"" + Services[number]
        + "\"\nregion = \"north\"\nzone = \"north-a\"\n[listen]\ncallers = \"" + ip + ":8304\"\nready = \"" + ip
        + ":8302\"\npeers = \"" + ip + ":7620\"\nstarters = \"" + ip + ":7621\"\n[upstream]\naddress = \""
        + upstreamAddress(number) + "\"\n[platform]\nstore = \"" + StoreAddress + "\"\n[peers]\nseeds = [\""
        + NodeIps[0] + ":7621\"]\n[zones]\nnorth-a = \"north\"\n[limits]\nlink_mbps = 1000.0\nmemory_mb = "
        + std::to_string(limits_.memoryMb) + "\n[stop]\ngrace = \"500ms\"\n[log]\ndecisions_per_second = 200\n";
}

void CrowdDeployment::startNode(std::size_t number)
{
    const std::filesystem::path base = folder_ / ("node-" + std::to_string(number));
    const std::filesystem::path settings = base.string() + ".toml";
    std::ofstream(settings) << settingsOf(number);
    nodes_.at(number) = std::make_unique<NodeProcess>(EGRETPATH_NODE_PROGRAM, settings, base.string() + ".log");
    nodes_.at(number)->start();
}

bool CrowdDeployment::waitUntilServing()
{
    const TimePoint end = currentTime() + LongestStart;
    for (const char *path : {HerePath, AwayPath}) {
        while (order(path, OrdinaryBody).status != 200) {
            if (currentTime() > end) {
                return false;
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }
    for (const WatchedProcess &node : watched()) {
        startBytes_.push_back(useOf(node).bytes);
    }
    return true;
}

Endpoint CrowdDeployment::callers() const
{
    return Endpoint(std::string(NodeIps[0]) + ":8304");
}

std::vector<WatchedProcess> CrowdDeployment::watched() const
{
    return {{nodes_[0]->id(), NodeIps[0]}, {nodes_[1]->id(), NodeIps[1]}};
}

bool CrowdDeployment::isAlive() const
{
    bool isAlive = true;
    for (const auto &node : nodes_) {
        siginfo_t info{};
        waitid(P_PID, static_cast<id_t>(node->id()), &info, WEXITED | WNOHANG | WNOWAIT);
        isAlive = isAlive && info.si_pid == 0;
    }
    return isAlive;
}

std::uint64_t CrowdDeployment::memoryBound() const
{
    constexpr std::uint64_t BytesPerMb = 1'000'000;
    return limits_.memoryMb * BytesPerMb;
}

bool CrowdDeployment::waitUntilMemoryIsBack(std::uint64_t bytes) const
{
    const TimePoint end = currentTime() + LongestReturn;
    const auto nodes = watched();
    for (std::size_t number = 0; number < nodes.size(); ++number) {
        while (useOf(nodes[number]).bytes > startBytes_.at(number) + bytes) {
            if (currentTime() > end) {
                return false;
            }
            std::this_thread::sleep_for(PollInterval);
        }
    }
    return true;
}

std::string CrowdDeployment::orderHead(const std::string &path)
{
    return "POST " + path + "1 HTTP/1.1\r\nHost: " + Host
        + "\r\nX-Egretpath-Attempt-Id: order\r\nX-Egretpath-Deadline-Ms: 8000\r\n";
}

PlainAnswer CrowdDeployment::order(const std::string &path, const std::string &body) const
{
    constexpr unsigned MaxTries = 20;
    constexpr double MillisecondsPerSecond = 1000.0;
    const std::string request = orderHead(path) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    PlainAnswer answer;
    for (unsigned tries = 0; tries < MaxTries; ++tries) {
        answer = sendPlain(callers(), request, 2 * RouteTimeout);
        const auto wait = fieldOf(answer.head, "Retry-After");
        if (answer.status == 200 || !wait) {
            break;
        }
        std::this_thread::sleep_for(
            Milliseconds(static_cast<Milliseconds::rep>(std::atof(wait->c_str()) * MillisecondsPerSecond)));
    }
    return answer;
}

bool isOrdinaryOrder(const RawRequest &request)
{
    const std::size_t length = std::string_view(CrowdDeployment::OrdinaryBody).size();
    return fieldOf(request.head, "Content-Length") == std::to_string(length);
}

std::string successFields(const RawRequest &request)
{
    return "X-Egretpath-Attempt-Id: " + fieldOf(request.head, "X-Egretpath-Attempt-Id").value_or("")
        + "\r\nX-Egretpath-Server-Signature: signed\r\n";
}

asio::awaitable<void> answerWithSize(asio::ip::tcp::socket &socket, RawRequest request)
{
    const std::size_t announced =
        std::strtoull(fieldOf(request.head, "Content-Length").value_or("0").c_str(), nullptr, 10);
    std::vector<char> piece(std::size_t{256} * 1024);
    std::size_t size = request.bodyBytes;
    boost::system::error_code error;
    while (size < announced && !error) {
        size += co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    }
    const std::string path = request.head.substr(0, request.head.find(" HTTP/"));
    const std::size_t wanted = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const std::string body = wanted > 1 ? std::string(wanted, 'a') : std::to_string(size);
    std::string head = "HTTP/1.1 200 OK\r\n" + successFields(request) + "Connection: close\r\nContent-Length: ";
    if (!error) {
        (void)co_await writeText(socket, head + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

}
