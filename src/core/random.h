#pragma once

#include <random>

namespace Egretpath
{

/// The seeded generator handed to decision libraries, so that a run can be repeated from its seed.
/// Thread safety: none; each thread owns its own.
using Random = std::mt19937_64;

}
