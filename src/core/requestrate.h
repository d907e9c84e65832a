#pragma once

#include "core/strongtype.h"

namespace Egretpath
{

/// A number of requests a second; may be a fraction.
using RequestRate = StrongType<struct RequestRateTag, double>;

}
