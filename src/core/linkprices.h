#pragma once

namespace Egretpath
{

/// The price of sending one KiB over a link between zones or regions. Operators set it.
///
/// The unit is the value that an answer in time has for its caller: a price of 0.1 is a tenth of that value.
struct LinkPrices
{
    double zonePerKiB = 0.013;
    double regionPerKiB = 0.1;
};

}
