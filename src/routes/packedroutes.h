#pragma once

#include <string>
#include <string_view>

#include "core/verdict.h"

namespace Egretpath
{

/// Routes as nodes send them to each other, compressed.
///
/// The routes of a table resemble each other, so they compress to a fraction of their size. The node that read them
/// from the store compresses them once for all links. Thread safety: safe.
struct PackedRoutes
{
    std::string bytes;

    [[nodiscard]] bool empty() const { return bytes.empty(); }
};

/// Compresses @p text. Errors: std::bad_alloc.
[[nodiscard]] PackedRoutes packRoutes(std::string_view text);
/// Returns the text that was packed. Errors: BadRequest for bytes that packRoutes() did not make, or for more text than
/// a store holds under one key.
[[nodiscard]] Result<std::string> unpackRoutes(const PackedRoutes &packed);

}
