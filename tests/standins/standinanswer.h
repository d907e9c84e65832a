#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace Egretpath
{

/// The body of a stand-in upstream's answer. It depends on the request, so that an answer to another request, or a part
/// of an answer, is detected as wrong. Thread safety: safe.
[[nodiscard]] std::string standinAnswer(std::string_view requestId, std::string_view bodyDigest, std::size_t bytes);

}
