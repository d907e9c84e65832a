#pragma once

#include <optional>

#include "core/clock.h"
#include "rpc/peermessages.h"
#include "sidecar/catalogcontents.h"

namespace Egretpath
{

/// Remembers whether other nodes have newer versions of the catalog than this one, and for how long this node has
/// lacked them.
///
/// Load pattern: during a series of changes each node is behind some other for a moment, again and again. Only versions
/// that are missing for longer than readers gather changes show that this node's source has stopped sending updates.
/// Thread safety: none. Precondition: the contents outlive the object. Errors: none.
class NewerPeers
{
public:
    NewerPeers(const CatalogContents &contents, Milliseconds tolerance);

    /// @p peer has reported that it has @p versions.
    void record(const Endpoint &peer, const CatalogVersions &versions, TimePoint now);
    /// The updates of @p peer were applied.
    void recordAnswer(const Endpoint &peer);
    /// The node to ask, if this node has lacked versions for longer than the tolerance. It is returned once; the time
    /// then counts anew.
    [[nodiscard]] std::optional<Endpoint> takeOverdue(TimePoint now);
    /// Whether a node has reported newer routes than this node has now.
    [[nodiscard]] bool haveNewerRoutes() const;

private:
    /// The versions that this node lacks longest, and since when it knows of them.
    struct Lead
    {
        /// The node that was the last one to report that it is ahead.
        Endpoint peer;
        CatalogVersions versions;
        TimePoint since;
    };

    const CatalogContents &contents_;
    Milliseconds tolerance_;
    std::optional<Lead> lead_;
};

}
