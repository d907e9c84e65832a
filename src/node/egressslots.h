#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/admission.h"
#include "core/clock.h"
#include "core/verdict.h"
#include "rpc/cancellation.h"

namespace Egretpath
{

/// Lets coroutines wait for one of the upstream's slots as Admission decides.
///
/// Thread safety: none. Destroy it only when nothing waits.
class EgressSlots
{
public:
    EgressSlots(boost::asio::any_io_executor executor, AdmissionCaps caps);

    /// Returns nothing once @p call has a slot, which release() then gives back; else why it has none.
    /// Errors: NotRun with Overloaded, DeadlinePassed or Cancelled.
    boost::asio::awaitable<std::optional<Failure>> acquire(CallId call, CallClass callClass, TimePoint deadline,
                                                           std::shared_ptr<Cancellation> cancellation);
    /// Gives the slot of @p call back. @p answered: its duration tells the service time.
    void release(CallId call, bool answered);
    void setCaps(const AdmissionCaps &caps);

    [[nodiscard]] LoadReport report() const;
    [[nodiscard]] bool isIdle() const { return admission_.isIdle(); }
    [[nodiscard]] std::size_t inFlight() const { return admission_.inFlight(); }
    [[nodiscard]] std::size_t queued() const { return admission_.queued(); }

private:
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : wakeUp(executor, boost::asio::steady_timer::time_point::max())
        {
        }

        boost::asio::steady_timer wakeUp;
        std::optional<Failure> failure;
    };

    boost::asio::awaitable<std::optional<Failure>> waitForTurn(CallId call, std::shared_ptr<Cancellation> cancellation);
    void start(const std::vector<CallId> &calls);
    void end(CallId call, Failure failure);
    void cancelQueued(CallId call);
    void expire();
    void armExpiry();

    Admission admission_;
    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer expiry_;
    std::unordered_map<CallId, std::shared_ptr<Waiter>> waiters_;
};

}
