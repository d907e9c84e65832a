#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// An answer as its bytes came.
struct PlainAnswer
{
    /// 0: the connection ended without a complete answer.
    std::uint16_t status = 0;
    std::string head;
    std::string body;
};

/// Sends @p request on a connection of its own, reads one answer and checks its length or its chunks. Waits for at most
/// @p patience. A connection that ends before the request was written is still read.
[[nodiscard]] PlainAnswer sendPlain(const Endpoint &target, const std::string &request, Milliseconds patience);

/// The value of field @p name in @p head; nothing if there is none.
[[nodiscard]] std::optional<std::string> fieldOf(const std::string &head, const std::string &name);

}
