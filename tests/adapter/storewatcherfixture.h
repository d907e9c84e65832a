#pragma once

#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "http/httpserver.h"
#include "http/tcpendpoint.h"
#include "platform/storewatcher.h"
#include "standins/standinrelay.h"
#include "standins/standinstore.h"

namespace Egretpath
{

inline std::string routesText(const std::string &version)
{
    return R"({"version":")" + version + R"(","listeners":[],"clusters":[]})";
}

inline std::string routesText(int version)
{
    std::ostringstream text;
    text << std::hex << version;
    return routesText(text.str());
}

inline std::string entryText(const std::string &state)
{
    return R"({"service":"statements","address":"10.0.0.1:8301","zone":"north-a","slots":6,"state":")" + state
        + R"("})";
}

/// A change has to be in force at all nodes within two seconds; its way from the reader to the others may take 0.5 s of
/// them (propagationtest).
constexpr Milliseconds MaxReaderDelay{1500};
/// Longest interval of calls to a store that does not answer.
constexpr Milliseconds MaxInterval{700};

/// Records what a watcher reports.
class RecordingSink final : public CatalogSink
{
public:
    bool wantsRoutes(RouteVersion read) override { return read > brought; }
    void onRoutesRead(PublishedRoutes routes) override { version = routes.table->version(); }
    void onListRead(const InstanceSnapshot &snapshot) override
    {
        ++listReads;
        listed = snapshot.records.size();
        for (const InstanceRecord &record : snapshot.records) {
            upstreams[record.id.value()] = record.revision;
        }
    }
    void onChangesRead(const std::vector<InstanceChange> &changes, StoreRevision /*reached*/) override
    {
        for (const InstanceChange &change : changes) {
            changedIds.push_back(change.id.value());
            upstreams[change.id.value()] = change.revision;
        }
    }
    void onEvacuationsRead(const EvacuationSnapshot &snapshot) override { evacuated.applySnapshot(snapshot); }
    void onEvacuationChangesRead(const std::vector<EvacuationChange> &changes, StoreRevision reached) override
    {
        for (const EvacuationChange &change : changes) {
            evacuated.applyChange(change);
        }
        evacuated.advanceTo(reached);
    }
    void onSourceLost(std::string_view /*reason*/) override
    {
        isLost = true;
        ++losses;
    }
    void onSourceRestored() override { isLost = false; }
    void onEntryRefused(std::string_view key, std::string_view /*reason*/) override { refusedKeys.emplace_back(key); }
    void onStoreCalled(std::string_view call, std::string_view outcome) override
    {
        ++calls[std::string(outcome)];
        ++callsByName[std::string(call)];
    }
    void onConfirmed(TimePoint at) override
    {
        ++confirmations;
        confirmedAt = at;
    }
    void onStoreAnswered() override { ++answers; }
    void onStoreOverdue() override { ++overdueAnswers; }
    void onWatchSilent(const SilentWatch &silent) override
    {
        ++silentWatches;
        ++silentWatchesByCall[std::string(silent.foundBy)];
    }

    EvacuatedZones evacuated;
    RouteVersion version;
    /// The routes that another node has brought.
    RouteVersion brought;
    std::size_t listed = 0;
    int listReads = 0;
    std::vector<std::string> changedIds;
    /// The latest change of each upstream, also of those that left.
    std::map<std::string, StoreRevision> upstreams;
    std::vector<std::string> refusedKeys;
    /// The number of calls for each outcome.
    std::map<std::string, int> calls;
    std::map<std::string, int> callsByName;
    int confirmations = 0;
    TimePoint confirmedAt;
    bool isLost = false;
    int losses = 0;
    int answers = 0;
    int overdueAnswers = 0;
    int silentWatches = 0;
    std::map<std::string, int> silentWatchesByCall;
};

/// A stand-in store, a relay in front of it, and a watcher that reads through the relay.
class StoreWatcherFixture
{
public:
    StoreWatcherFixture()
        : store(context.get_executor())
        , server(context.get_executor(), HttpLimits(),
                 [this](HttpExchange &exchange) { return store.handle(exchange); })
        , relay(context.get_executor(), *toTcpEndpoint(server.listen(Endpoint("127.0.0.1:0")).value()))
        , storeAddress(relay.listen(*toTcpEndpoint(Endpoint("127.0.0.1:0"))))
        , watcher(context.get_executor(), storeAddress, Platform::FleetLayout{{}, 7620}, Random(1))
    {
        watcher.attach(sink);
    }

    /// The first routes and the first upstream, i-1.
    void publishFirst()
    {
        store.put("op/config", routesText("05"));
        store.put("servers/i-1", entryText("ready"));
    }

    /// Lets the watcher read until both its watches wait. Returns false if they don't.
    bool beginReading()
    {
        watcher.resume(StoreRevision(), false, MaxInterval);
        return runUntil([&] { return store.requestedWaits().size() == 2; });
    }

    /// Runs until @p condition holds. Returns false if it does not hold within @p limit.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit = Milliseconds(5000))
    {
        const TimePoint end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(Milliseconds(5));
        }
        return condition();
    }

    boost::asio::io_context context;
    RecordingSink sink;
    StandinStore store;
    HttpServer server;
    StandinRelay relay;
    Endpoint storeAddress;
    Platform::StoreWatcher watcher;
};

}
