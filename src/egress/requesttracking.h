#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "egress/egressrole.h"

namespace Egretpath
{

/// Tracks one request while the upstream has it: in the role's account, among the role's requests at the upstream, as a
/// possible parent of calls, and by a timer that informs the role when the upstream takes much longer than expected.
///
/// Thread safety: none. Precondition: the role outlives the calls of begin() and end().
class RequestTracking
{
public:
    RequestTracking(EgressRole &role, CallId call, RouteName route, std::uint8_t priority);

    /// The upstream is given the request. @p deadline: of the request.
    void begin(const std::shared_ptr<UpstreamRequest> &request, TimePoint deadline);
    /// The upstream has the request no longer. @p answered: because its answer began. Further calls do nothing.
    void end(bool answered);
    [[nodiscard]] bool isAtUpstream() const { return isAtUpstream_; }

private:
    void startOverdueTimer(const std::shared_ptr<UpstreamRequest> &request);

    EgressRole &role_;
    CallId call_;
    RouteName route_;
    std::uint8_t priority_;
    boost::asio::steady_timer overdueTimer_;
    bool isAtUpstream_ = false;
    bool isOverdue_ = false;
};

}
