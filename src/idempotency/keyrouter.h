#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "core/identity.h"
#include "core/verdict.h"
#include "idempotency/idempotencykey.h"
#include "idempotency/ownerset.h"

namespace Egretpath
{

/// The one node that a call with a key may be sent to.
struct KeyTarget
{
    UpstreamName upstream;
    /// Set for issued keys: only this run of the node may be handed the call.
    std::optional<Incarnation> incarnation;
    /// Set for caller-chosen keys: the owner set by which the ingress chose; the owner compares it with its own.
    std::optional<Digest> ownerSet;

    friend bool operator==(const KeyTarget &, const KeyTarget &) = default;
};

/// How one kind of key names its owner. Thread safety: const methods of implementations are safe.
class KeyStrategy
{
public:
    KeyStrategy() = default;
    KeyStrategy(const KeyStrategy &) = delete;
    KeyStrategy &operator=(const KeyStrategy &) = delete;
    virtual ~KeyStrategy() = default;

    /// Nothing if the text is not of this kind; else the target, or why no node can be asked.
    [[nodiscard]] virtual std::optional<Result<KeyTarget>> route(const KeyText &key, const OwnerSet &owners) const = 0;
};

/// Keys issued by egretpath: the owner stands in the key.
class IssuedKeyStrategy final : public KeyStrategy
{
public:
    [[nodiscard]] std::optional<Result<KeyTarget>> route(const KeyText &key, const OwnerSet &owners) const override;
};

/// UUIDs of version 7 chosen by callers: the owner follows from the table. Rests on clocks; see
/// docs/matters/at-most-once.md before it is switched on.
class TimedKeyStrategy final : public KeyStrategy
{
public:
    [[nodiscard]] std::optional<Result<KeyTarget>> route(const KeyText &key, const OwnerSet &owners) const override;
};

/// Chooses, at the ingress, the owner of a key of a call that may not be repeated.
///
/// Thread safety: const methods are safe.
class KeyRouter
{
public:
    explicit KeyRouter(std::vector<std::unique_ptr<KeyStrategy>> strategies);

    /// Issued keys, and UUIDs of version 7 if @p withTimedKeys.
    [[nodiscard]] static KeyRouter standard(bool withTimedKeys);

    /// The node to ask, and no other: if it cannot be reached, the call ends as may-have-run.
    ///
    /// Precondition: @p owners are the table's upstreams of the called service.
    /// Errors: NotRun/BadKey for a text of no known kind, which no node ever runs; MayHaveRun/KeyOutOfMemory if the
    /// table no longer has the owner.
    [[nodiscard]] Result<KeyTarget> route(const KeyText &key, const OwnerSet &owners) const;

    /// What an ingress may say of a call with @p key that it refuses before any owner was asked: a key that some node
    /// accepts may have run in an earlier call, so @p failure becomes may-have-run. Errors: none.
    [[nodiscard]] Failure refuseUnasked(const KeyText &key, Failure failure) const;

private:
    std::vector<std::unique_ptr<KeyStrategy>> strategies_;
};

}
