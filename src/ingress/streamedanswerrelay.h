#pragma once

#include <cstdint>
#include <memory>

#include "ingress/proxiedrequest.h"

namespace Egretpath
{

/// Relays an answer that is too large for one message to the caller, piece by piece. Thread safety: none.
class StreamedAnswerRelay final : public AnswerReceiver
{
public:
    StreamedAnswerRelay(std::weak_ptr<ProxiedRequest> request, TryNumber number);

    boost::asio::awaitable<bool> begin(AnswerHead head) override;
    boost::asio::awaitable<bool> write(std::string chunk) override;
    boost::asio::awaitable<bool> end() override;

private:
    std::weak_ptr<ProxiedRequest> request_;
    TryNumber number_;
    /// Bytes of the answer so far.
    std::uint64_t size_ = 0;
};

}
