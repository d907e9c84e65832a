#pragma once

#include <optional>

#include "core/clock.h"
#include "core/requestrate.h"

namespace Egretpath
{

/// Keeps the requests that an upstream gets within the rate that it names in its answers.
///
/// Load pattern: an upstream in need takes only a few requests a second from all nodes together. All its requests pass
/// through the node beside it, so the rate is held there, without messages between nodes. Requests beyond it are not
/// held: other upstreams may have room, and a queue would not get shorter. Two requests may follow each other at once,
/// so that little of the rate is left unused when requests come irregularly.
///
/// Thread safety: none; one owner. Errors: none.
class UpstreamRateLimit
{
public:
    /// The upstream named @p limit in an answer, or named none.
    void onAnswer(std::optional<RequestRate> limit, TimePoint now);
    /// A request is handed over to the upstream.
    void onHandOver(TimePoint now);
    /// Another upstream has the address.
    void clear() { limit_.reset(); }

    [[nodiscard]] const std::optional<RequestRate> &limit() const { return limit_; }
    /// The time until the upstream may get the next request; zero if it may get one now.
    [[nodiscard]] Duration timeUntilNext(TimePoint now) const;

private:
    [[nodiscard]] Duration interval() const;

    std::optional<RequestRate> limit_;
    /// When the requests handed over so far are used up at the limit.
    TimePoint usedUpAt_;
};

}
