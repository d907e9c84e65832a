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
/// So much of each answer is read whatever the node holds.
constexpr std::size_t MaxUncountedBytes = std::size_t{16} * 1024;
/// The answers to other requests that may come before the own one, and the time for the body of one. An upstream sends
/// its second answers at once, over a connection that does not leave the VM.
constexpr unsigned MaxStrayAnswers = 8;
constexpr Milliseconds MaxStrayTime{100};
/// The time for the body of an answer whose head shows that it is not passed on. The caller waits for it.
constexpr Milliseconds MaxUnusedBodyTime{20};
constexpr std::size_t MaxDroppedBytes = std::size_t{1024} * 1024;
constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint16_t GatewayTimeoutStatus = 504;

}

AnswerReader::AnswerReader(EgressRole &role, HttpClientCall &call, const AnsweredRequest &request,
                           std::shared_ptr<AnswerReceiver> receiver)
    : role_(role)
    , call_(call)
    , request_(request)
    , receiver_(std::move(receiver))
    , held_(role.heldAnswers_)
    , pauseLeft_(role.settings_.maxAnswerPause)
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
    for (unsigned strayAnswers = 0; strayAnswers <= MaxStrayAnswers; ++strayAnswers) {
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
        role_.metrics_.count("egretpath_stray_answers_total");
        const Result<void> dropped = co_await dropBody(MaxStrayTime);
        if (!dropped) {
            co_return dropped.error();
        }
    }
    co_return giveUpEndless("answers to other requests without end");
}

asio::awaitable<Result<void>> AnswerReader::dropBody(Duration maxTime)
{
    const TimePoint end = currentTime() + maxTime;
    call_.setDeadline(std::min<TimePoint>(request_.deadline, end));
    for (std::size_t size = 0; size <= MaxDroppedBytes;) {
        const Result<std::string> piece = co_await call_.readBody();
        const bool isTooLong = !piece && piece.error().reason == Reason::DeadlinePassed && end < request_.deadline;
        if (isTooLong) {
            break;
        }
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            call_.setDeadline(request_.deadline);
            co_return boost::outcome_v2::success();
        }
        size += piece.value().size();
    }
    co_return giveUpEndless("the body of an answer that is dropped has no end");
}

Failure AnswerReader::giveUpEndless(std::string detail)
{
    call_.cancel();
    role_.metrics_.count("egretpath_endless_answers_total");
    return mayHaveRun(Reason::BadAnswer, std::move(detail));
}

asio::awaitable<Result<ReadAnswer>> AnswerReader::readOwn(HttpResponseHead head, UpstreamAnswerMetadata metadata)
{
    // What the head proves is true whatever follows, and does not wait for it.
    if (metadata.isWrongUpstream || metadata.isNotRun || !metadata.isAuthentic) {
        std::optional<Failure> failure = check(head.status, metadata);
        // Only a connection whose answer was read can be used again.
        [[maybe_unused]] const Result<void> dropped = co_await dropBody(MaxUnusedBodyTime);
        co_return std::move(*failure);
    }
    std::string body;
    bool isComplete = false;
    while (!isComplete && !isPassedOnEarly(head, body.size())) {
        Result<std::string> piece = co_await call_.readBody();
        if (!piece) {
            co_return piece.error();
        }
        isComplete = piece.value().empty();
        body += piece.value();
        held_.grow(Bytes(piece.value().size()));
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

bool AnswerReader::isPassedOnEarly(const HttpResponseHead &head, std::size_t size) const
{
    return isLarge(head, size) || (size > MaxUncountedBytes && !held_.hasRoom());
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
    held_.releaseAll();
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
/// budget. But all pauses together have a limit, since an answer that has no end would pause for ever.
asio::awaitable<void> AnswerReader::pauseReading()
{
    const TimePoint pausedAt = currentTime();
    call_.setDeadline(TimePoint::max());
    co_await stream_->waitForRoom(pausedAt + pauseLeft_);
    const Duration pause = std::min<Duration>(currentTime() - pausedAt, pauseLeft_);
    pauseLeft_ -= pause;
    request_.deadline += pause;
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
