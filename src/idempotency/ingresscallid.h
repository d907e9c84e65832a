#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <tuple>

#include "core/strongtype.h"

namespace Egretpath
{

/// Counts the calls of one ingress incarnation, from 1; larger is later.
using CallSequence = StrongType<struct CallSequenceTag, std::uint64_t>;
/// Counts the tries of one call, from 1.
using TryNumber = StrongType<struct TryNumberTag, std::uint32_t>;

/// One call, named by the ingress that took it. Unique without a clock, because incarnations are drawn at random.
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

/// One sending of a call to one egress. A try is sent once; what arrives a second time is a copy.
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
        constexpr std::uint64_t Spread = 0x9e3779b97f4a7c15ULL;
        const std::uint64_t call = item.call.ingress.value() ^ (item.call.sequence.value() * Spread);
        return call ^ (item.number.value() * (Spread >> 1U));
    }
};
