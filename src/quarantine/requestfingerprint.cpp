#include "quarantine/requestfingerprint.h"

#include <array>
#include <cstdint>
#include <cstring>

#include <sodium/crypto_generichash.h>

namespace Egretpath
{

namespace
{

constexpr std::size_t FingerprintBytes = 16;

/// Hashes @p field with its length in front, so that bytes moved from one field to the next change the hash.
void addField(crypto_generichash_state &state, std::string_view field)
{
    const std::uint64_t length = field.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&length), sizeof length);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(field.data()), field.size());
}

}

RequestFingerprint fingerprintOf(const RequestContent &content)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, FingerprintBytes);
    addField(state, content.method);
    addField(state, content.host);
    addField(state, content.target);
    addField(state, content.body);
    std::array<unsigned char, FingerprintBytes> bytes{};
    crypto_generichash_final(&state, bytes.data(), bytes.size());
    RequestFingerprint fingerprint;
    std::memcpy(&fingerprint.digest.high, bytes.data(), sizeof fingerprint.digest.high);
    std::memcpy(&fingerprint.digest.low, bytes.data() + sizeof fingerprint.digest.high, sizeof fingerprint.digest.low);
    return fingerprint;
}

std::string toHex(const RequestFingerprint &fingerprint)
{
    return toHex(fingerprint.digest);
}

}
