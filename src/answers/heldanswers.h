#pragma once

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "answers/answerbudget.h"
#include "core/memoryreturn.h"
#include "core/verdict.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// The answers that one node holds while they are read from the upstream, or for readers, at the egress and at the
/// ingress together. AnswerBudget decides how many bytes they may have; this class logs and counts its decisions and
/// wakes up those that wait for room. Bytes are counted by HeldAnswer.
///
/// Preconditions: references outlive the object. Thread safety: none. Errors: none.
class HeldAnswers
{
public:
    HeldAnswers(std::optional<Bytes> limit, EventLog &log, Metrics &metrics);

    /// Returns why a new download is refused at @p role ("ingress" or "egress"), and counts it; nothing if it is taken.
    [[nodiscard]] std::optional<Failure> rejection(std::string_view role);
    /// Cancels @p timer at the next release.
    void cancelOnRelease(const std::shared_ptr<boost::asio::steady_timer> &timer) { waiters_.emplace_back(timer); }
    [[nodiscard]] const AnswerBudget &budget() const { return budget_; }
    /// See MemoryReturn.
    void returnRestOfMemory() { memoryReturn_.returnRest(); }

private:
    friend class HeldAnswer;

    void hold(Bytes size);
    void release(Bytes size);
    void logChange(bool wasUsedUp);

    AnswerBudget budget_;
    EventLog &log_;
    Metrics &metrics_;
    std::vector<std::weak_ptr<boost::asio::steady_timer>> waiters_;
    MemoryReturn memoryReturn_;
};

/// The bytes of one answer that count in HeldAnswers until they are released or this object is destroyed. It may
/// outlive HeldAnswers; then the bytes count nowhere. Thread safety: none. Errors: none.
class HeldAnswer
{
public:
    /// @p answers: where the bytes count; they count nowhere if it is gone.
    explicit HeldAnswer(std::weak_ptr<HeldAnswers> answers);
    ~HeldAnswer();
    HeldAnswer(const HeldAnswer &) = delete;
    HeldAnswer &operator=(const HeldAnswer &) = delete;

    void grow(Bytes size);
    /// Precondition: at least @p size bytes are held.
    void release(Bytes size);
    void releaseAll() { release(size_); }
    [[nodiscard]] Bytes size() const { return size_; }
    /// Whether AnswerBudget::MaxPiece more bytes may be read for this answer.
    [[nodiscard]] bool hasRoom() const;

private:
    std::weak_ptr<HeldAnswers> answers_;
    Bytes size_{0};
};

}
