#include "sidecar/catalogclient.h"

#include <algorithm>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// The time that passed and the time for which the peer held the request are each rounded down.
constexpr Milliseconds Rounding{2};

}

asio::awaitable<Result<Catalog>> CatalogClient::ask(Endpoint peer, CatalogRequest request, Milliseconds timeout)
{
    const TimePoint askedAt = currentTime();
    Result<Catalog> answer = co_await peerClient_.catalog(peer, request, askedAt + timeout);
    if (answer) {
        if (quarantineListener_) {
            quarantineListener_(peer, answer.value().quarantine);
        }
        Catalog &catalog = answer.value();
        // A VM's clock stops while the VM is suspended, so the peer's hold time may exceed the time measured here.
        const Milliseconds travelTime = std::max(timeSince(askedAt) - catalog.heldFor, Milliseconds{0});
        catalog.routesAge += travelTime;
        catalog.listAge += travelTime;
        catalog.storeAge += travelTime;
        if (catalog.confirmedAge) {
            *catalog.confirmedAge += travelTime + Rounding;
        }
    }
    co_return answer;
}

}
