#include "idempotency/idempotencykey.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace Egretpath
{

namespace
{

constexpr std::string_view Prefix = "ep1.";
constexpr std::uint64_t CheckSeed = 0x6570312d6b6579ULL;
constexpr std::size_t IncarnationDigits = 16;
constexpr std::size_t StampDigits = 12;
constexpr std::size_t NonceDigits = 16;
constexpr std::size_t CheckDigits = 8;
constexpr std::size_t UuidLength = 36;
constexpr unsigned UuidTimeShift = 16;

std::string fixedHex(std::uint64_t value, std::size_t digits)
{
    std::array<char, IncarnationDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%0*llx", static_cast<int>(digits), static_cast<unsigned long long>(value));
    return text.data();
}

std::optional<std::uint64_t> readHex(std::string_view text)
{
    constexpr int HexBase = 16;
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, HexBase);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string checkDigits(std::string_view content)
{
    constexpr std::uint64_t LowHalf = 0xffffffffULL;
    return fixedHex(stableHash(content, CheckSeed) & LowHalf, CheckDigits);
}

/// Takes the last part of @p text, after a dot, off it. The upstream's name comes first and may hold dots itself.
std::optional<std::string_view> takeLastPart(std::string_view &text, std::size_t digits)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || text.size() - dot - 1 != digits) {
        return std::nullopt;
    }
    const std::string_view part = text.substr(dot + 1);
    text.remove_suffix(digits + 1);
    return part;
}

std::optional<std::uint64_t> takeLastNumber(std::string_view &text, std::size_t digits)
{
    const auto part = takeLastPart(text, digits);
    return part ? readHex(*part) : std::nullopt;
}

bool isDashPlace(std::size_t index)
{
    constexpr std::array<std::size_t, 4> DashPlaces{8, 13, 18, 23};
    return std::find(DashPlaces.begin(), DashPlaces.end(), index) != DashPlaces.end();
}

std::optional<std::string> uuidDigits(std::string_view text)
{
    if (text.size() != UuidLength) {
        return std::nullopt;
    }
    std::string digits;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (!isDashPlace(index)) {
            digits.push_back(text[index]);
        } else if (text[index] != '-') {
            return std::nullopt;
        }
    }
    return digits;
}

bool hasVersionSeven(const Digest &uuid)
{
    constexpr unsigned VersionShift = 12;
    constexpr std::uint64_t VersionMask = 0xf;
    constexpr std::uint64_t Version = 7;
    return ((uuid.high >> VersionShift) & VersionMask) == Version;
}

bool hasStandardVariant(const Digest &uuid)
{
    constexpr unsigned VariantShift = 62;
    constexpr std::uint64_t Variant = 2;
    return (uuid.low >> VariantShift) == Variant;
}

}

KeyStamp stampOf(WallTime wall)
{
    const auto sinceEpoch = std::chrono::duration_cast<Milliseconds>(wall.time_since_epoch()).count();
    return KeyStamp(static_cast<std::uint64_t>(std::max<std::int64_t>(sinceEpoch, 0)));
}

KeyId IssuedKey::id() const
{
    return KeyId{stamp, Digest{0, nonce}};
}

KeyText IssuedKey::text() const
{
    std::string content(Prefix);
    content += owner.upstream.value();
    content += '.' + fixedHex(owner.incarnation.value(), IncarnationDigits);
    content += '.' + fixedHex(stamp.value(), StampDigits);
    content += '.' + fixedHex(nonce, NonceDigits);
    content += '.' + checkDigits(content);
    return KeyText(std::move(content));
}

std::optional<IssuedKey> IssuedKey::parse(std::string_view text)
{
    std::string_view rest = text;
    const auto check = takeLastPart(rest, CheckDigits);
    const auto nonce = takeLastNumber(rest, NonceDigits);
    const auto stamp = takeLastNumber(rest, StampDigits);
    const auto incarnation = takeLastNumber(rest, IncarnationDigits);
    if (!check || !nonce || !stamp || !incarnation || !rest.starts_with(Prefix) || rest.size() == Prefix.size()) {
        return std::nullopt;
    }
    rest.remove_prefix(Prefix.size());
    IssuedKey key{{UpstreamName(std::string(rest)), Incarnation(*incarnation)}, KeyStamp(*stamp), *nonce};
    // Written again it must give the same text: wrong check digits and upper-case digits end here.
    if (key.text().value() != text) {
        return std::nullopt;
    }
    return key;
}

IssuedKey issueKey(const NodeIdentity &owner, WallTime wall, Random &random)
{
    return IssuedKey{owner, stampOf(wall), random()};
}

std::optional<TimedKey> TimedKey::parse(std::string_view text)
{
    const auto digits = uuidDigits(text);
    if (!digits) {
        return std::nullopt;
    }
    const std::size_t half = digits->size() / 2;
    const auto high = readHex(std::string_view(*digits).substr(0, half));
    const auto low = readHex(std::string_view(*digits).substr(half));
    if (!high || !low) {
        return std::nullopt;
    }
    const Digest uuid{*high, *low};
    if (!hasVersionSeven(uuid) || !hasStandardVariant(uuid)) {
        return std::nullopt;
    }
    return TimedKey{KeyId{KeyStamp(uuid.high >> UuidTimeShift), uuid}};
}

}
