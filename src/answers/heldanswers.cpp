#include "answers/heldanswers.h"

#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

HeldAnswers::HeldAnswers(std::optional<Bytes> limit, EventLog &log, Metrics &metrics)
    : budget_(limit)
    , log_(log)
    , metrics_(metrics)
{
}

void HeldAnswers::hold(Bytes size)
{
    const bool wasUsedUp = budget_.isUsedUp();
    budget_.hold(size);
    memoryReturn_.recordHeld(budget_.held(), budget_.limit().value_or(Bytes(0)));
    logChange(wasUsedUp);
}

void HeldAnswers::release(Bytes size)
{
    const bool wasUsedUp = budget_.isUsedUp();
    budget_.release(size, currentTime());
    memoryReturn_.recordHeld(budget_.held(), budget_.limit().value_or(Bytes(0)));
    logChange(wasUsedUp);
    for (const auto &waiter : std::exchange(waiters_, {})) {
        if (const auto timer = waiter.lock()) {
            timer->cancel();
        }
    }
}

std::optional<Failure> HeldAnswers::rejection(std::string_view role)
{
    const std::optional<Milliseconds> retryAfter = budget_.refusal(currentTime());
    if (!retryAfter) {
        return std::nullopt;
    }
    metrics_.count("egretpath_downloads_refused_total", "role=\"" + std::string(role) + R"(",cause="memory")");
    return notRun(Reason::Overloaded, "the node holds too many answers for slow readers", *retryAfter);
}

void HeldAnswers::logChange(bool wasUsedUp)
{
    if (budget_.isUsedUp() == wasUsedUp) {
        return;
    }
    StructuredLine line("answers");
    line.add("state", wasUsedUp ? "below-limit" : "at-limit");
    line.add("held_bytes", budget_.held().value()).add("limit_bytes", budget_.limit().value_or(Bytes(0)).value());
    log_.info(line);
}

HeldAnswer::HeldAnswer(std::weak_ptr<HeldAnswers> answers)
    : answers_(std::move(answers))
{
}

HeldAnswer::~HeldAnswer()
{
    releaseAll();
}

void HeldAnswer::grow(Bytes size)
{
    size_ = Bytes(size_.value() + size.value());
    if (const auto answers = answers_.lock()) {
        answers->hold(size);
    }
}

void HeldAnswer::release(Bytes size)
{
    size_ = Bytes(size_.value() - size.value());
    if (const auto answers = answers_.lock(); answers && size > Bytes(0)) {
        answers->release(size);
    }
}

bool HeldAnswer::hasRoom() const
{
    const auto answers = answers_.lock();
    return !answers || answers->budget().mayHoldMore(size_);
}

}
