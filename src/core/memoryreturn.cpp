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
    if (held.value() > limit.value() / UpperDivisor) {
        state_ = State::Much;
    } else if (state_ == State::Much && held.value() < limit.value() / LowerDivisor) {
        state_ = State::RestDue;
        ::malloc_trim(0);
    }
}

void MemoryReturn::returnRest()
{
    if (state_ == State::RestDue) {
        state_ = State::Little;
        ::malloc_trim(0);
    }
}

}
