#include "ingress/bodyreader.h"

#include <cstdint>
#include <string>
#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

BodyReader::BodyReader(std::shared_ptr<IngressContext> context, HttpExchange &exchange,
                       const RequestParameters &parameters)
    : context_(std::move(context))
    , exchange_(exchange)
    , parameters_(parameters)
{
}

std::optional<Failure> BodyReader::rejection()
{
    const Bytes announced(exchange_.head().contentLength.value_or(0));
    std::optional<Failure> rejection = context_->heldMessages->rejection(announced);
    return rejection ? std::optional(withDelay(std::move(*rejection))) : std::nullopt;
}

Failure BodyReader::noRoom()
{
    return withDelay(context_->heldMessages->noRoom());
}

Failure BodyReader::withDelay(Failure failure)
{
    if (failure.reason == Reason::Overloaded) {
        failure.retryAfter = retryDelay(*context_, parameters_, failure.retryAfter);
    }
    return failure;
}

std::shared_ptr<ReceivedBody> BodyReader::begin()
{
    exchange_.setBodyDeadline(parameters_.deadline);
    const std::uint64_t announced = exchange_.head().contentLength.value_or(UINT64_MAX);
    std::shared_ptr<ReceivedBody> received = ReceivedBody::begin(*context_->heldMessages, [weak = weak_from_this()] {
        if (const auto reader = weak.lock()) {
            reader->exchange_.endBody(reader->noRoom());
        }
    });
    if (announced > MessageBudget::MinUnread.value()) {
        exchange_.limitUnreadBytes(context_->heldMessages->budget().unreadShare());
    }
    return received;
}

asio::awaitable<Result<RequestBody>> BodyReader::read()
{
    const auto self = shared_from_this();
    if (auto refused = rejection()) {
        co_return std::move(*refused);
    }
    if (exchange_.head().contentLength == std::uint64_t{0}) {
        co_return RequestBody();
    }
    const std::shared_ptr<ReceivedBody> received = begin();
    while (true) {
        Result<std::string> piece = co_await exchange_.readBody();
        if (!piece && piece.error().reason == Reason::DeadlinePassed) {
            co_return notRun(Reason::BodyTimeout, "the request body did not come in time");
        }
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            break;
        }
        if (!received->append(piece.value())) {
            co_return noRoom();
        }
    }
    std::optional<RequestBody> complete = received->complete();
    if (!complete) {
        co_return noRoom();
    }
    co_return std::move(*complete);
}

}
