#include "node/egresscontroller.h"

#include <utility>

#include "node/egresscall.h"
#include "node/egressupload.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

AtMostOnceLimits guardLimits(const IdempotencySettings &settings)
{
    AtMostOnceLimits limits;
    limits.keys.finishedKeys = settings.entries;
    limits.keys.retention = settings.memory;
    limits.keys.answerBytes = settings.answer;
    // Else a request that is stuck on its way could still run after a later one under its key was told "not run".
    limits.keys.refusedKeys = RefusedKeys::Retire;
    return limits;
}

}

EgressController::EgressController(asio::any_io_executor executor, Blackboard &board)
    : executor_(std::move(executor))
    , board_(board)
    , guard_(board.self, guardLimits(board.settings.idempotency))
    , slots_(executor_, capsInForce())
    , pool_(executor_, HttpPoolLimits())
{
    // The ingress role of this process hands calls over without a connection.
    introduce(board_.self.incarnation, CallSequence(1));
}

EgressController::~EgressController() = default;

asio::awaitable<CallOutcome> EgressController::call(CallHead head, std::string body,
                                                    std::shared_ptr<AnswerReceiver> answer,
                                                    std::shared_ptr<Cancellation> cancellation)
{
    const auto work = std::make_shared<EgressCall>(*this, std::move(head), std::move(answer), std::move(cancellation));
    if (auto ended = co_await work->begin(body)) {
        co_return std::move(*ended);
    }
    co_await work->sendWhole(std::move(body));
    co_return co_await work->readAnswer();
}

asio::awaitable<PeerService::Admission> EgressController::upload(CallHead head, std::shared_ptr<AnswerReceiver> answer,
                                                                 std::shared_ptr<Cancellation> cancellation)
{
    auto work = std::make_shared<EgressCall>(*this, std::move(head), std::move(answer), std::move(cancellation));
    if (auto ended = co_await work->begin(std::string())) {
        co_return std::move(*ended);
    }
    co_return std::make_shared<EgressUpload>(std::move(work));
}

void EgressController::tableChanged()
{
    const UpstreamPolicy *policy = board_.table->upstream(board_.self.upstream);
    board_.leaving.withoutWeight = policy == nullptr || policy->weight == 0;
    if (policy != nullptr) {
        pool_.setConnectionCap(policy->connectionCap);
    }
    slots_.setCaps(capsInForce());
}

LoadReport EgressController::report() const
{
    LoadReport report = slots_.report();
    report.leaving = board_.leaving.any();
    return report;
}

CallId EgressController::nextCallId()
{
    return CallId(++lastCallId_);
}

AdmissionCaps EgressController::capsInForce() const
{
    AdmissionCaps caps;
    const UpstreamPolicy *policy = board_.table ? board_.table->upstream(board_.self.upstream) : nullptr;
    if (policy != nullptr) {
        caps.inFlightCap = policy->inFlightCap;
        caps.queueCap = policy->queueCap;
    }
    return caps;
}

}
