#pragma once

#include <memory>

#include "idempotency/ingresscallid.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

class IngressCall;

/// Passes the pieces of a large answer on to the caller.
///
/// A try that lost, or an answer that comes after the caller was told something else, is turned away by begin().
/// Thread safety: none.
class CallerAnswer final : public AnswerReceiver
{
public:
    CallerAnswer(std::weak_ptr<IngressCall> call, TryNumber number, NodeIdentity answerer);

    boost::asio::awaitable<bool> begin(AnswerHead head) override;
    boost::asio::awaitable<bool> write(std::string chunk) override;
    boost::asio::awaitable<bool> end() override;

private:
    std::weak_ptr<IngressCall> call_;
    TryNumber number_;
    NodeIdentity answerer_;
};

}
