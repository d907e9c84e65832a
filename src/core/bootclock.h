#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// Returns the time since the VM started, including any time during which the VM was suspended.
///
/// Only differences between two values are meaningful. The monotonic clock stops while a VM is suspended: a process
/// that uses it takes old requests for new ones when the VM resumes. Thread safety: safe. Errors: none.
[[nodiscard]] Microseconds timeSinceBoot();

}
