#pragma once

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/identity.h"
#include "core/strongtype.h"
#include "core/verdict.h"

namespace Egretpath
{

/// What a caller knows when a request ends.
struct CallOutcome
{
    Verdict verdict = Verdict::MayHaveRun;
    std::string reason;
    std::uint16_t status = 0;
    std::string answer;
    /// The request id that the answer says it belongs to.
    RequestId echo;
    /// The connection ended with neither an answer nor a verdict.
    bool cut = false;
    /// When the caller may come back; not part of the history.
    Milliseconds retryAfter{0};
    /// A fresh key; not part of the history.
    std::string nextKey;
};

/// Writes what callers and upstreams saw, one JSON object a line and flushed, in the record format of the history
/// library. Times are microseconds of the monotonic clock, which the processes of one machine share.
/// Thread safety: none.
class StandinHistory
{
public:
    /// Appends to @p path; an empty path writes nothing.
    explicit StandinHistory(const std::string &path);

    void invocation(const RequestId &request, const std::string &key, const ServiceName &service, bool repeatable,
                    const Endpoint &ingress, std::string_view body);
    void outcome(const RequestId &request, const CallOutcome &outcome);
    void runStarted(const RequestId &request, const std::string &key, const NodeIdentity &upstream,
                    std::optional<TimePoint> leavingSince);
    void runFinished(const RequestId &request, const NodeIdentity &upstream, std::uint16_t status,
                     std::string_view answer);

private:
    std::ofstream stream_;
};

}
