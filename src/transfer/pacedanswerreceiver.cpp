#include "transfer/pacedanswerreceiver.h"

#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

PacedAnswerReceiver::PacedAnswerReceiver(std::shared_ptr<AnswerReceiver> receiver,
                                         std::shared_ptr<PacedTransfer> transfer)
    : receiver_(std::move(receiver))
    , transfer_(std::move(transfer))
{
}

asio::awaitable<bool> PacedAnswerReceiver::begin(AnswerHead head)
{
    return receiver_->begin(std::move(head));
}

asio::awaitable<bool> PacedAnswerReceiver::write(std::string chunk)
{
    PacedTransfer::ChunkWriter writer = [receiver = receiver_](std::string piece) {
        return receiver->write(std::move(piece));
    };
    return transfer_->write(std::move(chunk), std::move(writer));
}

asio::awaitable<bool> PacedAnswerReceiver::end()
{
    return receiver_->end();
}

void paceAnswer(LinkPacer &pacer, std::uint8_t priority, std::shared_ptr<AnswerReceiver> &answer,
                std::shared_ptr<Cancellation> &cancellation)
{
    const auto transfer = pacer.open(priority);
    const auto inner = std::make_shared<Cancellation>();
    answer = std::make_shared<PacedAnswerReceiver>(std::move(answer), transfer);
    cancellation->setAction([transfer, inner] {
        transfer->cancel();
        inner->cancel();
    });
    cancellation = inner;
}

}
