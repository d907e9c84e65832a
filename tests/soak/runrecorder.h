#pragma once

#include <map>
#include <optional>

#include "core/currenttime.h"
#include "standins/standinupstream.h"

namespace Egretpath
{

/// Records when upstreams worked on each request. Thread safety: none.
class RunRecorder : public UpstreamObserver
{
public:
    struct Run
    {
        TimePoint begin;
        TimePoint end = TimePoint::max();
    };

    void onArrived(const UpstreamName & /*upstream*/, const ServiceName & /*service*/,
                   const ArrivedRequest & /*request*/) override
    {
    }
    void onRunStarted(const UpstreamName & /*upstream*/, const ServiceName & /*service*/,
                      const ArrivedRequest &request) override
    {
        runs_[request.attempt].begin = currentTime();
    }
    void onRunFinished(const RequestId &attempt) override { runs_[attempt].end = currentTime(); }
    void onAnswered(const UpstreamAnswer & /*answer*/) override { }
    void onCrashedBy(const UpstreamName & /*upstream*/, const ArrivedRequest & /*request*/) override { }

    [[nodiscard]] std::optional<Run> find(const RequestId &request) const
    {
        const auto found = runs_.find(request);
        return found != runs_.end() ? std::optional(found->second) : std::nullopt;
    }

private:
    std::map<RequestId, Run> runs_;
};

}
