#pragma once

#include <optional>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httphead.h"

namespace Egretpath
{

/// What a caller says of its request in header fields.
struct CallerMetadata
{
    /// The caller's id of this attempt; empty if it gave none.
    RequestId request;
    /// How long the caller waits; nothing if it does not say.
    std::optional<Milliseconds> patience;
};

/// The header fields and statuses that callers and this system exchange. One implementation for each interface.
/// Thread safety: const access may be shared.
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;

    /// Errors: BadRequest (NotRun) for fields that can't be read.
    [[nodiscard]] virtual Result<CallerMetadata> read(const HttpHeaders &headers) const = 0;
    /// The response that tells a caller of @p failure. Precondition: a NotRun verdict is proved.
    [[nodiscard]] virtual HttpResponseHead refusal(const Failure &failure, const RequestId &request) const = 0;
    /// The path at which a node says whether it is ready.
    [[nodiscard]] virtual std::string_view readinessPath() const = 0;
};

/// The status that shows @p failure, for interfaces in which 503 promises that a request has not run, and 502 and 504
/// promise nothing. Thread safety: safe. Errors: none.
[[nodiscard]] std::uint16_t statusOfRefusal(const Failure &failure);

}
