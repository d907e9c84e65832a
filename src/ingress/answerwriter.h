#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "http/httpexchange.h"
#include "messages/heldmessages.h"
#include "transfer/linkpacer.h"

namespace Egretpath
{

/// Writes the answer of one request to its caller: at once, or paced if the rate of the link is known. Its bytes count
/// against the node's memory until the caller has taken them.
///
/// Preconditions: the exchange and the pacer outlive the writing; nothing is written after the exchange was left to the
/// server. Thread safety: none; use it on the thread of the event loop.
class AnswerWriter : public std::enable_shared_from_this<AnswerWriter>
{
public:
    /// @p pacer: null if the rate of the link is not known. @p priority: of the request; 0 is the most urgent.
    AnswerWriter(HttpExchange &exchange, std::shared_ptr<HeldMessages> messages, LinkPacer *pacer);

    void setPriority(std::uint32_t priority) { priority_ = priority; }
    /// Counts a complete answer of @p size. Returns why it can't be held, or nothing. The exchange is aborted if the
    /// answer is given up for others later.
    [[nodiscard]] std::optional<Failure> hold(Bytes size);
    /// Sends a complete answer.
    boost::asio::awaitable<void> send(HttpResponseHead head, std::string body);
    /// Writes a piece of the body of a response that was started. Returns whether the caller takes more.
    boost::asio::awaitable<bool> writePiece(std::string piece);
    /// Lets a piece that waits for its turn on the link fail, and all later ones.
    void cancel();

private:
    /// Writes @p piece at once, part by part, so that a slow caller's progress is seen.
    static boost::asio::awaitable<bool> writeParts(std::string piece, PacedTransfer::ChunkWriter writer);

    HttpExchange &exchange_;
    std::shared_ptr<HeldMessages> messages_;
    LinkPacer *pacer_;
    std::uint32_t priority_ = 0;
    /// Null before the first byte of a paced answer.
    std::shared_ptr<PacedTransfer> transfer_;
    /// Null for short answers and for those that come in pieces.
    std::unique_ptr<HeldMessage> held_;
};

}
