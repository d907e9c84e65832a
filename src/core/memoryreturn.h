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
    /// To be called when another number of bytes is held, of at most @p limit.
    void recordHeld(Bytes held, Bytes limit);

private:
    /// Whether enough was held since the last return.
    bool hasFreeMemory_ = false;
};

}
