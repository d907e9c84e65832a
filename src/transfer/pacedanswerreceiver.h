#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "rpc/cancellation.h"
#include "rpc/peerservice.h"
#include "transfer/linkpacer.h"

namespace Egretpath
{

/// Passes a streamed answer on to another receiver, in chunks that wait for their turn on the link.
///
/// Thread safety: none. Errors: as AnswerReceiver; write() also returns false after PacedTransfer::cancel().
class PacedAnswerReceiver final : public AnswerReceiver
{
public:
    PacedAnswerReceiver(std::shared_ptr<AnswerReceiver> receiver, std::shared_ptr<PacedTransfer> transfer);

    boost::asio::awaitable<bool> begin(AnswerHead head) override;
    boost::asio::awaitable<bool> write(std::string chunk) override;
    boost::asio::awaitable<bool> end() override;

private:
    std::shared_ptr<AnswerReceiver> receiver_;
    std::shared_ptr<PacedTransfer> transfer_;
};

/// Replaces @p answer by a receiver that sends the chunks of an answer of @p priority through @p pacer, and
/// @p cancellation by one that the original cancels. When the original is cancelled, the place on the link is released
/// at once, and not only when the turn of the next chunk comes. Precondition: the original has no action yet.
void paceAnswer(LinkPacer &pacer, std::uint8_t priority, std::shared_ptr<AnswerReceiver> &answer,
                std::shared_ptr<Cancellation> &cancellation);

}
