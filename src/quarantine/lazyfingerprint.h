#pragma once

#include <optional>

#include "quarantine/quarantine.h"

namespace Egretpath
{

/// Computes the fingerprint of one request on first use and keeps it; most requests never need it. Thread safety: none.
class LazyFingerprint
{
public:
    /// Precondition: each call passes the content of the same request.
    [[nodiscard]] const RequestFingerprint &get(const RequestContent &content)
    {
        if (!fingerprint_) {
            fingerprint_ = fingerprintOf(content);
        }
        return *fingerprint_;
    }

    /// See Quarantine::rejection(). Computes no fingerprint while no request is refused.
    [[nodiscard]] std::optional<Failure> rejection(const Quarantine &quarantine, const RequestContent &content,
                                                   TimePoint now)
    {
        return quarantine.refusesNone() ? std::nullopt : quarantine.rejection(get(content), now);
    }

private:
    std::optional<RequestFingerprint> fingerprint_;
};

}
