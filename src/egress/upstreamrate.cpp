#include "egress/upstreamrate.h"

#include <algorithm>
#include <string>

namespace Egretpath
{

UpstreamRate::UpstreamRate(EventLog &log, Metrics &metrics)
    : log_(log)
    , metrics_(metrics)
    , limit_(currentTime())
{
}

void UpstreamRate::setColdRate(std::optional<RequestRate> rate)
{
    coldRate_ = rate;
    updateColdRate();
}

void UpstreamRate::onReplaced(const UpstreamName &upstream)
{
    upstream_ = upstream;
    setRate(RateGround::Named, std::nullopt);
    onDisconnected();
}

void UpstreamRate::onDisconnected()
{
    warmth_.onUnknown();
    updateColdRate();
}

void UpstreamRate::onAnswer(std::optional<RequestRate> limit)
{
    const std::optional<RequestRate> before = limit_.rate(RateGround::Named);
    if (before == limit) {
        return;
    }
    setRate(RateGround::Named, limit);
    StructuredLine line("limit");
    line.add("upstream", upstream_.value());
    line.add("per_second", limit ? std::to_string(limit->value()) : "none");
    log_.info(line);
    metrics_.set("egretpath_upstream_limit_per_second", {}, limit ? limit->value() : 0.0);
}

void UpstreamRate::onHealthAnswer(std::optional<Milliseconds> warmUpLeft)
{
    if (!warmUpLeft) {
        metrics_.count("egretpath_warm_up_unreadable_total");
        onDisconnected();
        return;
    }
    const bool wasCold = warmth_.isKnownCold();
    warmth_.onHealthAnswer(*warmUpLeft, currentTime());
    updateColdRate();
    if (coldRate_ && wasCold != warmth_.isKnownCold()) {
        StructuredLine line("warm-up");
        line.add("upstream", upstream_.value()).add("left_ms", warmUpLeft->count());
        line.add("per_second", std::to_string(coldRate_->value()));
        log_.info(line);
        metrics_.set("egretpath_upstream_cold", {}, warmth_.isKnownCold() ? 1.0 : 0.0);
    }
}

void UpstreamRate::onHandOver()
{
    limit_.onHandOver(currentTime());
    warmth_.onHandOver();
    updateColdRate();
}

std::string_view UpstreamRate::limitedBy() const
{
    if (limit_.rate(RateGround::Cold)) {
        return "cold";
    }
    return limit_.rate(RateGround::Named) ? "named" : "";
}

Failure UpstreamRate::refusal(Duration wait) const
{
    if (!limit_.rate(RateGround::Cold)) {
        return notRun(Reason::RateLimited, "the limit that the upstream names is used up",
                      std::chrono::ceil<Milliseconds>(wait));
    }
    // Only a warm upstream has room for those that come back.
    const Duration warmUpLeft = warmth_.warmUpLeft(currentTime());
    return notRun(Reason::RateLimited, "the upstream is cold, and what it takes meanwhile is used up",
                  std::chrono::ceil<Milliseconds>(std::max(wait, warmUpLeft)));
}

bool UpstreamRate::needsHealthCheck(Duration maxAge) const
{
    return coldRate_ && !warmth_.isWarm() && currentTime() - warmth_.answeredAt() >= maxAge;
}

void UpstreamRate::updateColdRate()
{
    const std::optional<RequestRate> rate = warmth_.isWarm() ? std::nullopt : coldRate_;
    if (rate != limit_.rate(RateGround::Cold)) {
        setRate(RateGround::Cold, rate);
    }
}

void UpstreamRate::setRate(RateGround ground, std::optional<RequestRate> rate)
{
    limit_.setRate(ground, rate, currentTime());
    if (limitListener_) {
        limitListener_();
    }
}

}
