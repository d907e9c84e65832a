#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/digest.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// The upstreams that the table gives to one service, and which of them owns a caller-chosen key.
///
/// Made from table rows alone, never from live lists: two parts of a split fleet with the same table agree.
/// Thread safety: const methods are safe.
class OwnerSet
{
public:
    OwnerSet() = default;
    /// Order and repetition of @p upstreams do not matter.
    explicit OwnerSet(std::vector<UpstreamName> upstreams);

    /// Equal for equal sets. Errors: none.
    [[nodiscard]] const Digest &digest() const { return digest_; }
    [[nodiscard]] const std::vector<UpstreamName> &upstreams() const { return upstreams_; }
    [[nodiscard]] bool contains(const UpstreamName &upstream) const;

    /// Rendezvous hash: a set that gains or loses an upstream moves only that upstream's keys.
    /// Errors: nothing if the set is empty.
    [[nodiscard]] std::optional<UpstreamName> ownerOf(std::string_view key) const;

private:
    std::vector<UpstreamName> upstreams_;
    Digest digest_;
};

}
