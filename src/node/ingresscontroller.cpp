#include "node/ingresscontroller.h"

#include <charconv>
#include <utility>

#include "node/callerresponse.h"
#include "node/headernames.h"
#include "node/ingresscall.h"
#include "node/requesttarget.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view KeysPath = "/.egretpath/keys";

std::unique_ptr<RoutingStrategy> strategyOf(const RoutingSettings &settings)
{
    // The settings reader lets only known names pass.
    return std::move(makeStrategy(settings.strategy)).value();
}

std::string toJsonArray(const std::vector<std::string> &keys)
{
    std::string text = "[";
    for (const std::string &key : keys) {
        // Keys are made of letters, digits, '.', '_' and '-' only, so nothing needs escaping.
        text.append(text.size() > 1 ? ",\"" : "\"").append(key).append("\"");
    }
    return text + "]\n";
}

}

IngressController::IngressController(asio::any_io_executor executor, Blackboard &board, EgressController &egress,
                                     PeerClient &peers)
    : executor_(std::move(executor))
    , board_(board)
    , egress_(egress)
    , peers_(peers)
    , router_(board.location, strategyOf(board.settings.routing), board.load, Random(board.random()))
    , retryPolicy_(retryBudget_)
    , keyRouter_(KeyRouter::standard(false))
    , keyIssuer_(board, router_, peers)
{
}

asio::awaitable<void> IngressController::serve(HttpExchange &exchange)
{
    if (exchange.head().target.starts_with(KeysPath)) {
        co_await serveKeys(exchange);
        co_return;
    }
    const auto call = std::make_shared<IngressCall>(*this, exchange);
    co_await call->run();
}

asio::awaitable<void> IngressController::serveKeys(HttpExchange &exchange)
{
    const RequestTarget target(exchange.head().target);
    const ServiceName service(std::string(target.parameter("service")));
    unsigned count = 1;
    const std::string_view digits = target.parameter("count");
    std::from_chars(digits.data(), digits.data() + digits.size(), count);
    if (!board_.table) {
        co_await respondFailure(exchange, notRun(Reason::NoTable, "no table is in force yet", Milliseconds(200)));
        co_return;
    }
    if (board_.table->service(service) == nullptr || count == 0 || count > KeyIssuer::CountCap) {
        co_await respondFailure(
            exchange, notRun(Reason::BadRequest, "wanted: service=<a service of the table>&count=<1 to 1000>"));
        co_return;
    }
    const Result<std::vector<std::string>> keys = co_await keyIssuer_.issue(service, count);
    if (!keys) {
        co_await respondFailure(exchange, keys.error());
        co_return;
    }
    HttpResponseHead head;
    head.headers.add("Content-Type", "application/json");
    head.headers.add("Cache-Control", "no-store");
    co_await exchange.respond(std::move(head), toJsonArray(keys.value()));
}

}
