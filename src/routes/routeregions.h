#pragma once

#include <string>
#include <vector>

#include "core/strongtype.h"

namespace Egretpath
{

/// The regions in which the requests of a route may be served.
///
/// A default object names no regions and allows all of them. Thread safety: const access may be shared. Errors: none.
class RouteRegions
{
public:
    RouteRegions() = default;
    /// Allows only @p names; all regions if @p names is empty.
    explicit RouteRegions(std::vector<RegionName> names);

    [[nodiscard]] bool allows(const RegionName &region) const;
    /// Whether the route may be served in some regions only.
    [[nodiscard]] bool isRestricted() const { return !names_.empty(); }
    /// The allowed regions, sorted, without duplicates; empty if all are allowed.
    [[nodiscard]] const std::vector<RegionName> &names() const { return names_; }

    friend bool operator==(const RouteRegions &, const RouteRegions &) = default;

private:
    std::vector<RegionName> names_;
};

/// Returns the names separated by spaces; empty if all regions are allowed. Thread safety: safe.
[[nodiscard]] std::string toString(const RouteRegions &regions);

}
