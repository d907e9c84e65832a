#include "routes/routetable.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 3> KindWords{"safe", "unsafe", "upload"};

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

}

std::string_view toString(RequestKind kind)
{
    return KindWords.at(static_cast<std::size_t>(kind));
}

RouteTable::RouteTable(RouteVersion version, std::vector<Host> hosts, const std::vector<ServiceEntry> &services,
                       CallerLimits limits)
    : version_(version)
    , limits_(limits)
{
    for (Host &host : hosts) {
        RoutesByPrefix &routes = hosts_[hostKey(host.name)];
        routes.reserve(routes.size() + host.routes.size());
        for (Route &route : host.routes) {
            std::string prefix = route.prefix;
            routes.insert_or_assign(std::move(prefix), std::move(route));
        }
        routeCount_ += host.routes.size();
    }
    for (const ServiceEntry &service : services) {
        services_.insert_or_assign(service.name, service);
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = hosts_.find(hostKey(host));
    if (found == hosts_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    // Each prefix ends with a slash, so only the parts of the path that end with a slash can match. The longest is
    // tried first.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto route = found->second.find(std::string(path.substr(0, slash + 1)));
        if (route != found->second.end()) {
            return &route->second;
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
    for (const auto &[host, routes] : hosts_) {
        for (const auto &[prefix, route] : routes) {
            action(host, route);
        }
    }
}

const ServiceEntry *RouteTable::service(const ServiceName &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

}
