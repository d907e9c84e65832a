#pragma once

#include <cstddef>
#include <string>

#include "core/clock.h"

namespace Egretpath
{

/// Where routes or a change of the list came from, and how old they were by then. For logs and metrics.
struct NewsOrigin
{
    /// A node's address, or "platform".
    std::string from;
    /// Since a node read the news from the store, the ways and the waits of all steps included. The ways of the
    /// questions count as well, so that it is never less than the truth.
    Duration age{0};
    /// Of the routes, as they travelled.
    std::size_t bytes = 0;
};

}
