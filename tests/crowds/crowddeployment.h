#pragma once

#include <array>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "crowds/plainclient.h"
#include "crowds/processmemory.h"
#include "crowds/rawupstream.h"
#include "http/httpserver.h"
#include "soak/nodeprocess.h"
#include "standins/standinstore.h"

namespace Egretpath
{

struct CrowdLimits
{
    std::uint32_t memoryMb = 64;
    std::uint64_t bodyBytes = std::uint64_t{24} * 1024 * 1024;
    /// The requests that each upstream runs at the same time.
    std::uint32_t slots = 6;
};

/// Two real nodes with an upstream each, and the platform's store. All callers are at the first node: requests to
/// HerePath are for the upstream beside it, those to AwayPath for the one beside the second node.
///
/// The upstreams answer with the number of body bytes that they got, or with as many bytes as the last segment of the
/// path asks for. Thread safety: none.
class CrowdDeployment
{
public:
    static constexpr const char *HerePath = "/here/";
    static constexpr const char *AwayPath = "/away/";
    static constexpr const char *Host = "orders.example";

    explicit CrowdDeployment(CrowdLimits limits, RawUpstream::Answerer answerer = nullptr);
    /// Kills the nodes.
    ~CrowdDeployment();
    CrowdDeployment(const CrowdDeployment &) = delete;
    CrowdDeployment &operator=(const CrowdDeployment &) = delete;

    /// Waits until both nodes serve the config. Returns false if they don't in time.
    [[nodiscard]] bool waitUntilServing();
    /// Where the first node takes callers.
    [[nodiscard]] Endpoint callers() const;
    [[nodiscard]] std::vector<WatchedProcess> watched() const;
    /// Whether both processes run still.
    [[nodiscard]] bool isAlive() const;
    /// The most that a process may use.
    [[nodiscard]] std::uint64_t memoryBound() const;
    /// Waits until no process uses more than @p bytes beyond what it had when all served. Returns false if some still
    /// do after a long time.
    [[nodiscard]] bool waitUntilMemoryIsBack(std::uint64_t bytes) const;

    /// The head of an order to @p path, up to the fields that say how its body comes.
    [[nodiscard]] static std::string orderHead(const std::string &path);
    /// The body of ordinary orders.
    static constexpr const char *OrdinaryBody = "order";
    /// Sends an order with @p body. Comes back after a refusal that allows it, as callers do.
    [[nodiscard]] PlainAnswer order(const std::string &path, const std::string &body) const;

private:
    void listenForStore();
    void publish();
    void startNode(std::size_t number);
    [[nodiscard]] std::string settingsOf(std::size_t number) const;

    CrowdLimits limits_;
    std::filesystem::path folder_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    StandinStore store_;
    HttpServer storeServer_;
    std::array<std::unique_ptr<RawUpstream>, 2> upstreams_;
    std::array<std::unique_ptr<NodeProcess>, 2> nodes_;
    std::vector<std::uint64_t> startBytes_;
    std::thread thread_;
};

/// Reads the rest of the body and answers with its size, or with as many bytes as the path asks for.
[[nodiscard]] boost::asio::awaitable<void> answerWithSize(boost::asio::ip::tcp::socket &socket, RawRequest request);

/// Whether @p request is an ordinary order, or one of those by which the deployment is found to serve.
[[nodiscard]] bool isOrdinaryOrder(const RawRequest &request);

/// The fields that make a success count: the attempt's id as in @p request, and a signature.
[[nodiscard]] std::string successFields(const RawRequest &request);

}
