#pragma once

#include <exception>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <kj/async.h>
#include <kj/debug.h>

namespace Egretpath
{

/// The result of a KJ promise: a value or an exception.
template<typename Value>
struct PromiseResult
{
    std::optional<Value> value;
    std::optional<kj::Exception> error;
};

/// Suspends an Asio coroutine until @p promise is fulfilled or rejected. Destroying the coroutine cancels the promise.
///
/// Preconditions: an AsioEventPort lives on this thread. Thread safety: none. Errors: in the returned value.
template<typename Value>
boost::asio::awaitable<PromiseResult<Value>> awaitPromise(kj::Promise<Value> promise)
{
    namespace asio = boost::asio;
    PromiseResult<Value> result;
    kj::Promise<void> task = nullptr;
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    co_await asio::async_initiate<const asio::use_awaitable_t<> &, void()>(
        [&](auto handler) {
            auto resume = std::make_shared<decltype(handler)>(std::move(handler));
            // Resumes through the executor, since a promise must not be destroyed by its own continuation.
            task = promise
                       .then(
                           [&result, resume, executor](Value &&value) {
                               result.value.emplace(kj::mv(value));
                               asio::post(executor, [resume] { (*resume)(); });
                           },
                           [&result, resume, executor](kj::Exception &&error) {
                               result.error.emplace(kj::mv(error));
                               asio::post(executor, [resume] { (*resume)(); });
                           })
                       .eagerlyEvaluate(nullptr);
        },
        asio::use_awaitable);
    co_return std::move(result);
}

/// Starts coroutine @p work and returns a promise of its value. Dropping the promise does not stop the coroutine; work
/// that has to stop then needs a signal of its own, such as a Cancellation.
///
/// Preconditions: an AsioEventPort lives on this thread. Thread safety: none. Errors: exceptions of the coroutine
/// reject the promise.
template<typename Value>
kj::Promise<Value> toPromise(const boost::asio::any_io_executor &executor, boost::asio::awaitable<Value> work)
{
    auto pair = kj::newPromiseAndFulfiller<Value>();
    boost::asio::co_spawn(executor, std::move(work),
                          [fulfiller = kj::mv(pair.fulfiller)](std::exception_ptr error, Value value) mutable {
                              if (!error) {
                                  fulfiller->fulfill(kj::mv(value));
                                  return;
                              }
                              fulfiller->reject(KJ_EXCEPTION(FAILED, "a coroutine ended with an exception"));
                          });
    return kj::mv(pair.promise);
}

}
