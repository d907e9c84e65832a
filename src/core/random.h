#pragma once

#include <random>

namespace Egretpath
{

/// The seeded random number generator passed to the decision libraries, so that a run can be repeated from its seed.
/// Thread safety: none; each thread has its own generator.
using Random = std::mt19937_64;

}
