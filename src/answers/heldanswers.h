#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "answers/answerbudget.h"
#include "core/verdict.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// The answers that one node holds for readers, at the egress and at the ingress together. AnswerBudget decides how
/// many bytes they may have; this class logs and counts its decisions and wakes up those that wait for room.
///
/// Preconditions: references outlive the object. Thread safety: none. Errors: none.
class HeldAnswers
{
public:
    HeldAnswers(std::optional<Bytes> limit, EventLog &log, Metrics &metrics);

    void hold(Bytes size);
    void release(Bytes size);
    /// Returns why a new download is refused at @p role ("ingress" or "egress"), and counts it; nothing if it is taken.
    [[nodiscard]] std::optional<Failure> rejection(std::string_view role);
    /// Cancels @p timer at the next release.
    void cancelOnRelease(const std::shared_ptr<boost::asio::steady_timer> &timer) { waiters_.emplace_back(timer); }
    [[nodiscard]] const AnswerBudget &budget() const { return budget_; }

private:
    void logChange(bool wasUsedUp);

    AnswerBudget budget_;
    EventLog &log_;
    Metrics &metrics_;
    std::vector<std::weak_ptr<boost::asio::steady_timer>> waiters_;
};

}
