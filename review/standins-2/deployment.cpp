#include "deployment.h"

#include <cstdio>

namespace Review
{

namespace
{

/// The time in which a process has become the node's program.
constexpr double StartMs = 300;

}

std::vector<Place> smallDeployment()
{
    std::vector<Place> places;
    for (const auto &[zone, region] :
         {std::pair("waw-a", "mazowsze"), std::pair("kat-a", "slask"), std::pair("gda-a", "pomorze")}) {
        places.push_back({zone, region, "desk"});
        places.push_back({zone, region, "board"});
    }
    return places;
}

Deployment::Deployment(const std::vector<Place> &places)
    : peakKb(places.size())
{
    for (std::size_t i = 0; i < places.size(); ++i) {
        ips.push_back("127.0.7." + std::to_string(10 + i));
    }
    std::vector<std::string> all = ips;
    all.emplace_back("127.0.7.1");
    callers = freePort(all);
    const int ready = freePort(all);
    const int peers = freePort(all);
    const int starters = freePort(all);
    const int metrics = freePort(all);
    const int instance = freePort(all);
    const int storePort = freePort(all);
    store = std::make_unique<Store>("127.0.7.1", storePort);
    std::string zones;
    std::set<std::string> seen;
    for (const Place &place : places) {
        if (seen.insert(place.zone).second) {
            zones += "\"" + place.zone + "\" = \"" + place.region + "\"\n";
        }
    }
    for (std::size_t i = 0; i < places.size(); ++i) {
        NodeOptions node;
        node.name = "sidecar-" + places[i].zone + "-" + std::to_string(i + 1);
        node.service = places[i].service;
        node.zone = places[i].zone;
        node.region = places[i].region;
        node.ip = ips[i];
        node.store = "127.0.7.1:" + std::to_string(storePort);
        node.zones = zones;
        node.callers = callers;
        node.ready = ready;
        node.peers = peers;
        node.starters = starters;
        node.metrics = metrics;
        node.instance = instance;
        node.seeds = "\"" + ips[0] + ":" + std::to_string(starters) + "\"";
        nodes.push_back(std::make_unique<Node>(node));
        InstanceOptions options;
        options.id = "i-" + newId().substr(0, 10);
        options.service = places[i].service;
        options.zone = places[i].zone;
        options.ip = ips[i];
        options.port = instance;
        instanceOptions.push_back(options);
    }
    std::set<std::string> services;
    for (const Place &place : places) {
        if (services.insert(place.service).second) {
            clusters += std::string(clusters.empty() ? "" : ",") + "{\"name\":\"" + place.service
                + "\",\"health_check_path\":\"/health\",\"max_connections\":220,\"protocol\":\"h1\",\"tls\":false}";
        }
    }
}

Deployment::~Deployment()
{
    isOver_ = true;
    if (supervisor_.joinable()) {
        supervisor_.join();
    }
    nodes.clear();
    instances.clear();
}

std::string Deployment::route(const std::string &host, const std::string &prefix, const std::string &kind,
                              const std::string &service, int timeoutMs, int maxAttempts)
{
    return "{\"hostname\":\"" + host + "\",\"rules\":[{\"name\":\"r-" + host.substr(0, host.find('.'))
        + "\",\"kind\":\"" + kind + "\",\"target_latency\":\"500ms\",\"priority\":1,\"match\":{\"prefix\":\"" + prefix
        + "\"},\"action\":{\"service\":\"" + service + "\",\"timeout\":\"" + std::to_string(timeoutMs)
        + "ms\",\"max_attempts\":" + std::to_string(maxAttempts) + "}}]}";
}

void Deployment::writeConfig()
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    store->put("op/config",
               std::string("{\"version\":\"") + text + "\",\"limits\":" + limits
                   + ",\"base_version\":\"00000005\",\"listeners\":[" + rules + "],\"clusters\":[" + clusters + "]}");
    version += 3;
}

bool Deployment::start()
{
    for (const InstanceOptions &options : instanceOptions) {
        instances.push_back(std::make_unique<Instance>(options, *store, runs));
    }
    writeConfig();
    for (const auto &node : nodes) {
        node->start();
    }
    for (const auto &node : nodes) {
        if (!node->waitReady(10000)) {
            record("not ready: " + node->options.name);
            return false;
        }
    }
    return true;
}

void Deployment::supervise()
{
    supervisor_ = std::thread([this] {
        std::vector<double> startAt(nodes.size(), 0);
        std::vector<double> startedAt(nodes.size(), now());
        while (!isOver_) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                Node &node = *nodes[i];
                std::string how;
                if (node.hasEnded(how)) {
                    record(node.options.name + " ended by itself: " + how);
                    ++ends;
                    startAt[i] = now() + 300;
                }
                if (startAt[i] > 0 && now() >= startAt[i]) {
                    startAt[i] = 0;
                    node.start();
                    startedAt[i] = now();
                }
                // Before that, the process may still be a copy of this one.
                const bool isNode = node.pid > 0 && now() - startedAt[i] > StartMs;
                const std::uint64_t kb = isNode ? node.residentKb() : 0;
                if (kb > peakKb[i]) {
                    peakKb[i] = kb;
                }
                if (kb > static_cast<std::uint64_t>(node.options.memoryMb) * 1024) {
                    record("platform: " + node.options.name + " has " + std::to_string(kb) + " kB resident, over "
                           + std::to_string(node.options.memoryMb) + " MB: it is killed");
                    node.signal(9);
                }
            }
            sleepMs(1);
        }
    });
}

}
