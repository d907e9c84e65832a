#include "core/systemseed.h"

#include <algorithm>
#include <random>

namespace Egretpath
{

std::uint64_t systemSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

Incarnation drawIncarnation()
{
    return Incarnation(std::max<std::uint64_t>(1, systemSeed()));
}

}
