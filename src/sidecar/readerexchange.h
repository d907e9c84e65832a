#pragma once

#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "instances/catalogplan.h"
#include "sidecar/catalogclient.h"

namespace Egretpath
{

/// What the exchange needs of its owner.
struct ReaderExchangeCallbacks
{
    /// The request for what this node lacks.
    std::function<CatalogRequest(Milliseconds wait, StoreState knownState)> makeRequest;
    /// Applies an answer.
    std::function<boost::asio::awaitable<void>(Endpoint, Catalog)> apply;
};

/// Takes what the reader of another region has read, while this node reads the store for its own.
///
/// Guards against an answer of the store that is lost on its way to one reader: the others have the change. It also
/// tells a reader that it lacks nothing, so that only one of them has to ask the store. A reader that hears nothing
/// asks the store itself. Thread safety: none. Precondition: references outlive the object. Errors: a reader that does
/// not answer is passed over for a while.
class ReaderExchange
{
public:
    ReaderExchange(boost::asio::any_io_executor executor, CatalogClient &client, CatalogPlan &plan,
                   const CatalogTimes &times, ReaderExchangeCallbacks callbacks);

    /// Queries one reader after the other without end.
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<void> query(Endpoint reader);

    boost::asio::any_io_executor executor_;
    CatalogClient &client_;
    CatalogPlan &plan_;
    const CatalogTimes &times_;
    ReaderExchangeCallbacks callbacks_;
    /// The state of the store in the last answer, which is not to be told again.
    StoreState knownState_ = StoreState::Available;
};

}
