#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/strongtype.h"

namespace Egretpath
{

/// One call at one node; the node's own number for it.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

/// What a call is, for sharing slots between short and long ones.
enum class CallClass : std::uint8_t {
    /// A read on which someone waits.
    Lookup,
    /// A check between services; other calls wait for it.
    Internal,
    /// A change.
    Write,
    /// A long transfer.
    Upload,
};

inline constexpr std::size_t CallClassCount = 4;

/// The stable word for @p callClass in logs and settings. Thread safety: safe.
[[nodiscard]] std::string_view toString(CallClass callClass);

}
