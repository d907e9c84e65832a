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
constexpr std::size_t SeedCount = 3;

constexpr const char *CallersPort = ":8304";
constexpr const char *ReadyPort = ":8302";
constexpr const char *PeersPort = ":7620";
constexpr const char *StartersPort = ":7621";
constexpr const char *MetricsPort = ":9464";
constexpr const char *UpstreamPort = ":8301";
constexpr const char *StorePort = ":8309";

/// Groups of addresses in the deployment's network. The group's number is the third part of an address.
enum AddressGroup : unsigned {
    StoreGroup,
    NodeGroup,
    PeerLinkGroup,
    StoreLinkGroup,
};

/// Time from the exit of a process to its next start.
constexpr Milliseconds RestartDelay{400};
constexpr const char *KilledBySoakReason = "signal 9";

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
    , childExits_(context, SIGCHLD)
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

void SoakDeployment::start(const InnerCallFactory &makeInnerCall,
                           const std::function<void(Member &)> &onUpstreamCrashed)
{
    makeInnerCall_ = makeInnerCall;
    onUpstreamCrashed_ = onUpstreamCrashed;
    listenForStore();
    for (NodeNumber number = 0; number < options_.nodes; ++number) {
        addMember(number);
    }
    reapChildren();
    for (const auto &member : members_) {
        startUpstream(*member);
        writeSettings(*member, options_.retrySlack);
        member->process->start();
    }
}

void SoakDeployment::listenForStore()
{
    if (const auto bound = storeServer_.listen(Endpoint(address(StoreGroup, 0) + StorePort)); !bound) {
        throw std::runtime_error("the stand-in store can't listen: " + bound.error().detail);
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
    member.process =
        std::make_unique<NodeProcess>(options_.program, filePath(member, ".toml"), filePath(member, ".log"));
    linkPeers(member);
    linkStore(member);
}

/// Puts a relay in front of every second member, so that both direct connections and connections over a link are
/// tested.
void SoakDeployment::linkPeers(Member &member)
{
    const bool hasPeerLink = options_.hasPeerLinks && member.number % 2 == 1;
    member.listedIp = hasPeerLink ? address(PeerLinkGroup, member.number) : member.nodeIp;
    if (hasPeerLink) {
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
    isStopping_ = true;
    for (const auto &member : members_) {
        member->process.reset();
        member->upstream.reset();
    }
}

std::filesystem::path SoakDeployment::filePath(const Member &member, const char *ending) const
{
    return options_.directory / ("node-" + std::to_string(member.number) + ending);
}

std::string SoakDeployment::seedsText() const
{
    std::string text;
    for (NodeNumber number = 0; number < std::min(SeedCount, options_.nodes); ++number) {
        text += (text.empty() ? "" : ", ") + quoted(address(NodeGroup, number) + StartersPort);
    }
    return text;
}

void SoakDeployment::writeSettings(const Member &member, double retrySlack)
{
    std::ofstream file(filePath(member, ".toml"), std::ios::trunc);
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
    file << "[repeats]\nratio = " << options_.retryRatio << "\nslack = " << retrySlack << "\n[stop]\ngrace = \""
         << options_.grace.count() << "ms\"\n[log]\ndecisions_per_second = 200\n";
}

void SoakDeployment::writeInvalidSettings(const Member &member)
{
    std::ofstream file(filePath(member, ".toml"), std::ios::trunc);
    file << "[node\nname = \n";
}

void SoakDeployment::startUpstream(Member &member)
{
    StandinUpstreamOptions options;
    options.id = UpstreamName("u" + std::to_string(member.number) + "-" + std::to_string(++member.upstreamStarts));
    options.service = member.service;
    options.address = Endpoint(member.listedIp + UpstreamPort);
    options.work = options_.work;
    options.slots = options_.slots;
    options.seed = options_.seed * 1000 + member.number;
    options.onCrashed = [this, &member] { onUpstreamCrashed_(member); };
    member.upstreamId = options.id;
    checker_.recordPlacement(options.id, member.number, member.zone);
    member.upstream.reset();
    UpstreamObserver &observer = options_.observer != nullptr ? *options_.observer : checker_;
    member.upstream = std::make_unique<StandinUpstream>(context_.get_executor(), std::move(options), observer,
                                                        makeInnerCall_(member.number));
    registerUpstream(member, false);
}

void SoakDeployment::registerUpstream(const Member &member, bool draining)
{
    const json::object entry{{"service", member.service.value()},
                             {"address", member.listedIp + UpstreamPort},
                             {"zone", member.zone},
                             {"version", "1"},
                             {"slots", options_.slots},
                             {"state", draining ? "draining" : "ready"},
                             {"warmup_remaining", "0ms"},
                             {"sequence", 1}};
    store_.put("servers/" + member.upstreamId.value(), json::serialize(entry));
}

void SoakDeployment::unregisterUpstream(const UpstreamName &upstream)
{
    store_.remove("servers/" + upstream.value());
}

/// The operating system may merge the signals of several exited children, so each signal collects all of them.
void SoakDeployment::reapChildren()
{
    childExits_.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        while (true) {
            const ProcessExit childExit = NodeProcess::reapChild();
            if (childExit.process == 0) {
                break;
            }
            for (const auto &member : members_) {
                if (member->process && member->process->id() == childExit.process) {
                    onProcessExit(*member, childExit);
                }
            }
        }
        reapChildren();
    });
}

void SoakDeployment::onProcessExit(Member &member, const ProcessExit &childExit)
{
    member.process->recordExit(childExit.reason);
    const bool wasExpected = std::exchange(member.isExitExpected, false);
    // A process that was asked to stop exits with code 0; a process that was killed exits by SIGKILL.
    const bool exitedAsRequested = childExit.isClean || childExit.reason == KilledBySoakReason;
    if ((!wasExpected || !exitedAsRequested) && !isStopping_) {
        checker_.recordUnexpectedExit(member.number, childExit.reason);
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, RestartDelay);
    timer->async_wait([this, &member, timer](const boost::system::error_code &error) {
        if (!error && !isStopping_ && !member.process->isRunning()) {
            // The platform writes the settings at each start too.
            writeSettings(member, options_.retrySlack);
            member.process->start();
        }
    });
}

}
