#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <tuple>

#include "core/strongtype.h"

namespace Egretpath
{

/// Number of a call among the calls of one ingress incarnation, from 1; a later call has a larger number.
using CallSequence = StrongType<struct CallSequenceTag, std::uint64_t>;
/// Number of a try among the tries of one call, from 1.
using TryNumber = StrongType<struct TryNumberTag, std::uint32_t>;

/// Identifies a call; assigned by the ingress that took the call. Unique without a clock, because incarnations are
/// drawn at random.
struct IngressCallId
{
    Incarnation ingress;
    CallSequence sequence;

    friend bool operator==(const IngressCallId &, const IngressCallId &) = default;
    friend auto operator<=>(const IngressCallId &left, const IngressCallId &right)
    {
        return std::tie(left.ingress, left.sequence) <=> std::tie(right.ingress, right.sequence);
    }
};

/// Identifies one sending of a call to one egress. Each try is sent once, so a second arrival of the same id is a
/// duplicate.
struct TryId
{
    IngressCallId call;
    TryNumber number;

    friend bool operator==(const TryId &, const TryId &) = default;
    friend auto operator<=>(const TryId &left, const TryId &right)
    {
        return std::tie(left.call, left.number) <=> std::tie(right.call, right.number);
    }
};

}

template<>
struct std::hash<Egretpath::TryId>
{
    std::size_t operator()(const Egretpath::TryId &item) const noexcept
    {
        constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15ULL;
        const std::uint64_t call = item.call.ingress.value() ^ (item.call.sequence.value() * Multiplier);
        return call ^ (item.number.value() * (Multiplier >> 1U));
    }
};
