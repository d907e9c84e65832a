#pragma once

#include <array>
#include <unordered_map>

#include "core/clock.h"
#include "core/identity.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// What ingresses say about the calls that arrive at this node's upstream: which routes of which calling services are
/// routes of dependent calls.
///
/// A node that has just started, or that sees few requests, learns this from the outcome of its first call. At least
/// two ingresses must say so, so that the error of one node does not spread. Thread safety: none; one owner. Errors:
/// none.
class DependentRouteReports
{
public:
    /// Records that @p ingress has evidence that calls of @p route from @p caller are dependent.
    void record(const ServiceName &caller, const RouteName &route, const NodeIdentity &ingress, TimePoint now);
    /// Whether two ingresses said so within the last 60 s.
    [[nodiscard]] bool isDependent(const ServiceName &caller, const RouteName &route, TimePoint now) const;

private:
    struct Report
    {
        NodeIdentity ingress;
        TimePoint receivedAt;
    };
    /// The latest reports of two different ingresses.
    using Reports = std::array<Report, 2>;

    std::unordered_map<ServiceName, std::unordered_map<RouteName, Reports>> reports_;
};

}
