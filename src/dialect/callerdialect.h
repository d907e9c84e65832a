#pragma once

#include <optional>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httphead.h"

namespace Egretpath
{

/// The header fields of a request that are meant for the load balancer.
struct CallerMetadata
{
    /// The caller's id of this attempt; empty if the caller gave none.
    RequestId request;
    /// How long the caller waits for the answer, from the arrival of the request; nullopt if the caller gave no time.
    std::optional<Milliseconds> timeout;
};

/// Reads and writes the header fields and statuses that callers and the load balancer exchange. Each interface to
/// callers has its own implementation. Thread safety: const access may be shared.
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;

    /// Reads the caller's fields. Errors: BadRequest (NotRun) for fields that can't be read.
    [[nodiscard]] virtual Result<CallerMetadata> read(const HttpHeaders &headers) const = 0;
    /// Returns the response that reports @p failure to the caller of @p request.
    /// Precondition: if the verdict is NotRun, it is proved that the request did not run.
    [[nodiscard]] virtual HttpResponseHead refusal(const Failure &failure, const RequestId &request) const = 0;
    /// Whether callers read an answer of @p status as the promise that the request did not run and never will.
    [[nodiscard]] virtual bool promisesNotRun(std::uint16_t status) const = 0;
    /// The path at which a node reports whether it is ready.
    [[nodiscard]] virtual std::string_view readinessPath() const = 0;
};

/// Returns the status for @p failure in interfaces where 503 promises that the request did not run, and 502 and 504
/// promise nothing. Thread safety: safe. Errors: none.
[[nodiscard]] std::uint16_t statusOfRefusal(const Failure &failure);

}
