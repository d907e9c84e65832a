#include "sidecar/peercalls.h"

#include <utility>
#include <variant>

#include "core/currenttime.h"
#include "messages/receivedbody.h"
#include "transfer/pacedanswerreceiver.h"

namespace Egretpath
{

namespace asio = boost::asio;

PeerCalls::PeerCalls(EgressRole &egress, std::shared_ptr<HeldMessages> messages, LinkPacer *linkPacer)
    : egress_(egress)
    , messages_(std::move(messages))
    , linkPacer_(linkPacer)
{
}

asio::awaitable<CallOutcome> PeerCalls::call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation)
{
    RequestBody held;
    if (!body.empty()) {
        std::optional<RequestBody> counted = ReceivedBody::hold(*messages_, std::move(body));
        if (!counted) {
            co_return egress_.refuse(head, noRoom());
        }
        held = std::move(*counted);
    }
    co_return co_await run(std::move(head), std::move(held), std::move(answer), std::move(cancellation));
}

asio::awaitable<CallOutcome> PeerCalls::callWithBody(CallHead head, std::shared_ptr<BodySource> source,
                                                     std::shared_ptr<AnswerReceiver> answer,
                                                     std::shared_ptr<Cancellation> cancellation)
{
    const TimePoint start = currentTime();
    Result<RequestBody> body = co_await readBody(head, *source, *cancellation);
    if (!body) {
        co_return egress_.refuse(head, body.error());
    }
    // The call arrives only now. Its time on the way is told from the clocks, so the sending moves too.
    const auto spent = std::chrono::duration_cast<Microseconds>(currentTime() - start);
    head.remaining -= spent;
    head.targetLatencyLeft -= spent;
    head.sentAt += spent;
    co_return co_await run(std::move(head), std::move(body).value(), std::move(answer), std::move(cancellation));
}

asio::awaitable<Result<RequestBody>> PeerCalls::readBody(const CallHead &head, BodySource &source,
                                                         const Cancellation &cancellation)
{
    const TimePoint deadline = currentTime() + head.remaining;
    if (messages_->rejection(Bytes(source.size()))) {
        co_return noRoom();
    }
    const std::shared_ptr<ReceivedBody> received = ReceivedBody::begin(*messages_, [] {});
    while (true) {
        const std::optional<std::string> piece = co_await source.next();
        if (!piece || cancellation.isCancelled()) {
            co_return notRun(Reason::Cancelled, "the ingress is gone");
        }
        if (currentTime() >= deadline) {
            co_return notRun(Reason::DeadlinePassed, "the request was too long on its way");
        }
        if (piece->empty()) {
            break;
        }
        if (!received->append(*piece)) {
            co_return noRoom();
        }
    }
    std::optional<RequestBody> body = received->complete();
    if (!body) {
        co_return noRoom();
    }
    co_return std::move(*body);
}

asio::awaitable<CallOutcome> PeerCalls::run(CallHead head, RequestBody body, std::shared_ptr<AnswerReceiver> answer,
                                            std::shared_ptr<Cancellation> cancellation)
{
    if (linkPacer_ != nullptr) {
        paceAnswer(*linkPacer_, head.priority, answer, cancellation);
    }
    CallOutcome outcome =
        co_await egress_.call(std::move(head), std::move(body), std::move(answer), std::move(cancellation));
    if (linkPacer_ != nullptr) {
        const auto *complete = std::get_if<CompleteAnswer>(&outcome.result);
        linkPacer_->recordShortMessage(Bytes(complete != nullptr ? complete->body.size() : 0));
    }
    co_return outcome;
}

Failure PeerCalls::noRoom() const
{
    Failure failure = messages_->noRoom();
    // Overloaded would say that the upstream has too much work.
    failure.reason = Reason::Declined;
    return failure;
}

}
