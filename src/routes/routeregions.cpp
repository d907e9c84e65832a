#include "routes/routeregions.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

RouteRegions::RouteRegions(std::vector<RegionName> names)
    : names_(std::move(names))
{
    std::sort(names_.begin(), names_.end());
    names_.erase(std::unique(names_.begin(), names_.end()), names_.end());
}

bool RouteRegions::allows(const RegionName &region) const
{
    return !isRestricted() || std::binary_search(names_.begin(), names_.end(), region);
}

std::string toString(const RouteRegions &regions)
{
    std::string text;
    for (const RegionName &name : regions.names()) {
        text.append(text.empty() ? "" : " ").append(name.value());
    }
    return text;
}

}
