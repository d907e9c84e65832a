#include "idempotency/keyrouter.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

std::optional<Result<KeyTarget>> IssuedKeyStrategy::route(const KeyText &key, const OwnerSet &owners) const
{
    const auto issued = IssuedKey::parse(key.value());
    if (!issued) {
        return std::nullopt;
    }
    // The owner left the service's rows. It may have run the key before, so no other upstream may be asked.
    if (!owners.contains(issued->owner.upstream)) {
        return mayHaveRun(Reason::KeyOutOfMemory, "the key's owner no longer belongs to the service");
    }
    return KeyTarget{issued->owner.upstream, issued->owner.incarnation, std::nullopt};
}

std::optional<Result<KeyTarget>> TimedKeyStrategy::route(const KeyText &key, const OwnerSet &owners) const
{
    const auto timed = TimedKey::parse(key.value());
    if (!timed) {
        return std::nullopt;
    }
    // By the key's value, not its text: both letter cases of one UUID have one owner.
    const auto owner = owners.ownerOf(toHex(timed->keyId.nonce));
    if (!owner) {
        return mayHaveRun(Reason::NoUpstream, "the service has no upstream that could own the key");
    }
    return KeyTarget{*owner, std::nullopt, owners.digest()};
}

KeyRouter::KeyRouter(std::vector<std::unique_ptr<KeyStrategy>> strategies)
    : strategies_(std::move(strategies))
{
}

KeyRouter KeyRouter::standard(bool withTimedKeys)
{
    std::vector<std::unique_ptr<KeyStrategy>> strategies;
    strategies.push_back(std::make_unique<IssuedKeyStrategy>());
    if (withTimedKeys) {
        strategies.push_back(std::make_unique<TimedKeyStrategy>());
    }
    return KeyRouter(std::move(strategies));
}

Result<KeyTarget> KeyRouter::route(const KeyText &key, const OwnerSet &owners) const
{
    for (const auto &strategy : strategies_) {
        if (auto target = strategy->route(key, owners)) {
            return *target;
        }
    }
    return notRun(Reason::BadKey, "the key was not issued by egretpath; use the one that this answer carries");
}

Failure KeyRouter::refuseUnasked(const KeyText &key, Failure failure) const
{
    const OwnerSet unknown;
    const bool someNodeAccepts = std::any_of(strategies_.begin(), strategies_.end(), [&](const auto &strategy) {
        return strategy->route(key, unknown).has_value();
    });
    if (someNodeAccepts) {
        failure.verdict = Verdict::MayHaveRun;
    }
    return failure;
}

}
