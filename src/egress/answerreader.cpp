#include "egress/answerreader.h"

#include <algorithm>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Answers up to this size are sent in one message, larger answers in pieces.
constexpr std::size_t MaxCompleteAnswer = std::size_t{1024} * 1024;
/// The same for downloads: the size of a chunk, so that no message of a download is larger.
constexpr std::size_t MaxCompleteDownload = std::size_t{16} * 1024;
constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint16_t GatewayTimeoutStatus = 504;

}

AnswerReader::AnswerReader(EgressRole &role, HttpClientCall &call, const AnsweredRequest &request,
                           std::shared_ptr<AnswerReceiver> receiver)
    : role_(role)
    , call_(call)
    , request_(request)
    , receiver_(std::move(receiver))
{
}

void AnswerReader::cancel()
{
    if (stream_) {
        stream_->cancel();
    }
}

asio::awaitable<Result<ReadAnswer>> AnswerReader::read(std::function<void()> onBegan)
{
    while (true) {
        Result<HttpResponseHead> head = co_await call_.readHead();
        if (!head) {
            co_return head.error();
        }
        UpstreamAnswerMetadata metadata = role_.dialect_.read(head.value());
        if (metadata.request.value().empty() || metadata.request == request_.id) {
            onBegan();
            role_.applyStatements(metadata);
            co_return co_await readOwn(std::move(head).value(), std::move(metadata));
        }
        // A faulty upstream may answer an earlier request twice. The second answer then comes before this request's
        // answer.
        const Result<void> skipped = co_await readStray();
        if (!skipped) {
            co_return skipped.error();
        }
        role_.metrics_.count("egretpath_stray_answers_total");
    }
}

asio::awaitable<Result<void>> AnswerReader::readStray()
{
    while (true) {
        const Result<std::string> piece = co_await call_.readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return boost::outcome_v2::success();
        }
    }
}

asio::awaitable<Result<ReadAnswer>> AnswerReader::readOwn(HttpResponseHead head, UpstreamAnswerMetadata metadata)
{
    std::string body;
    bool isComplete = false;
    while (!isComplete && !isLarge(head, body.size())) {
        Result<std::string> piece = co_await call_.readBody();
        if (!piece) {
            co_return piece.error();
        }
        isComplete = piece.value().empty();
        body += piece.value();
    }
    if (auto failure = check(head.status, metadata)) {
        co_return std::move(*failure);
    }
    if (!isComplete) {
        co_return co_await streamAnswer(std::move(head), std::move(body));
    }
    recordAnswer(head.status);
    head.headers.removeHopByHop();
    CompleteAnswer answer{AnswerHead{head.status, std::move(head.headers)}, std::move(body)};
    co_return ReadAnswer(std::move(answer));
}

bool AnswerReader::isLarge(const HttpResponseHead &head, std::size_t size) const
{
    if (!request_.isDownload || head.status >= FirstServerError) {
        return size > MaxCompleteAnswer;
    }
    // The announced length counts only once bytes have come: the answer to a HEAD request has none.
    return size > 0 && std::max<std::uint64_t>(size, head.contentLength.value_or(0)) > MaxCompleteDownload;
}

asio::awaitable<Result<ReadAnswer>> AnswerReader::streamAnswer(HttpResponseHead head, std::string body)
{
    const std::uint16_t status = head.status;
    head.headers.removeHopByHop();
    stream_ = std::make_shared<AnswerStream>(role_.executor_, receiver_, role_.heldAnswers_);
    stream_->add(body);
    stream_->start(AnswerHead{status, std::move(head.headers)});
    while (true) {
        if (!stream_->hasRoom()) {
            co_await pauseReading();
        }
        if (stream_->hasEnded()) {
            call_.cancel();
            co_return mayHaveRun(Reason::Cancelled, "the ingress takes no more of the answer");
        }
        const Result<std::string> piece = co_await call_.readBody();
        if (!piece) {
            stream_->cancel();
            co_return piece.error();
        }
        if (piece.value().empty()) {
            break;
        }
        stream_->add(piece.value());
    }
    recordAnswer(status);
    co_return ReadAnswer(stream_);
}

/// The time of the pause does not count towards the deadline: an answer that is under way is not cut off for the
/// budget.
asio::awaitable<void> AnswerReader::pauseReading()
{
    const TimePoint pausedAt = currentTime();
    call_.setDeadline(TimePoint::max());
    co_await stream_->waitForRoom();
    request_.deadline += currentTime() - pausedAt;
    call_.setDeadline(request_.deadline);
}

std::optional<Failure> AnswerReader::check(std::uint16_t status, const UpstreamAnswerMetadata &metadata)
{
    role_.applyAnswerMetadata(metadata);
    if (metadata.isWrongUpstream) {
        return notRun(Reason::WrongIncarnation, "another upstream has the address");
    }
    if (metadata.isNotRun) {
        role_.recordAnswer(true);
        return notRun(Reason::Shed, "the upstream refused it with status " + std::to_string(status));
    }
    if (!metadata.isAuthentic) {
        role_.recordAnswer(true);
        return mayHaveRun(Reason::BadAnswer, "the answer lacks what proves that it is the upstream's");
    }
    return std::nullopt;
}

void AnswerReader::recordAnswer(std::uint16_t status)
{
    if (status < FirstServerError) {
        role_.recentAnswers_.record(request_.content, currentTime());
    }
    role_.recordAnswer(status >= FirstServerError && status != GatewayTimeoutStatus);
}

}
