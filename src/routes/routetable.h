#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// A route's name in logs and metrics.
using RouteName = Name<struct RouteNameTag>;
/// The number of a route table; larger is newer.
using RouteVersion = StrongType<struct RouteVersionTag, std::uint64_t>;

/// What may be done with a request when it is not known whether it ran.
enum class RequestKind : std::uint8_t {
    /// Idempotent: it may run more than once.
    Safe,
    /// It may run once at most.
    Unsafe,
    /// As Unsafe, with a large body.
    Upload,
};

/// The stable word for @p kind in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(RequestKind kind);

/// A service that takes part of a route's requests.
struct Destination
{
    ServiceName service;
    /// Relative to the other destinations of the route.
    std::uint32_t weight = 1;
};

/// What holds for the requests under one host and path prefix.
struct Route
{
    RouteName name;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::Unsafe;
    /// A response within this time is as good as an immediate one.
    Milliseconds targetLatency{0};
    /// The longest time for which a caller is kept waiting.
    Milliseconds timeout{0};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Upstreams to which one request may be sent in all.
    std::uint32_t maxAttempts = 1;
    std::vector<Destination> destinations;
};

/// What is known of a service besides its upstreams.
struct ServiceEntry
{
    ServiceName name;
    std::string healthPath = "/health";
    /// Connections that one upstream takes from all its callers together.
    std::uint32_t connectionCap = 64;
};

/// What callers may send, and how slowly.
struct CallerLimits
{
    Bytes headerBytes{16UL * 1024};
    Bytes bodyBytes{64UL * 1024 * 1024};
    Milliseconds headerTime{3000};
    Milliseconds idleTime{15'000};
};

/// The operators' routes: which service takes a request, and within which limits.
///
/// Immutable; a change is a new table with a larger version. Thread safety: const access may be shared.
class RouteTable
{
public:
    /// The routes of one host.
    struct Host
    {
        std::string name;
        std::vector<Route> routes;
    };

    RouteTable(RouteVersion version, std::vector<Host> hosts, const std::vector<ServiceEntry> &services,
               CallerLimits limits);

    [[nodiscard]] RouteVersion version() const { return version_; }
    [[nodiscard]] const CallerLimits &limits() const { return limits_; }

    /// The route with the longest prefix of @p path among those of @p host, or null. The port of @p host and the query
    /// of @p path don't count, nor does the case of the host. Errors: none.
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;
    /// Null for a service that the table doesn't name. Errors: none.
    [[nodiscard]] const ServiceEntry *service(const ServiceName &name) const;
    /// Calls @p action with each route and its host, in no order.
    void forEachRoute(const std::function<void(const std::string &, const Route &)> &action) const;
    [[nodiscard]] std::size_t routeCount() const { return routeCount_; }

private:
    using RoutesByPrefix = std::unordered_map<std::string, Route>;

    RouteVersion version_;
    CallerLimits limits_;
    std::unordered_map<std::string, RoutesByPrefix> hosts_;
    std::unordered_map<ServiceName, ServiceEntry> services_;
    std::size_t routeCount_ = 0;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

}
