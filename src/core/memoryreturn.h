#pragma once

#include "core/strongtype.h"

namespace Egretpath
{

/// Gives memory that many messages have used back to the system once little of it is held: the allocator would keep it.
///
/// Thread safety: none; one owner. Errors: none.
class MemoryReturn
{
public:
    /// To be called when another number of bytes is held, of at most @p limit. Gives memory back once it is little.
    void recordHeld(Bytes held, Bytes limit);
    /// To be called now and then. Gives back what was freed after that: connections and their buffers end after the
    /// messages that they carried.
    void returnRest();

private:
    enum class State {
        /// Little was held since the last return.
        Little,
        /// Enough is held, or was since the last return.
        Much,
        /// Memory was given back, and more of it may be freed a moment later.
        RestDue,
    };

    State state_ = State::Little;
};

}
