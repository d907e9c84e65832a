#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/requestrate.h"
#include "core/strongtype.h"
#include "routes/routeregions.h"

namespace Egretpath
{

/// A route's name in logs and metrics.
using RouteName = Name<struct RouteNameTag>;
/// Version of a route table; a newer table has a larger version.
using RouteVersion = StrongType<struct RouteVersionTag, std::uint64_t>;

/// Whether a request may be sent again when it is not known whether it ran.
enum class RequestKind : std::uint8_t {
    /// The request is idempotent and may run more than once.
    Safe,
    /// The request may run at most once.
    Unsafe,
    /// Same as Unsafe, for requests with a large body.
    Upload,
    /// Same as Safe, for requests whose answers may be large. Such answers are passed on while they are read.
    Download,
};

/// The last enumerator, used to check kinds received from nodes of other versions.
inline constexpr RequestKind LastRequestKind = RequestKind::Download;

/// Returns the stable word for @p kind in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(RequestKind kind);
/// Whether a request of @p kind may run more than once. Thread safety: safe.
[[nodiscard]] constexpr bool isIdempotent(RequestKind kind)
{
    return kind == RequestKind::Safe || kind == RequestKind::Download;
}

/// A service that takes part of a route's requests.
struct Destination
{
    ServiceName service;
    /// Share of the requests, relative to the weights of the route's other destinations.
    std::uint32_t weight = 1;
};

/// Destinations and limits of the requests with one host and path prefix.
struct Route
{
    RouteName name;
    /// Starts and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Whether the published kind is one that this version does not know. The kind is Unsafe then.
    bool isKindUnknown = false;
    /// A response within this time is as good as an immediate one.
    Milliseconds targetLatency{0};
    /// The longest time for which a caller is kept waiting.
    Milliseconds timeout{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of upstreams to which one request may be sent in all.
    std::uint32_t maxAttempts = 1;
    std::vector<Destination> destinations;
    RouteRegions regions;
};

/// A route and the host whose requests it takes. Immutable, so that several tables share it.
struct HostRoute
{
    /// In lower case, without a port.
    std::string host;
    Route route;
    /// Hash of all the above but the regions, which nodes of an earlier version don't know; the same in all processes.
    /// A kind after Upload counts as Unsafe, since nodes that don't know it read it as such.
    std::uint64_t contentHash = 0;
};

using HostRoutePointer = std::shared_ptr<const HostRoute>;

/// Returns @p route with its content hash. Thread safety: safe.
[[nodiscard]] HostRoutePointer makeHostRoute(std::string host, Route route);

/// Settings of a service, apart from its list of upstreams.
struct ServiceEntry
{
    ServiceName name;
    std::string healthPath = "/health";
    /// Maximum number of connections that one upstream accepts from all its callers together.
    std::uint32_t maxConnections = 64;
    /// The requests that one upstream takes from all its callers together while it is cold; nothing if any number.
    std::optional<RequestRate> coldRate;

    friend bool operator==(const ServiceEntry &, const ServiceEntry &) = default;
};

/// Limits on the size of what callers send and on the time that they take.
struct CallerLimits
{
    /// Maximum size of the request head.
    Bytes headerBytes{16UL * 1024};
    /// Maximum size of the request body.
    Bytes bodyBytes{64UL * 1024 * 1024};
    /// Maximum time until the request head is complete.
    Milliseconds headerTime{3000};
    /// Maximum time for which a connection may be idle or make no progress.
    Milliseconds idleTime{15'000};
};

/// The routes that operators configured: which service takes a request, and within which limits.
///
/// Immutable; a change makes a new table with a larger version. Thread safety: const access may be shared.
class RouteTable
{
public:
    /// The routes of one host.
    struct Host
    {
        std::string name;
        std::vector<Route> routes;
    };

    using Services = std::map<ServiceName, ServiceEntry>;

    /// If @p hosts has several routes with one host and prefix, the last one counts.
    RouteTable(RouteVersion version, std::vector<Host> hosts, const std::vector<ServiceEntry> &services,
               CallerLimits limits);
    /// Precondition: @p routes are sorted by host and prefix, without duplicates.
    RouteTable(RouteVersion version, std::vector<HostRoutePointer> routes, Services services, CallerLimits limits);

    [[nodiscard]] RouteVersion version() const { return version_; }
    [[nodiscard]] const CallerLimits &limits() const { return limits_; }

    /// Returns the route of @p host with the longest prefix of @p path, or null. The port and the case of @p host and
    /// the query of @p path are ignored. Errors: none.
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;
    /// Returns the entry of a service, or null if the table has none. Errors: none.
    [[nodiscard]] const ServiceEntry *service(const ServiceName &name) const;
    /// Calls @p action with each route and its host, sorted by host and prefix.
    void forEachRoute(const std::function<void(const std::string &, const Route &)> &action) const;
    /// The routes, sorted by host and prefix.
    [[nodiscard]] const std::vector<HostRoutePointer> &routes() const { return routes_; }
    [[nodiscard]] const Services &services() const { return services_; }
    [[nodiscard]] std::size_t routeCount() const { return routes_.size(); }
    /// Hash of the content, without regions of routes and cold rates of services, which nodes of an earlier version
    /// don't know; the same in all processes. Tables that differ in the rest have different hashes, but for chance.
    [[nodiscard]] std::uint64_t contentHash() const { return contentHash_; }

private:
    [[nodiscard]] const Route *find(std::string_view host, std::string_view prefix) const;
    [[nodiscard]] std::uint64_t hashContent() const;

    RouteVersion version_;
    CallerLimits limits_;
    std::vector<HostRoutePointer> routes_;
    Services services_;
    std::uint64_t contentHash_ = 0;
};

/// Whether the host and prefix of @p left come before those of @p right in a table. Thread safety: safe.
[[nodiscard]] bool comesBefore(const HostRoute &left, const HostRoute &right);

using RouteTablePointer = std::shared_ptr<const RouteTable>;

}
