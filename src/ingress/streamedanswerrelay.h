#pragma once

#include <cstdint>
#include <memory>

#include "answers/heldanswers.h"
#include "ingress/proxiedrequest.h"

namespace Egretpath
{

/// Relays an answer that is too large for one message to the caller, chunk by chunk.
///
/// The first chunk commits the request to this try. A try that fails before may be followed by another one. Thread
/// safety: none.
class StreamedAnswerRelay final : public AnswerReceiver
{
public:
    /// @p held: counts the chunks that the caller has not taken; gone if nothing does.
    StreamedAnswerRelay(std::weak_ptr<ProxiedRequest> request, TryNumber number, std::weak_ptr<HeldAnswers> held);

    boost::asio::awaitable<bool> begin(AnswerHead head) override;
    boost::asio::awaitable<bool> write(std::string chunk) override;
    boost::asio::awaitable<bool> end() override;

private:
    class Writing;

    /// Commits @p request to this try and starts the response, unless that was done. Returns whether the caller takes
    /// the answer.
    boost::asio::awaitable<bool> commit(std::shared_ptr<ProxiedRequest> request);

    std::weak_ptr<ProxiedRequest> request_;
    TryNumber number_;
    std::weak_ptr<HeldAnswers> held_;
    AnswerHead head_;
    bool isCommitted_ = false;
};

}
