#include "node/requesttarget.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

RequestTarget::RequestTarget(std::string target)
    : target_(std::move(target))
{
}

ServiceName RequestTarget::service() const
{
    if (!target_.starts_with('/')) {
        return {};
    }
    const std::size_t end = target_.find_first_of("/?", 1);
    return ServiceName(target_.substr(1, end == std::string::npos ? end : end - 1));
}

std::string_view RequestTarget::parameter(std::string_view name) const
{
    const std::size_t start = target_.find('?');
    std::string_view query =
        start == std::string::npos ? std::string_view() : std::string_view(target_).substr(start + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        }
    }
    return {};
}

}
