#include "soak/routepublisher.h"

#include <array>
#include <cstdio>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "core/currenttime.h"
#include "soak/upstreampromises.h"

namespace Egretpath
{

namespace json = boost::json;

namespace
{

constexpr std::string_view ConfigKey = "op/config";
/// Number of added routes that a version contains; older ones are removed.
constexpr unsigned MaxAddedRoutes = 2;

std::string milliseconds(Milliseconds duration)
{
    return std::to_string(duration.count()) + "ms";
}

std::string versionText(std::uint64_t version)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08llx", static_cast<unsigned long long>(version));
    return text.data();
}

std::string_view kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Upload:
        return "upload";
    case RequestKind::Download:
        return "download";
    case RequestKind::Unsafe:
        break;
    }
    return "unsafe";
}

CallerRoute makeRoute(const char *key, RequestKind kind, const char *service, double share, const char *region = "")
{
    CallerRoute route;
    route.key = RouteKey(key);
    route.kind = kind;
    route.service = ServiceName(service);
    route.share = share;
    route.region = region;
    return route;
}

CallerRoute makeShortTimeoutRoute(const char *key, const char *service)
{
    CallerRoute route = makeRoute(key, RequestKind::Safe, service, 0.0);
    route.target = Milliseconds(100);
    route.timeout = Milliseconds(300);
    route.callerTimeout = Milliseconds(250);
    return route;
}

json::object makeRule(const CallerRoute &route)
{
    json::object action{
        {"service", route.service.value()}, {"timeout", milliseconds(route.timeout)}, {"max_attempts", 3}};
    action["allowed_regions"] = route.region.empty() ? json::array() : json::array{route.region};
    return {{"name", route.key.value()},
            {"kind", kindName(route.kind)},
            {"target_latency", milliseconds(route.target)},
            {"priority", route.priority},
            {"match", json::object{{"prefix", RoutePublisher::prefixOf(route.key)}}},
            {"action", std::move(action)}};
}

}

RoutePublisher::RoutePublisher(StandinStore &store, PublishedVersions &versions, Random random)
    : store_(store)
    , versions_(versions)
    , random_(random)
    , routes_{makeRoute("read", RequestKind::Safe, "statements", 0.5),
              makeRoute("pay", RequestKind::Unsafe, "arrangements", 0.25),
              makeRoute("upload", RequestKind::Upload, "intake", 0.08),
              makeRoute("file", RequestKind::Unsafe, "intake", 0.12, "north"),
              makeShortTimeoutRoute("rate", "arrangements"),
              makeShortTimeoutRoute("eligible", "intake")}
{
}

std::string RoutePublisher::prefixOf(const RouteKey &route)
{
    return "/" + route.value() + "/";
}

CallerRoute RoutePublisher::movingRoute() const
{
    return makeRoute("moving", RequestKind::Safe, publishedCount_ % 2 == 0 ? "statements" : "arrangements", 0.03);
}

CallerRoute RoutePublisher::newestRoute() const
{
    return makeRoute(("new-" + std::to_string(publishedCount_)).c_str(), RequestKind::Safe, "statements", 0.02);
}

std::vector<CallerRoute> RoutePublisher::currentRoutes() const
{
    std::vector<CallerRoute> routes = routes_;
    routes.push_back(movingRoute());
    for (unsigned back = 0; back < MaxAddedRoutes && back < publishedCount_; ++back) {
        CallerRoute route = newestRoute();
        route.key = RouteKey("new-" + std::to_string(publishedCount_ - back));
        routes.push_back(std::move(route));
    }
    return routes;
}

std::string RoutePublisher::configText(const std::vector<CallerRoute> &routes) const
{
    json::array rules;
    for (const CallerRoute &route : routes) {
        rules.push_back(makeRule(route));
    }
    for (unsigned number = 0; number < idleRoutes_; ++number) {
        rules.push_back(makeRule(makeShortTimeoutRoute(("idle-" + std::to_string(number)).c_str(), "intake")));
    }
    json::array clusters;
    for (const char *service : {"statements", "arrangements", "intake"}) {
        clusters.push_back(json::object{{"name", service},
                                        {"health_check_path", "/health"},
                                        {"max_connections", 220},
                                        {"cold_per_s", UpstreamBounds().coldRate}});
    }
    json::object listener{{"hostname", host()}, {"rules", std::move(rules)}};
    const json::object config{{"version", versionText(version_)},
                              {"listeners", json::array{std::move(listener)}},
                              {"clusters", std::move(clusters)},
                              {"limits", json::object{{"idle_timeout", "10s"}, {"header_timeout", "5s"}}}};
    return json::serialize(config);
}

void RoutePublisher::publishNext()
{
    ++publishedCount_;
    constexpr std::uint64_t MaxStep = 7;
    version_ += 1 + random_() % MaxStep;
    const std::vector<CallerRoute> routes = currentRoutes();
    PublishedVersions::Version version{version_, currentTime(), {}};
    for (const CallerRoute &route : routes) {
        version.services[route.key] = route.service;
    }
    versions_.publish(std::move(version));
    store_.put(std::string(ConfigKey), configText(routes));
}

void RoutePublisher::publishInvalid()
{
    const std::string completeText = configText(currentRoutes());
    store_.put(std::string(ConfigKey), completeText.substr(0, completeText.size() / 2));
}

}
