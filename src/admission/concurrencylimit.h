#pragma once

#include <cstdint>
#include <memory>

#include "core/clock.h"

namespace Egretpath
{

/// How many of an upstream's slots are used at the same time.
///
/// Thread safety: none. Errors: none.
class ConcurrencyLimit
{
public:
    virtual ~ConcurrencyLimit() = default;

    /// A call finished after @p serviceTime while @p inFlight calls, itself included, were in flight.
    virtual void onFinished(Duration serviceTime, std::uint32_t inFlight) = 0;

    /// Calls allowed in flight, between one and @p cap.
    [[nodiscard]] virtual std::uint32_t limit(std::uint32_t cap) const = 0;
};

/// Always the table's cap.
[[nodiscard]] std::unique_ptr<ConcurrencyLimit> makeFixedLimit();

/// Lowers the limit while service times rise above their long-term level, after the gradient of the two.
[[nodiscard]] std::unique_ptr<ConcurrencyLimit> makeGradientLimit();

}
