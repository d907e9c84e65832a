#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// Constants of how a node gets routes and list.
struct CatalogSettings
{
    /// The platform may be unreachable for so long before peers are asked; most losses are one refused call.
    Milliseconds lossBeforeAsking{250};
    /// Between a change at the store and the next question. A change seldom comes alone, and each one that is told by
    /// itself costs a call.
    Milliseconds gatherTime{300};
};

}
