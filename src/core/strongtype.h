#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Egretpath
{

/// A value of type @p Value that does not convert to other types with the same representation.
///
/// Preconditions: none. Thread safety: as @p Value. Errors: none.
template<typename Tag, typename Value>
class StrongType
{
public:
    using ValueType = Value;

    constexpr StrongType() = default;
    constexpr explicit StrongType(Value value)
        : value_(std::move(value))
    {
    }

    /// Returns the wrapped value. Thread safety: as a const access to @p Value.
    [[nodiscard]] constexpr const Value &value() const { return value_; }

    friend constexpr auto operator<=>(const StrongType &, const StrongType &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const StrongType &item) { return stream << item.value_; }

private:
    Value value_{};
};

template<typename Tag>
using Name = StrongType<Tag, std::string>;

/// A service, which is the unit that callers address, for example "arrangements".
using ServiceName = Name<struct ServiceNameTag>;
/// A region, for example "northmere".
using RegionName = Name<struct RegionNameTag>;
/// An availability zone in a region.
using ZoneName = Name<struct ZoneNameTag>;
/// The id under which an upstream, a back end VM, is registered. A replacement at the same address has another id.
using UpstreamName = Name<struct UpstreamNameTag>;
/// An IP address and port in the form "127.0.0.1:8080".
using Endpoint = Name<struct EndpointTag>;
/// Identifies one attempt of a caller in logs and histories. The caller chooses it; empty if the caller gave none.
using RequestId = Name<struct RequestIdTag>;

/// Identifies one run of a node process. A restarted or replaced node at the same address has another incarnation.
/// It is a random number chosen at start, so that it needs neither a clock nor a disk. Zero means "unknown".
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// The number that operators give a route table; a larger number is newer. Not used at present; see RouteVersion.
using TableNumber = StrongType<struct TableNumberTag, std::uint64_t>;
/// A number of bytes.
using Bytes = StrongType<struct BytesTag, std::uint64_t>;

}

template<typename Tag, typename Value>
struct std::hash<Egretpath::StrongType<Tag, Value>>
{
    std::size_t operator()(const Egretpath::StrongType<Tag, Value> &item) const noexcept
    {
        return std::hash<Value>{}(item.value());
    }
};
