#include "ingress/answerwriter.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

AnswerWriter::AnswerWriter(HttpExchange &exchange, std::shared_ptr<HeldMessages> messages, LinkPacer *pacer)
    : exchange_(exchange)
    , messages_(std::move(messages))
    , pacer_(pacer)
{
}

std::optional<Failure> AnswerWriter::hold(Bytes size)
{
    if (size.value() <= MaxChunkBytes) {
        return std::nullopt;
    }
    held_ = messages_->begin([weak = weak_from_this()] {
        if (const auto writer = weak.lock()) {
            writer->exchange_.abort();
        }
    });
    if (held_->grow(size)) {
        return std::nullopt;
    }
    // The request has run.
    return mayHaveRun(Reason::Overloaded, "the node holds too many answers for slow readers");
}

asio::awaitable<void> AnswerWriter::send(HttpResponseHead head, std::string body)
{
    if (body.size() <= MaxChunkBytes) {
        if (pacer_ != nullptr) {
            pacer_->recordShortMessage(Bytes(body.size()));
        }
        [[maybe_unused]] const Result<void> sent = co_await exchange_.respond(std::move(head), std::move(body));
        co_return;
    }
    const Result<void> started = co_await exchange_.startResponse(std::move(head), body.size());
    if (!started) {
        co_return;
    }
    // If a piece is not written, the server resets the connection, since the response is incomplete.
    const bool isWritten = co_await writePiece(std::move(body));
    if (isWritten) {
        [[maybe_unused]] const Result<void> finished = co_await exchange_.finishResponse();
    }
}

asio::awaitable<bool> AnswerWriter::writePiece(std::string piece)
{
    const auto self = shared_from_this();
    PacedTransfer::ChunkWriter writer = [this](std::string chunk) -> asio::awaitable<bool> {
        const Bytes size(chunk.size());
        const Result<void> written = co_await exchange_.writeBody(std::move(chunk));
        if (held_) {
            held_->progress(size);
        }
        co_return written.has_value();
    };
    bool isWritten = false;
    if (pacer_ == nullptr) {
        isWritten = co_await writeParts(std::move(piece), std::move(writer));
    } else {
        if (!transfer_) {
            transfer_ = pacer_->open(static_cast<std::uint8_t>(std::min<std::uint32_t>(priority_, UINT8_MAX)));
        }
        isWritten = co_await transfer_->write(std::move(piece), std::move(writer));
    }
    co_return isWritten;
}

asio::awaitable<bool> AnswerWriter::writeParts(std::string piece, PacedTransfer::ChunkWriter writer)
{
    constexpr std::size_t MaxPartBytes = std::size_t{64} * 1024;
    if (piece.size() <= MaxPartBytes) {
        co_return co_await writer(std::move(piece));
    }
    bool isWritten = true;
    for (std::size_t begin = 0; isWritten && begin < piece.size(); begin += MaxPartBytes) {
        std::string part = piece.substr(begin, MaxPartBytes);
        isWritten = co_await writer(std::move(part));
    }
    co_return isWritten;
}

void AnswerWriter::cancel()
{
    if (transfer_) {
        transfer_->cancel();
    }
}

}
