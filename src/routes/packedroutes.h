#pragma once

#include <string>
#include <string_view>

#include "core/verdict.h"

namespace Egretpath
{

/// Routes as they travel between nodes: what the platform published, compressed.
///
/// Each change of a table goes to every node whole, and over a few steps. Its routes resemble each other, so that
/// compressed once, by the node that read it, it is a fraction of its size on every link. Thread safety: safe.
struct PackedRoutes
{
    std::string bytes;

    [[nodiscard]] bool empty() const { return bytes.empty(); }
};

/// Errors: std::bad_alloc.
[[nodiscard]] PackedRoutes packRoutes(std::string_view text);
/// Errors: BadRequest for bytes that packRoutes() did not make, or for more text than a store holds under one key.
[[nodiscard]] Result<std::string> unpackRoutes(const PackedRoutes &packed);

}
