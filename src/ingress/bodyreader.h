#pragma once

#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "http/httpexchange.h"
#include "ingress/ingresscontext.h"
#include "ingress/requestparameters.h"
#include "messages/receivedbody.h"

namespace Egretpath
{

/// Reads the body of one request from its caller, within the node's memory and the request's deadline.
///
/// Preconditions: the exchange and the parameters outlive the reading. Thread safety: none.
class BodyReader : public std::enable_shared_from_this<BodyReader>
{
public:
    BodyReader(std::shared_ptr<IngressContext> context, HttpExchange &exchange, const RequestParameters &parameters);

    /// Returns the complete body. Errors, all NotRun: TooLarge over a limit, Overloaded with a delay if there is no
    /// room or the body was given up for others, BodyTimeout, and those of HttpExchange::readBody().
    boost::asio::awaitable<Result<RequestBody>> read();

private:
    /// Returns why the body can't be taken by what the head says of it, or nothing.
    [[nodiscard]] std::optional<Failure> rejection();
    [[nodiscard]] std::shared_ptr<ReceivedBody> begin();
    [[nodiscard]] Failure noRoom();
    /// Spreads the delay of a refusal, within what the caller has left.
    [[nodiscard]] Failure withDelay(Failure failure);

    std::shared_ptr<IngressContext> context_;
    HttpExchange &exchange_;
    const RequestParameters &parameters_;
};

}
