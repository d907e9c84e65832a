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

constexpr Milliseconds AnswerLimit{500};
/// Before a node that did not answer is told again; twice as long each time.
constexpr Milliseconds RetryPause{100};
constexpr int TellTries = 5;
/// Between exchanges with nodes that refuse other requests; twice as long after each that settled nothing.
constexpr Milliseconds LeastExchangePause{20};
constexpr Milliseconds LongestExchangePause{5000};
constexpr Milliseconds ExpiryInterval{1000};

}

QuarantineController::QuarantineController(asio::any_io_executor executor, SidecarState &state, PeerClient &peers,
                                           std::function<void()> changed)
    : executor_(std::move(executor))
    , state_(state)
    , peers_(peers)
    , changed_(std::move(changed))
    , spread_(Random(state.random()))
    , exchangePause_(LeastExchangePause)
{
}

void QuarantineController::settingsChanged()
{
    std::vector<RequestFingerprint> allowed;
    for (const Digest &digest : state_.settings.allowedRequests) {
        allowed.push_back({digest});
    }
    state_.quarantine.setAllowed(allowed);
}

void QuarantineController::start()
{
    settingsChanged();
    asio::co_spawn(executor_, expireOldOnes(), asio::detached);
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
    const UpstreamCrash seen{crash, exits_.flaps(crash, state_.quarantine, now)};
    exits_.record(crash, requests, now);
    const CrashResult result = state_.quarantine.crashed(seen, requests, now);
    tellKeepers(result.known);
    noteRefused(result.refused, "own upstream");
}

void QuarantineController::tellKeepers(const std::vector<SuspectedRequest> &known)
{
    const Endpoint own = state_.ownNode();
    for (const Endpoint &keeper : spread_.keepers(state_.directory, state_.settings.service)) {
        if (keeper != own) {
            asio::co_spawn(executor_, tell(keeper, known), asio::detached);
        }
    }
}

asio::awaitable<void> QuarantineController::tell(Endpoint node, std::vector<SuspectedRequest> requests)
{
    asio::steady_timer timer(executor_);
    Duration pause = RetryPause;
    for (int attempt = 0; attempt < TellTries; ++attempt) {
        QuarantineUpdate update = updateOf(requests);
        const Result<QuarantineUpdate> answer =
            co_await peers_.quarantine(node, std::move(update), currentTime() + AnswerLimit);
        if (answer) {
            take(answer.value().requests, node.value());
            co_return;
        }
        timer.expires_after(pause);
        co_await timer.async_wait(asio::use_awaitable);
        pause *= 2;
    }
    state_.metrics.count("egretpath_quarantine_untold_total");
}

void QuarantineController::take(const std::vector<SuspectedRequest> &told, const std::string &from)
{
    noteRefused(state_.quarantine.take(told, currentTime()), from);
}

void QuarantineController::noteRefused(const std::vector<SuspectedRequest> &refused, const std::string &from)
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
    passOn(refused);
    changed_();
}

void QuarantineController::passOn(const std::vector<SuspectedRequest> &refused)
{
    if (const auto due = spread_.gather(refused, currentTime())) {
        asio::co_spawn(executor_, passOnAt(*due), asio::detached);
    }
}

asio::awaitable<void> QuarantineController::passOnAt(TimePoint due)
{
    asio::steady_timer timer(executor_, due);
    co_await timer.async_wait(asio::use_awaitable);
    const std::vector<SuspectedRequest> gathered = spread_.takeGathered(currentTime());
    for (const Endpoint &node : spread_.listeners(state_.directory, state_.ownNode())) {
        asio::co_spawn(executor_, tell(node, gathered), asio::detached);
    }
}

QuarantineUpdate QuarantineController::answer(const QuarantineUpdate &update)
{
    const TimePoint now = currentTime();
    take(update.requests, "another node");
    std::vector<SuspectedRequest> more = state_.quarantine.moreThan(update.requests, now);
    if (update.digest != state_.quarantine.digest()) {
        const std::vector<SuspectedRequest> refused = state_.quarantine.refused(now);
        more.insert(more.end(), refused.begin(), refused.end());
    }
    return updateOf(std::move(more));
}

void QuarantineController::recordDigest(const Endpoint &peer, QuarantineDigest digest)
{
    const bool isSettled = digest == state_.quarantine.digest();
    if (isSettled || exchanging_ || currentTime() < nextExchange_) {
        return;
    }
    exchanging_ = true;
    asio::co_spawn(executor_, exchange(peer), asio::detached);
}

asio::awaitable<void> QuarantineController::exchange(Endpoint peer)
{
    QuarantineUpdate update = updateOf(state_.quarantine.refused(currentTime()));
    const Result<QuarantineUpdate> answer =
        co_await peers_.quarantine(peer, std::move(update), currentTime() + AnswerLimit);
    if (answer) {
        take(answer.value().requests, peer.value());
    }
    const bool isSettled = answer && answer.value().digest == state_.quarantine.digest();
    exchangePause_ = isSettled ? LeastExchangePause : std::min<Duration>(exchangePause_ * 2, LongestExchangePause);
    nextExchange_ = currentTime() + exchangePause_;
    exchanging_ = false;
}

asio::awaitable<void> QuarantineController::expireOldOnes()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(ExpiryInterval);
        co_await timer.async_wait(asio::use_awaitable);
        state_.quarantine.expire(currentTime());
    }
}

QuarantineUpdate QuarantineController::updateOf(std::vector<SuspectedRequest> requests)
{
    return {state_.quarantine.digest(), spread_.inOneMessage(std::move(requests))};
}

std::string QuarantineController::page() const
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
