#pragma once

#include <optional>

#include "core/verdict.h"
#include "instances/instancerecord.h"

namespace Egretpath
{

/// Tracks which upstream is at the address beside this node, from the instance list and from the upstream's answers.
///
/// Load pattern: upstreams leave while requests wait for them. An ingress may choose an upstream by an older instance
/// list, and the request may then wait for a slot or a body. So the node beside the upstream checks the target again
/// before it hands the request over. Thread safety: none. Errors: none.
class UpstreamPresence
{
public:
    /// Takes the entry of the instance list for the address; null if the list has none.
    void onListed(const InstanceRecord *record);
    /// Records that @p upstream sent an answer from the address.
    void onAnswered(const UpstreamName &upstream) { answering_ = upstream; }

    /// Records whether the listed upstream says in an answer that it leaves. It may say so sooner or later than the
    /// list.
    void onLeavingStated(bool isLeaving);
    /// Whether the upstream that is listed says that it leaves.
    [[nodiscard]] bool saysItLeaves() const { return leaving_ && *leaving_ == name(); }

    /// Returns the upstream that was listed last at the address; empty if there was none yet.
    [[nodiscard]] UpstreamName name() const { return listed_.value_or(UpstreamName()); }
    /// Returns why a request for @p target must not be handed over, or nothing if it may be handed over. An empty
    /// @p target stands for any upstream.
    [[nodiscard]] std::optional<Failure> rejection(const UpstreamName &target) const;

private:
    [[nodiscard]] bool hasDeparted(const UpstreamName &target) const { return departed_ && *departed_ == target; }
    [[nodiscard]] bool isReplaced(const UpstreamName &target) const;

    /// The upstream that was listed last.
    std::optional<UpstreamName> listed_;
    /// The last upstream that was not listed as ready, or was removed from the list.
    std::optional<UpstreamName> departed_;
    /// The upstream that said that it leaves and has not answered otherwise since.
    std::optional<UpstreamName> leaving_;
    /// The last upstream that answered.
    std::optional<UpstreamName> answering_;
};

}
