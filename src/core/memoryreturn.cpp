#include "core/memoryreturn.h"

#include <malloc.h>

namespace Egretpath
{

namespace
{

/// Memory is given back once what is held falls below the lower part of the limit, after it was over the upper.
constexpr std::uint64_t UpperDivisor = 8;
constexpr std::uint64_t LowerDivisor = 32;

}

void MemoryReturn::recordHeld(Bytes held, Bytes limit)
{
    hasFreeMemory_ = hasFreeMemory_ || held.value() > limit.value() / UpperDivisor;
    if (hasFreeMemory_ && held.value() < limit.value() / LowerDivisor) {
        hasFreeMemory_ = false;
        ::malloc_trim(0);
    }
}

}
