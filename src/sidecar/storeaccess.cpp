#include "sidecar/storeaccess.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Egretpath
{

namespace asio = boost::asio;

StoreAccess::StoreAccess(asio::any_io_executor executor, SidecarState &state, CatalogSource &source, CatalogLog &log,
                         std::function<void()> onChanged)
    : executor_(std::move(executor))
    , state_(state)
    , source_(source)
    , log_(log)
    , onChanged_(std::move(onChanged))
{
}

asio::awaitable<void> StoreAccess::check(bool removesReady)
{
    if (isCutOff_) {
        if (!isUpdating_) {
            asio::co_spawn(executor_, update(), asio::detached);
        }
        co_return;
    }
    if (removesReady) {
        co_await update();
    }
}

asio::awaitable<void> StoreAccess::update()
{
    isUpdating_ = true;
    const bool isReachable = co_await source_.isReachable();
    isUpdating_ = false;
    if (isReachable == !isCutOff_) {
        co_return;
    }
    isCutOff_ = !isReachable;
    if (isReachable) {
        // The node that is followed could read the store all the time, so the upstreams that it removed are gone.
        state_.directory.setStoreAvailableElsewhere(true);
    }
    log_.logCutOff(isCutOff_);
    onChanged_();
}

}
