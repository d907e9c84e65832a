#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// The time since the VM started, the time for which it was suspended included.
///
/// Only differences mean anything. The monotonic clock stands still while a VM is suspended, so that a process that
/// wakes would take old requests for fresh ones. Thread safety: safe. Errors: none.
[[nodiscard]] Microseconds timeSinceBoot();

}
