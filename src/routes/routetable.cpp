#include "routes/routetable.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <tuple>
#include <utility>

#include "core/digest.h"

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 4> KindWords{"safe", "unsafe", "upload", "download"};

/// Returns the key under which @p host is looked up: in lower case, without the port.
std::string hostKey(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string key(hasPort ? host.substr(0, colon) : host);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return key;
}

/// Combines values into one hash. Texts are hashed with their lengths, so that they can't run into each other.
class ContentHash
{
public:
    ContentHash() { bytes_.reserve(UsualSize); }

    ContentHash &add(std::uint64_t number)
    {
        bytes_.append(reinterpret_cast<const char *>(&number), sizeof(number));
        return *this;
    }
    ContentHash &add(std::int64_t number) { return add(static_cast<std::uint64_t>(number)); }
    ContentHash &add(std::string_view text)
    {
        add(std::uint64_t{text.size()});
        bytes_.append(text);
        return *this;
    }
    [[nodiscard]] std::uint64_t value() const { return stableHash(bytes_); }

private:
    /// Bytes of a usual route.
    static constexpr std::size_t UsualSize = 256;

    std::string bytes_;
};

/// The kind as nodes of an earlier version read it, so that the hash of a table is the same there.
RequestKind kindOfEarlierNodes(RequestKind kind)
{
    return kind > RequestKind::Upload ? RequestKind::Unsafe : kind;
}

}

std::string_view toString(RequestKind kind)
{
    return KindWords.at(static_cast<std::size_t>(kind));
}

HostRoutePointer makeHostRoute(std::string host, Route route)
{
    ContentHash hash;
    hash.add(host)
        .add(route.name.value())
        .add(route.prefix)
        .add(static_cast<std::uint64_t>(kindOfEarlierNodes(route.kind)));
    hash.add(route.targetLatency.count()).add(route.timeout.count());
    hash.add(std::uint64_t{route.priority}).add(std::uint64_t{route.maxAttempts});
    for (const Destination &destination : route.destinations) {
        hash.add(destination.service.value()).add(std::uint64_t{destination.weight});
    }
    return std::make_shared<const HostRoute>(HostRoute{std::move(host), std::move(route), hash.value()});
}

bool comesBefore(const HostRoute &left, const HostRoute &right)
{
    return std::tie(left.host, left.route.prefix) < std::tie(right.host, right.route.prefix);
}

RouteTable::RouteTable(RouteVersion version, std::vector<Host> hosts, const std::vector<ServiceEntry> &services,
                       CallerLimits limits)
    : version_(version)
    , limits_(limits)
{
    for (Host &host : hosts) {
        const std::string key = hostKey(host.name);
        for (Route &route : host.routes) {
            routes_.push_back(makeHostRoute(key, std::move(route)));
        }
    }
    // Reversed, so that the last of several routes with one host and prefix comes first and is kept.
    std::reverse(routes_.begin(), routes_.end());
    std::stable_sort(routes_.begin(), routes_.end(),
                     [](const auto &left, const auto &right) { return comesBefore(*left, *right); });
    const auto duplicates = std::unique(routes_.begin(), routes_.end(), [](const auto &left, const auto &right) {
        return !comesBefore(*left, *right);
    });
    routes_.erase(duplicates, routes_.end());
    for (const ServiceEntry &service : services) {
        services_.insert_or_assign(service.name, service);
    }
    contentHash_ = hashContent();
}

RouteTable::RouteTable(RouteVersion version, std::vector<HostRoutePointer> routes, Services services,
                       CallerLimits limits)
    : version_(version)
    , limits_(limits)
    , routes_(std::move(routes))
    , services_(std::move(services))
    , contentHash_(hashContent())
{
}

std::uint64_t RouteTable::hashContent() const
{
    ContentHash hash;
    hash.add(version_.value()).add(limits_.headerBytes.value()).add(limits_.bodyBytes.value());
    hash.add(limits_.headerTime.count()).add(limits_.idleTime.count());
    for (const HostRoutePointer &route : routes_) {
        hash.add(route->contentHash);
    }
    for (const auto &[name, service] : services_) {
        hash.add(name.value()).add(service.healthPath).add(std::uint64_t{service.maxConnections});
    }
    return hash.value();
}

const Route *RouteTable::find(std::string_view host, std::string_view prefix) const
{
    const auto isBefore = [host, prefix](const HostRoutePointer &route) {
        const std::string_view routeHost = route->host;
        return routeHost != host ? routeHost < host : route->route.prefix < prefix;
    };
    const auto found = std::partition_point(routes_.begin(), routes_.end(), isBefore);
    const bool isMatch = found != routes_.end() && (*found)->host == host && (*found)->route.prefix == prefix;
    return isMatch ? &(*found)->route : nullptr;
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const std::string key = hostKey(host);
    path = path.substr(0, path.find('?'));
    // Each prefix ends with a slash, so only the parts of the path that end with a slash can match. The longest is
    // tried first.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        if (const Route *route = find(key, path.substr(0, slash + 1))) {
            return route;
        }
        if (slash == 0) {
            break;
        }
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

void RouteTable::forEachRoute(const std::function<void(const std::string &, const Route &)> &action) const
{
    for (const HostRoutePointer &route : routes_) {
        action(route->host, route->route);
    }
}

const ServiceEntry *RouteTable::service(const ServiceName &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

}
