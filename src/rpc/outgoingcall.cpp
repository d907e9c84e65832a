#include "rpc/outgoingcall.h"

#include <utility>

#include <kj/debug.h>

#include "rpc/kjawait.h"
#include "rpc/wireconversion.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Passes the pieces of a large answer to the receiver of the call that waits for the answer.
class AnswerSinkServer final : public Wire::AnswerSink::Server
{
public:
    AnswerSinkServer(asio::any_io_executor executor, std::shared_ptr<AnswerReceiver> receiver,
                     std::shared_ptr<AnswerProgress> progress)
        : executor_(std::move(executor))
        , receiver_(std::move(receiver))
        , progress_(std::move(progress))
    {
    }

protected:
    kj::Promise<void> begin(BeginContext context) override
    {
        return rejectUnlessAccepted(receiver_->begin(WireConversion::read(context.getParams().getHead())));
    }

    kj::Promise<void> write(WriteContext context) override
    {
        progress_->hasChunk = true;
        ++progress_->openChunks;
        return rejectUnlessAccepted(
            takeChunk(receiver_, progress_, WireConversion::readBytes(context.getParams().getChunk())));
    }

    kj::Promise<void> end(EndContext /*context*/) override { return rejectUnlessAccepted(receiver_->end()); }

private:
    static asio::awaitable<bool> takeChunk(std::shared_ptr<AnswerReceiver> receiver,
                                           std::shared_ptr<AnswerProgress> progress, std::string chunk)
    {
        const bool isAccepted = co_await receiver->write(std::move(chunk));
        --progress->openChunks;
        progress->lastChange = std::chrono::steady_clock::now();
        co_return isAccepted;
    }

    kj::Promise<void> rejectUnlessAccepted(asio::awaitable<bool> work)
    {
        return toPromise(executor_, std::move(work)).then([](bool isAccepted) {
            if (!isAccepted) {
                kj::throwRecoverableException(KJ_EXCEPTION(FAILED, "the caller is gone"));
            }
        });
    }

    asio::any_io_executor executor_;
    std::shared_ptr<AnswerReceiver> receiver_;
    std::shared_ptr<AnswerProgress> progress_;
};

/// Hands out the body of a call to the peer that runs it.
class BodySourceServer final : public Wire::BodySource::Server
{
public:
    explicit BodySourceServer(RequestBody body)
        : body_(std::move(body))
    {
    }

protected:
    kj::Promise<void> read(ReadContext context) override
    {
        const auto params = context.getParams();
        const std::uint64_t offset = params.getOffset();
        const std::uint64_t size = params.getSize();
        if (size > MaxMessageBodyBytes || offset > body_.size() || size > body_.size() - offset) {
            kj::throwRecoverableException(KJ_EXCEPTION(FAILED, "not a part of the body"));
            return kj::READY_NOW;
        }
        context.getResults().setPiece(WireConversion::asData(body_.view().substr(offset, size)));
        return kj::READY_NOW;
    }

private:
    RequestBody body_;
};

}

kj::Promise<CallOutcome> sendWithBody(Wire::Node::Client &node, const asio::any_io_executor &executor,
                                      const OutgoingCall &call)
{
    auto request = node.callRequest();
    WireConversion::write(request.initHead(), call.head);
    request.setBody(WireConversion::asData(call.body.view()));
    request.setAnswer(kj::heap<AnswerSinkServer>(executor, call.answer, call.progress));
    return request.send().then([](auto &&response) { return WireConversion::read(response.getOutcome()); });
}

kj::Promise<CallOutcome> sendWithSource(Wire::Node::Client &node, const asio::any_io_executor &executor,
                                        const OutgoingCall &call, std::shared_ptr<bool> isUnknown)
{
    auto request = node.callWithBodyRequest();
    WireConversion::write(request.initHead(), call.head);
    request.setSize(call.body.size());
    request.setBody(kj::heap<BodySourceServer>(call.body));
    request.setAnswer(kj::heap<AnswerSinkServer>(executor, call.answer, call.progress));
    return request.send().then([](auto &&response) { return WireConversion::read(response.getOutcome()); },
                               [isUnknown](kj::Exception &&error) -> CallOutcome {
                                   *isUnknown = error.getType() == kj::Exception::Type::UNIMPLEMENTED;
                                   kj::throwFatalException(kj::mv(error));
                               });
}

}
