#pragma once

#include <optional>

#include "core/verdict.h"
#include "instances/instancerecord.h"

namespace Egretpath
{

/// Which upstream is at the address beside this node, from the list and from its own answers.
///
/// The load that it answers: upstreams that leave while requests wait beside them. An ingress may place a request by an
/// older list, and the request may wait for a slot or a body after that; the node beside the upstream looks again
/// before the hand-over. Thread safety: none. Errors: none.
class UpstreamPresence
{
public:
    /// Takes what the list says of the address; null if it names nobody there.
    void listed(const InstanceRecord *record);
    /// @p upstream said in an answer that it is there.
    void answered(const UpstreamName &upstream) { present_ = upstream; }

    /// The one that the list names there, or named last; empty before it named any.
    [[nodiscard]] UpstreamName name() const { return listed_.value_or(UpstreamName()); }
    /// Why a request for @p target must not be handed over; nothing if it may. An empty @p target is anybody.
    [[nodiscard]] std::optional<Failure> rejection(const UpstreamName &target) const;

private:
    [[nodiscard]] bool hasLeft(const UpstreamName &target) const { return left_ && *left_ == target; }
    [[nodiscard]] bool isAnother(const UpstreamName &target) const;

    /// The last one listed.
    std::optional<UpstreamName> listed_;
    /// The last one that said it leaves, or that the list names no more.
    std::optional<UpstreamName> left_;
    /// The last one that answered.
    std::optional<UpstreamName> present_;
};

}
