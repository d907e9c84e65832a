#pragma once

#include <optional>

#include "quarantine/quarantine.h"

namespace Egretpath
{

/// The fingerprint of one request, made when it is first needed: most requests never need it. Thread safety: none.
class RequestName
{
public:
    /// Precondition: @p content is that of the same request each time.
    [[nodiscard]] const RequestFingerprint &of(const RequestContent &content)
    {
        if (!fingerprint_) {
            fingerprint_ = fingerprintOf(content);
        }
        return *fingerprint_;
    }

    /// See Quarantine::rejection(). Costs nothing while no request is refused.
    [[nodiscard]] std::optional<Failure> rejection(const Quarantine &quarantine, const RequestContent &content,
                                                   TimePoint now)
    {
        return quarantine.refusesNone() ? std::nullopt : quarantine.rejection(of(content), now);
    }

private:
    std::optional<RequestFingerprint> fingerprint_;
};

}
