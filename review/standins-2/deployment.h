// A small deployment: the store, instances of two services, and a node beside each.
#pragma once

#include "standins.h"

namespace Review
{

struct Place
{
    std::string zone, region, service;
};

/// Six machines in three zones, for the services desk and board.
std::vector<Place> smallDeployment();

class Deployment
{
public:
    explicit Deployment(const std::vector<Place> &places);
    ~Deployment();
    /// Starts the instances, writes the first config and starts the nodes; returns whether all became ready.
    bool start();
    void writeConfig();
    /// Starts the supervision of the processes, as the platform does it: a process that exceeds its memory is killed,
    /// and one that has ended is started again after a short delay.
    void supervise();
    static std::string route(const std::string &host, const std::string &prefix, const std::string &kind,
                             const std::string &service, int timeoutMs, int maxAttempts);

    std::vector<std::string> ips;
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<InstanceOptions> instanceOptions;
    std::unique_ptr<Store> store;
    Runs runs;
    std::string rules;
    std::string limits = "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
                         "\"idle_timeout\":\"15000ms\"}";
    std::string clusters;
    int version = 7;
    int callers = 0;
    std::atomic<int> ends{0};
    std::vector<std::atomic<std::uint64_t>> peakKb;

private:
    std::thread supervisor_;
    std::atomic<bool> isOver_{false};
};

}
