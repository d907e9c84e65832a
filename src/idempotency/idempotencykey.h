#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "core/clock.h"
#include "core/digest.h"
#include "core/identity.h"
#include "core/random.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// The text of an Idempotency-Key header.
using KeyText = Name<struct KeyTextTag>;
/// When a key was made, by its maker's wall clock: milliseconds since 1970. Compared with other stamps only,
/// but for an allowance into the future.
using KeyStamp = StrongType<struct KeyStampTag, std::uint64_t>;

/// The stamp of @p wall. Thread safety: safe. Errors: none; times before 1970 give zero.
[[nodiscard]] KeyStamp stampOf(WallTime wall);

/// What tells one key from another inside its owner.
struct KeyId
{
    KeyStamp stamp;
    Digest nonce;

    friend bool operator==(const KeyId &, const KeyId &) = default;
    friend auto operator<=>(const KeyId &left, const KeyId &right)
    {
        return std::tie(left.stamp, left.nonce) <=> std::tie(right.stamp, right.nonce);
    }
};

/// A key issued by egretpath. It names the one node incarnation that may run requests under it.
///
/// Text form: `ep1.<upstream>.<incarnation>.<stamp>.<nonce>.<check>`, the last four in lower-case hexadecimal digits of
/// fixed width. The check digits find typing errors; they are no defence against forgery.
struct IssuedKey
{
    NodeIdentity owner;
    KeyStamp stamp;
    std::uint64_t nonce = 0;

    /// Thread safety: safe. Errors: none.
    [[nodiscard]] KeyId id() const;
    /// The header text. Precondition: the stamp fits in 48 bits. Thread safety: safe. Errors: none.
    [[nodiscard]] KeyText text() const;

    /// Reads what text() wrote; nothing for any other text, so that one key has one text.
    /// Thread safety: safe.
    [[nodiscard]] static std::optional<IssuedKey> parse(std::string_view text);

    friend bool operator==(const IssuedKey &, const IssuedKey &) = default;
};

/// Issues a key that @p owner alone will accept.
///
/// Preconditions: @p owner has an incarnation that the issuer heard from the owner itself. Thread safety: as @p random.
[[nodiscard]] IssuedKey issueKey(const NodeIdentity &owner, WallTime wall, Random &random);

/// A UUID of version 7 (RFC 9562), made by a caller; it carries its creation time.
struct TimedKey
{
    KeyId keyId;

    /// Reads the 36-character form in either case; nothing for other versions, variants or texts.
    /// Thread safety: safe.
    [[nodiscard]] static std::optional<TimedKey> parse(std::string_view text);

    friend bool operator==(const TimedKey &, const TimedKey &) = default;
};

}

template<>
struct std::hash<Egretpath::KeyId>
{
    std::size_t operator()(const Egretpath::KeyId &item) const noexcept
    {
        constexpr std::uint64_t Spread = 0x9e3779b97f4a7c15ULL;
        return item.nonce.low ^ (item.nonce.high * Spread) ^ (item.stamp.value() * (Spread >> 1U));
    }
};
