#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "admission/offeroutcome.h"
#include "core/clock.h"

namespace Egretpath
{

/// Compares what one upstream says that it has with what was handed over to it.
///
/// The loads that it answers: upstreams that never answer what they can't queue, nor anything more on that connection,
/// so that a request would hold its slot until its deadline; and upstreams that still work for a process which ended,
/// or for callers that left, so that they are fuller than their node knows.
///
/// Silence alone proves nothing. An upstream that counts fewer requests than it was handed, and has not answered the
/// difference, has lost some; which ones shows as the others are answered. Reports count only once the upstream was
/// seen to count at all. Thread safety: none; one owner. Errors: none.
class UpstreamAccount
{
public:
    /// A request is being written to the upstream. Precondition: @p call was not begun before.
    void begun(CallId call);
    /// The whole of it was written.
    void written(CallId call, TimePoint now);
    /// The upstream's answer began.
    void answered(CallId call);
    /// Its connection ended without an answer: the upstream may work on for it.
    void givenUp(CallId call);

    /// The upstream is asked how many requests it has. One question is under way at a time.
    void asked(TimePoint now);
    /// Its answer: it works on @p held requests or queues them.
    void reported(std::uint32_t held, TimePoint now);

    /// Requests that it has and that no call here waits for, as of the last report.
    [[nodiscard]] std::uint32_t others() const { return others_; }
    /// Calls that it has lost. Each stays among them until it ends.
    [[nodiscard]] std::vector<CallId> lost() const;

private:
    /// So many of these calls are lost.
    struct Claim
    {
        std::set<CallId> among;
        std::uint32_t lost = 0;
        TimePoint made;
        /// Answers that were on their way when the upstream counted have arrived.
        bool settled = false;
    };

    struct Query
    {
        TimePoint at;
        /// Calls that the upstream had certainly read by then.
        std::set<CallId> known;
        /// Calls that it may have counted.
        std::uint32_t mayCount = 0;
    };

    struct Open
    {
        CallId call;
        std::optional<TimePoint> written;
    };

    void end(CallId call, bool answered);
    void settleClaims();
    void makeClaim(std::uint32_t held, TimePoint now);

    std::vector<Open> open_;
    std::vector<Claim> claims_;
    Query query_;
    std::uint32_t others_ = 0;
    bool counts_ = false;
};

}
