#pragma once

#include <optional>

#include "core/clock.h"
#include "core/currenttime.h"

namespace Egretpath
{

/// The latest time up to which this node has all that the store had accepted. It counts the time during which the VM
/// was suspended: the age that a node tells others would else be too small. Thread safety: none. Errors: none.
class CatalogConfirmation
{
public:
    /// This node has all that the store had accepted at @p at. Returns whether that is notably later than what was
    /// known.
    bool record(TimePoint at);
    /// Time since the latest such time; nothing if there is none.
    [[nodiscard]] std::optional<Milliseconds> age() const;
    /// Whether this node has all that the store had accepted at @p time.
    [[nodiscard]] bool isAfter(TimePoint time) const;

private:
    std::optional<Microseconds> confirmedAt_;
};

}
