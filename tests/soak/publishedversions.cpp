#include "soak/publishedversions.h"

namespace Egretpath
{

std::uint64_t PublishedVersions::oldestActive(TimePoint at, Duration bound) const
{
    std::uint64_t oldest = 0;
    for (const Version &version : versions_) {
        if (version.at + bound < at) {
            oldest = version.number;
        }
    }
    return oldest;
}

std::uint64_t PublishedVersions::newest(TimePoint at) const
{
    std::uint64_t newest = 0;
    for (const Version &version : versions_) {
        if (version.at <= at) {
            newest = version.number;
        }
    }
    return newest;
}

}
