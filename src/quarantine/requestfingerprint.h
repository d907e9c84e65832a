#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "core/digest.h"

namespace Egretpath
{

/// What makes two attempts the same request. Ids, deadlines and other header fields differ between attempts; the VM at
/// which an attempt comes does too.
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    std::string_view body;
};

/// A name of a request that all its attempts share, at any node.
///
/// 128 bits of BLAKE2b: nobody can make up a request that bears the name of another one.
struct RequestFingerprint
{
    Digest digest;

    friend constexpr auto operator<=>(const RequestFingerprint &, const RequestFingerprint &) = default;
};

/// Takes about a microsecond, and one more for each kilobyte of the body. Thread safety: safe. Errors: none.
[[nodiscard]] RequestFingerprint fingerprintOf(const RequestContent &content);

/// 32 lower-case hexadecimal digits, for logs. Thread safety: safe.
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
