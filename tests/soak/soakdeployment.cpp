#include "soak/soakdeployment.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "http/tcpendpoint.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr const char *Services[] = {"statements", "arrangements", "intake"};
constexpr const char *Zones[] = {"north-a", "north-b", "south-a"};
constexpr std::size_t Seeds = 3;

constexpr const char *CallersPort = ":8304";
constexpr const char *ReadyPort = ":8302";
constexpr const char *PeersPort = ":7620";
constexpr const char *StartersPort = ":7621";
constexpr const char *MetricsPort = ":9464";
constexpr const char *UpstreamPort = ":8301";
constexpr const char *StorePort = ":8309";

/// Groups of addresses in the deployment's network.
enum AddressGroup : unsigned {
    StoreGroup,
    NodeGroup,
    PeerLinkGroup,
    StoreLinkGroup,
};

/// A process that has ended is started again after this time.
constexpr Milliseconds RestartPause{400};
constexpr const char *KilledBySoak = "signal 9";

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

}

SoakDeployment::SoakDeployment(asio::io_context &context, DeploymentOptions options, StandinStore &store,
                               PromiseChecker &checker)
    : context_(context)
    , options_(std::move(options))
    , store_(store)
    , checker_(checker)
    , storeServer_(context.get_executor(), HttpLimits(),
                   [this](HttpExchange &exchange) { return store_.handle(exchange); })
    , childEnds_(context, SIGCHLD)
{
}

SoakDeployment::~SoakDeployment()
{
    stop();
}

std::string SoakDeployment::address(unsigned group, NodeNumber number) const
{
    return options_.network + "." + std::to_string(group) + "." + std::to_string(number + 1);
}

void SoakDeployment::start(const MakeInnerCall &makeInnerCall, const std::function<void(Member &)> &crashed)
{
    makeInnerCall_ = makeInnerCall;
    crashed_ = crashed;
    listenForStore();
    for (NodeNumber number = 0; number < options_.nodes; ++number) {
        addMember(number);
    }
    collectEnds();
    for (const auto &member : members_) {
        startUpstream(*member);
        writeSettings(*member, options_.repeatSlack);
        member->process->start();
    }
}

void SoakDeployment::listenForStore()
{
    if (const auto bound = storeServer_.listen(Endpoint(address(StoreGroup, 0) + StorePort)); !bound) {
        throw std::runtime_error("the store can't listen: " + bound.error().detail);
    }
}

void SoakDeployment::addMember(NodeNumber number)
{
    Member &member = *members_.emplace_back(std::make_unique<Member>());
    member.number = number;
    member.service = ServiceName(Services[number % std::size(Services)]);
    member.zone = Zones[(number / std::size(Services)) % std::size(Zones)];
    member.nodeIp = address(NodeGroup, number);
    member.callers = Endpoint(member.nodeIp + CallersPort);
    member.ready = Endpoint(member.nodeIp + ReadyPort);
    member.process = std::make_unique<NodeProcess>(options_.program, fileOf(member, ".toml"), fileOf(member, ".log"));
    linkPeers(member);
    linkStore(member);
}

/// Every other member is reached through a relay, so that both the direct way and the one over a link are run.
void SoakDeployment::linkPeers(Member &member)
{
    const bool linked = member.number % 2 == 1;
    member.listedIp = linked ? address(PeerLinkGroup, member.number) : member.nodeIp;
    if (linked) {
        member.peerLink = std::make_unique<StandinRelay>(context_.get_executor(),
                                                         *toTcpEndpoint(Endpoint(member.nodeIp + PeersPort)));
        (void)member.peerLink->listen(*toTcpEndpoint(Endpoint(member.listedIp + PeersPort)));
    }
}

void SoakDeployment::linkStore(Member &member)
{
    const Endpoint store(address(StoreGroup, 0) + StorePort);
    member.storeLink = std::make_unique<StandinRelay>(context_.get_executor(), *toTcpEndpoint(store));
    (void)member.storeLink->listen(*toTcpEndpoint(Endpoint(address(StoreLinkGroup, member.number) + StorePort)));
}

void SoakDeployment::stop()
{
    stopping_ = true;
    for (const auto &member : members_) {
        member->process.reset();
        member->upstream.reset();
    }
}

std::filesystem::path SoakDeployment::fileOf(const Member &member, const char *ending) const
{
    return options_.directory / ("node-" + std::to_string(member.number) + ending);
}

std::string SoakDeployment::seedsText() const
{
    std::string text;
    for (NodeNumber number = 0; number < std::min(Seeds, options_.nodes); ++number) {
        text += (text.empty() ? "" : ", ") + quoted(address(NodeGroup, number) + StartersPort);
    }
    return text;
}

void SoakDeployment::writeSettings(const Member &member, double repeatSlack)
{
    std::ofstream file(fileOf(member, ".toml"), std::ios::trunc);
    file << "[node]\nname = \"node-" << member.number << "\"\nservice = " << quoted(member.service.value())
         << "\nregion = " << quoted(member.zone.substr(0, member.zone.find('-'))) << "\nzone = " << quoted(member.zone)
         << "\n[listen]\ncallers = " << quoted(member.callers.value()) << "\nready = " << quoted(member.ready.value())
         << "\npeers = " << quoted(member.nodeIp + PeersPort) << "\nstarters = " << quoted(member.nodeIp + StartersPort)
         << "\nmetrics = " << quoted(member.nodeIp + MetricsPort)
         << "\n[upstream]\naddress = " << quoted(member.listedIp + UpstreamPort)
         << "\n[platform]\nstore = " << quoted(address(StoreLinkGroup, member.number) + StorePort)
         << "\n[peers]\nseeds = [" << seedsText() << "]\n[zones]\n";
    for (const std::string zone : Zones) {
        file << quoted(zone) << " = " << quoted(zone.substr(0, zone.find('-'))) << '\n';
    }
    file << "[repeats]\nratio = " << options_.repeatRatio << "\nslack = " << repeatSlack << "\n[stop]\ngrace = \""
         << options_.grace.count() << "ms\"\n[log]\ndecisions_per_second = 200\n";
}

void SoakDeployment::breakSettings(const Member &member)
{
    std::ofstream file(fileOf(member, ".toml"), std::ios::trunc);
    file << "[node\nname = \n";
}

void SoakDeployment::startUpstream(Member &member)
{
    SlottedUpstreamOptions options;
    options.id = UpstreamName("u" + std::to_string(member.number) + "-" + std::to_string(++member.upstreamStarts));
    options.service = member.service;
    options.address = Endpoint(member.listedIp + UpstreamPort);
    options.work = options_.work;
    options.seed = options_.seed * 1000 + member.number;
    options.crashed = [this, &member] { crashed_(member); };
    member.upstreamId = options.id;
    checker_.placed(options.id, member.number);
    member.upstream.reset();
    member.upstream = std::make_unique<SlottedUpstream>(context_.get_executor(), std::move(options), checker_,
                                                        makeInnerCall_(member.number));
    registerUpstream(member, false);
}

void SoakDeployment::registerUpstream(const Member &member, bool draining)
{
    const json::object entry{{"service", member.service.value()},
                             {"address", member.listedIp + UpstreamPort},
                             {"zone", member.zone},
                             {"version", "1"},
                             {"slots", 6},
                             {"state", draining ? "draining" : "ready"},
                             {"warmup_remaining", "0ms"},
                             {"sequence", 1}};
    store_.put("servers/" + member.upstreamId.value(), json::serialize(entry));
}

void SoakDeployment::unregisterUpstream(const UpstreamName &upstream)
{
    store_.remove("servers/" + upstream.value());
}

/// Signals of ended children may be merged, so that all ended ones are collected each time.
void SoakDeployment::collectEnds()
{
    childEnds_.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        while (true) {
            const ProcessEnd end = NodeProcess::collectEnd();
            if (end.process == 0) {
                break;
            }
            for (const auto &member : members_) {
                if (member->process && member->process->id() == end.process) {
                    noteEnd(*member, end);
                }
            }
        }
        collectEnds();
    });
}

void SoakDeployment::noteEnd(Member &member, const ProcessEnd &end)
{
    member.process->noteEnd();
    const bool expected = std::exchange(member.endExpected, false);
    // One that was asked to stop ends with its own exit code; one that was killed ends by that signal.
    const bool asAsked = end.clean || end.how == KilledBySoak;
    if ((!expected || !asAsked) && !stopping_) {
        checker_.crashed(member.number, end.how);
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, RestartPause);
    timer->async_wait([this, &member, timer](const boost::system::error_code &error) {
        if (!error && !stopping_ && !member.process->runs()) {
            // As the platform does at each start.
            writeSettings(member, options_.repeatSlack);
            member.process->start();
        }
    });
}

}
