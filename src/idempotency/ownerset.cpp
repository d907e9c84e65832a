#include "idempotency/ownerset.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Egretpath
{

namespace
{

std::uint64_t weightOf(const UpstreamName &upstream, std::string_view key)
{
    return stableHash(upstream.value(), stableHash(key));
}

}

OwnerSet::OwnerSet(std::vector<UpstreamName> upstreams)
    : upstreams_(std::move(upstreams))
{
    std::sort(upstreams_.begin(), upstreams_.end());
    upstreams_.erase(std::unique(upstreams_.begin(), upstreams_.end()), upstreams_.end());
    std::string content;
    for (const UpstreamName &upstream : upstreams_) {
        content += upstream.value();
        content += '\n';
    }
    digest_ = digestOf(content);
}

bool OwnerSet::contains(const UpstreamName &upstream) const
{
    return std::binary_search(upstreams_.begin(), upstreams_.end(), upstream);
}

std::optional<UpstreamName> OwnerSet::ownerOf(std::string_view key) const
{
    const auto lighter = [key](const UpstreamName &left, const UpstreamName &right) {
        return weightOf(left, key) < weightOf(right, key);
    };
    const auto owner = std::max_element(upstreams_.begin(), upstreams_.end(), lighter);
    return owner == upstreams_.end() ? std::nullopt : std::optional(*owner);
}

}
