#include "soak/operators.h"

#include <array>
#include <cstdio>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace json = boost::json;

namespace
{

constexpr std::string_view ConfigKey = "op/config";
/// How many of the added routes stay.
constexpr unsigned AddedRoutesKept = 2;

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

std::string_view kindWord(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Upload:
        return "upload";
    case RequestKind::Unsafe:
        break;
    }
    return "unsafe";
}

CallerRoute makeRoute(const char *key, RequestKind kind, const char *service, double share)
{
    CallerRoute route;
    route.key = RouteKey(key);
    route.kind = kind;
    route.service = ServiceName(service);
    route.share = share;
    return route;
}

CallerRoute makeCheck(const char *key, const char *service)
{
    CallerRoute route = makeRoute(key, RequestKind::Safe, service, 0.0);
    route.target = Milliseconds(100);
    route.timeout = Milliseconds(300);
    route.patience = Milliseconds(250);
    return route;
}

json::object ruleOf(const CallerRoute &route)
{
    json::object action{
        {"service", route.service.value()}, {"timeout", milliseconds(route.timeout)}, {"max_attempts", 3}};
    return {{"name", route.key.value()},
            {"kind", kindWord(route.kind)},
            {"target_latency", milliseconds(route.target)},
            {"priority", route.priority},
            {"match", json::object{{"prefix", Operators::prefixOf(route.key)}}},
            {"action", std::move(action)}};
}

}

Operators::Operators(StandinStore &store, PublishedVersions &versions, Random random)
    : store_(store)
    , versions_(versions)
    , random_(random)
    , routes_{makeRoute("read", RequestKind::Safe, "statements", 0.5),
              makeRoute("pay", RequestKind::Unsafe, "arrangements", 0.25),
              makeRoute("upload", RequestKind::Upload, "intake", 0.08),
              makeRoute("file", RequestKind::Unsafe, "intake", 0.12),
              makeCheck("rate", "arrangements"),
              makeCheck("eligible", "intake")}
{
}

std::string Operators::prefixOf(const RouteKey &route)
{
    return "/" + route.value() + "/";
}

CallerRoute Operators::movingRoute() const
{
    return makeRoute("moving", RequestKind::Safe, published_ % 2 == 0 ? "statements" : "arrangements", 0.03);
}

CallerRoute Operators::newestRoute() const
{
    return makeRoute(("new-" + std::to_string(published_)).c_str(), RequestKind::Safe, "statements", 0.02);
}

std::vector<CallerRoute> Operators::currentRoutes() const
{
    std::vector<CallerRoute> routes = routes_;
    routes.push_back(movingRoute());
    for (unsigned back = 0; back < AddedRoutesKept && back < published_; ++back) {
        CallerRoute route = newestRoute();
        route.key = RouteKey("new-" + std::to_string(published_ - back));
        routes.push_back(std::move(route));
    }
    return routes;
}

std::string Operators::configText(const std::vector<CallerRoute> &routes) const
{
    json::array rules;
    for (const CallerRoute &route : routes) {
        rules.push_back(ruleOf(route));
    }
    for (unsigned number = 0; number < idleRoutes_; ++number) {
        rules.push_back(ruleOf(makeCheck(("idle-" + std::to_string(number)).c_str(), "intake")));
    }
    json::array clusters;
    for (const char *service : {"statements", "arrangements", "intake"}) {
        clusters.push_back(json::object{{"name", service}, {"health_check_path", "/health"}, {"max_connections", 220}});
    }
    json::object listener{{"hostname", host()}, {"rules", std::move(rules)}};
    const json::object config{{"version", versionText(version_)},
                              {"listeners", json::array{std::move(listener)}},
                              {"clusters", std::move(clusters)},
                              {"limits", json::object{{"idle_timeout", "10s"}, {"header_timeout", "5s"}}}};
    return json::serialize(config);
}

void Operators::publishNext()
{
    ++published_;
    constexpr std::uint64_t LargestStep = 7;
    version_ += 1 + random_() % LargestStep;
    const std::vector<CallerRoute> routes = currentRoutes();
    PublishedVersions::Version version{version_, currentTime(), {}};
    for (const CallerRoute &route : routes) {
        version.services[route.key] = route.service;
    }
    versions_.publish(std::move(version));
    store_.put(std::string(ConfigKey), configText(routes));
}

void Operators::publishBroken()
{
    const std::string whole = configText(currentRoutes());
    store_.put(std::string(ConfigKey), whole.substr(0, whole.size() / 2));
}

}
