#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "core/digest.h"

namespace Egretpath
{

/// The parts of a request that make two attempts the same request. Ids, deadlines and other header fields differ
/// between attempts, and so does the VM that an attempt comes from.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// Identifies a request by its content; all attempts have the same fingerprint at any node.
///
/// 128 bits of BLAKE2b, so that nobody can construct a request with the fingerprint of another one.
struct RequestFingerprint
{
    Digest digest;

    friend constexpr auto operator<=>(const RequestFingerprint &, const RequestFingerprint &) = default;
};

/// Takes about one microsecond, and one more for each kilobyte of the body. Thread safety: safe. Errors: none.
[[nodiscard]] RequestFingerprint fingerprintOf(const RequestContent &content);

/// Returns 32 lower-case hexadecimal digits, for logs. Thread safety: safe.
[[nodiscard]] std::string toHex(const RequestFingerprint &fingerprint);

}

template<>
struct std::hash<Egretpath::RequestFingerprint>
{
    std::size_t operator()(const Egretpath::RequestFingerprint &fingerprint) const noexcept
    {
        return fingerprint.digest.low;
    }
};
