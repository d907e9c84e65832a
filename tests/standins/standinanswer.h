#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Egretpath
{

/// The body with which a stand-in of an upstream answers: it depends on the request, so that the answer to another
/// request, or a piece of one, never looks right. Thread safety: safe.
[[nodiscard]] std::string standinAnswer(std::string_view requestId, std::string_view bodyDigest, std::size_t bytes);

}
