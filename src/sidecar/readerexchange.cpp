#include "sidecar/readerexchange.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

ReaderExchange::ReaderExchange(asio::any_io_executor executor, CatalogClient &client, CatalogPlan &plan,
                               const CatalogTimes &times, ReaderExchangeCallbacks callbacks)
    : executor_(std::move(executor))
    , client_(client)
    , plan_(plan)
    , times_(times)
    , callbacks_(std::move(callbacks))
{
}

asio::awaitable<void> ReaderExchange::run()
{
    asio::steady_timer timer(executor_);
    while (true) {
        const TimePoint askedAt = currentTime();
        const std::optional<Endpoint> reader = plan_.nextInRing(askedAt);
        if (reader) {
            co_await query(*reader);
        }
        // Answers that come at once, again and again, would take the processor.
        timer.expires_at(askedAt + times_.followPause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> ReaderExchange::query(Endpoint reader)
{
    CatalogRequest request = callbacks_.makeRequest(times_.readerExchangeWait, knownState_);
    request.wantsConfirmation = true;
    Result<Catalog> catalog = co_await client_.ask(reader, request, times_.readerExchangeWait + times_.followMargin);
    if (!catalog) {
        plan_.onNoAnswer(reader, currentTime());
        co_return;
    }
    plan_.onRingAnswer(reader);
    knownState_ = catalog.value().store;
    co_await callbacks_.apply(std::move(reader), std::move(catalog).value());
}

}
