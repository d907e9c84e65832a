#pragma once

#include <boost/asio/io_context.hpp>
#include <kj/async.h>

namespace Egretpath
{

/// An Asio io_context that also runs KJ's event loop, on which Cap'n Proto RPC is built, on the same thread.
///
/// KJ tells the port when its event queue becomes non-empty; the port then posts one run of that queue to Asio. So both
/// loops share one thread and one poll and need no locks. KJ's own poll loop would need a second thread.
///
/// Preconditions: at most one instance for each thread; the io_context runs on the thread that created the instance.
/// Promise::wait() must not be called on this loop. Thread safety: none.
class AsioEventPort final : private kj::EventPort
{
public:
    /// Enters the wait scope of the new loop on the calling thread. Errors: none.
    AsioEventPort();
    ~AsioEventPort() noexcept(false);
    AsioEventPort(const AsioEventPort &) = delete;
    AsioEventPort &operator=(const AsioEventPort &) = delete;

    [[nodiscard]] boost::asio::io_context &context() { return context_; }

private:
    /// An io_context whose pending handlers and coroutines can be destroyed before the io_context itself.
    class Context : public boost::asio::io_context
    {
    public:
        void destroyHandlers() { shutdown(); }
    };

    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;
    void runQueue();

    bool isScheduled_ = false;
    kj::EventLoop loop_;
    kj::WaitScope scope_;
    // Declared last and so destroyed first: pending handlers and coroutines own promises, and a promise can only be
    // destroyed while its loop exists.
    Context context_;
};

}
