#pragma once

#include <functional>
#include <utility>

namespace Egretpath
{

/// Tells work in progress that its result is no longer needed.
///
/// Shared by the code that may cancel and the code that does the work. Thread safety: none. Errors: none.
class Cancellation
{
public:
    /// Whether cancel() was called.
    [[nodiscard]] bool isCancelled() const { return isCancelled_; }

    /// Sets the @p action that cancel() calls, and calls it at once if cancel() was called before. Replaces an earlier
    /// action.
    void setAction(std::function<void()> action)
    {
        action_ = std::move(action);
        if (isCancelled_) {
            runAction();
        }
    }

    /// Removes the action. Call this when the work has ended.
    void clearAction() { action_ = nullptr; }

    /// Calls the action. Further calls do nothing.
    void cancel()
    {
        if (!std::exchange(isCancelled_, true)) {
            runAction();
        }
    }

private:
    void runAction()
    {
        // Moved out first, since the action may destroy the object that owns it.
        const auto action = std::exchange(action_, nullptr);
        if (action) {
            action();
        }
    }

    bool isCancelled_ = false;
    std::function<void()> action_;
};

}
