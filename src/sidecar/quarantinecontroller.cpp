#include "sidecar/quarantinecontroller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Milliseconds AnswerTimeout{500};
/// Delay before the update is sent again to a node that did not answer; twice as long after each attempt.
constexpr Milliseconds InitialRetryDelay{100};
constexpr int MaxSendAttempts = 5;
/// Interval between exchanges with nodes that refuse a different set of requests; twice as long after each exchange
/// that left a difference.
constexpr Milliseconds MinExchangeInterval{20};
constexpr Milliseconds MaxExchangeInterval{5000};
constexpr Milliseconds ExpiryInterval{1000};

}

QuarantineController::QuarantineController(asio::any_io_executor executor, SidecarState &state, PeerClient &peerClient,
                                           std::function<void()> onChanged)
    : executor_(std::move(executor))
    , state_(state)
    , peerClient_(peerClient)
    , onChanged_(std::move(onChanged))
    , gossip_(Random(state.random()))
    , exchangeInterval_(MinExchangeInterval)
{
}

void QuarantineController::applySettings()
{
    std::vector<RequestFingerprint> allowed;
    for (const Digest &digest : state_.settings.allowedRequests) {
        allowed.push_back({digest});
    }
    state_.quarantine.setAllowed(allowed);
}

void QuarantineController::start()
{
    applySettings();
    asio::co_spawn(executor_, expirePeriodically(), asio::detached);
}

void QuarantineController::upstreamExited(UpstreamCrashId crash, const std::vector<HeldRequest> &held)
{
    std::vector<RequestFingerprint> requests;
    for (const HeldRequest &item : held) {
        if (!item.answeredRecently) {
            requests.push_back(item.fingerprint);
        }
    }
    if (requests.empty()) {
        return;
    }
    const TimePoint now = currentTime();
    const UpstreamCrash upstreamCrash{crash, exits_.isFlapping(crash, state_.quarantine, now)};
    exits_.record(crash, requests, now);
    const CrashResult result = state_.quarantine.recordCrash(upstreamCrash, requests, now);
    reportCrashes(result.known);
    recordRefused(result.refused, "own upstream");
}

void QuarantineController::reportCrashes(const std::vector<SuspectedRequest> &known)
{
    const Endpoint own = state_.ownAddress();
    for (const Endpoint &node : gossip_.collectors(state_.directory, state_.settings.service)) {
        if (node != own) {
            asio::co_spawn(executor_, sendUpdate(node, known), asio::detached);
        }
    }
}

asio::awaitable<void> QuarantineController::sendUpdate(Endpoint node, std::vector<SuspectedRequest> requests)
{
    asio::steady_timer timer(executor_);
    Duration retryDelay = InitialRetryDelay;
    for (int attempt = 0; attempt < MaxSendAttempts; ++attempt) {
        QuarantineUpdate update = makeUpdate(requests);
        const Result<QuarantineUpdate> answer =
            co_await peerClient_.quarantine(node, std::move(update), currentTime() + AnswerTimeout);
        if (answer) {
            apply(answer.value().requests, node.value());
            co_return;
        }
        timer.expires_after(retryDelay);
        co_await timer.async_wait(asio::use_awaitable);
        retryDelay *= 2;
    }
    state_.metrics.count("egretpath_quarantine_untold_total");
}

void QuarantineController::apply(const std::vector<SuspectedRequest> &received, const std::string &from)
{
    recordRefused(state_.quarantine.merge(received, currentTime()), from);
}

void QuarantineController::recordRefused(const std::vector<SuspectedRequest> &refused, const std::string &from)
{
    if (refused.empty()) {
        return;
    }
    for (const SuspectedRequest &item : refused) {
        StructuredLine line("quarantine");
        line.add("fingerprint", toHex(item.fingerprint)).add("crashes", std::uint64_t{item.crashes.size()});
        line.add("age_ms", item.age.count()).add("from", from);
        state_.log.info(line);
        state_.metrics.count("egretpath_quarantined_total");
    }
    forward(refused);
    onChanged_();
}

void QuarantineController::forward(const std::vector<SuspectedRequest> &refused)
{
    if (const auto due = gossip_.enqueue(refused, currentTime())) {
        asio::co_spawn(executor_, forwardAt(*due), asio::detached);
    }
}

asio::awaitable<void> QuarantineController::forwardAt(TimePoint due)
{
    asio::steady_timer timer(executor_, due);
    co_await timer.async_wait(asio::use_awaitable);
    const std::vector<SuspectedRequest> pending = gossip_.takePending(currentTime());
    for (const Endpoint &node : gossip_.gossipTargets(state_.directory, state_.ownAddress())) {
        asio::co_spawn(executor_, sendUpdate(node, pending), asio::detached);
    }
}

QuarantineUpdate QuarantineController::answer(const QuarantineUpdate &update)
{
    const TimePoint now = currentTime();
    apply(update.requests, "another node");
    std::vector<SuspectedRequest> more = state_.quarantine.missingFrom(update.requests, now);
    if (update.digest != state_.quarantine.digest()) {
        const std::vector<SuspectedRequest> refused = state_.quarantine.refused(now);
        more.insert(more.end(), refused.begin(), refused.end());
    }
    return makeUpdate(std::move(more));
}

void QuarantineController::recordDigest(const Endpoint &peer, QuarantineDigest digest)
{
    const bool isInSync = digest == state_.quarantine.digest();
    if (isInSync || isExchanging_ || currentTime() < nextExchangeAt_) {
        return;
    }
    isExchanging_ = true;
    asio::co_spawn(executor_, exchange(peer), asio::detached);
}

asio::awaitable<void> QuarantineController::exchange(Endpoint peer)
{
    QuarantineUpdate update = makeUpdate(state_.quarantine.refused(currentTime()));
    const Result<QuarantineUpdate> answer =
        co_await peerClient_.quarantine(peer, std::move(update), currentTime() + AnswerTimeout);
    if (answer) {
        apply(answer.value().requests, peer.value());
    }
    const bool isInSync = answer && answer.value().digest == state_.quarantine.digest();
    exchangeInterval_ = isInSync ? MinExchangeInterval : std::min<Duration>(exchangeInterval_ * 2, MaxExchangeInterval);
    nextExchangeAt_ = currentTime() + exchangeInterval_;
    isExchanging_ = false;
}

asio::awaitable<void> QuarantineController::expirePeriodically()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(ExpiryInterval);
        co_await timer.async_wait(asio::use_awaitable);
        state_.quarantine.expire(currentTime());
    }
}

QuarantineUpdate QuarantineController::makeUpdate(std::vector<SuspectedRequest> requests)
{
    return {state_.quarantine.digest(), gossip_.selectForMessage(std::move(requests))};
}

std::string QuarantineController::csvText() const
{
    const TimePoint now = currentTime();
    std::string text = "fingerprint,crashes,age_ms\n";
    for (const SuspectedRequest &item : state_.quarantine.refused(now)) {
        text += toHex(item.fingerprint) + ',' + std::to_string(item.crashes.size()) + ','
            + std::to_string(item.age.count()) + '\n';
    }
    return text;
}

}
