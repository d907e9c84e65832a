#include "admission/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

class FixedLimit : public ConcurrencyLimit
{
public:
    void onFinished(Duration /*serviceTime*/, std::uint32_t /*inFlight*/) override { }
    [[nodiscard]] std::uint32_t limit(std::uint32_t cap) const override { return cap; }
};

/// The gradient rule of Netflix's concurrency-limits: short-term against long-term service time.
class GradientLimit : public ConcurrencyLimit
{
public:
    void onFinished(Duration serviceTime, std::uint32_t inFlight) override
    {
        const double sample = std::chrono::duration<double, std::micro>(serviceTime).count();
        if (longTerm_ == 0.0) {
            longTerm_ = sample;
            shortTerm_ = sample;
        }
        longTerm_ += LongGain * (sample - longTerm_);
        shortTerm_ += ShortGain * (sample - shortTerm_);
        adjust(inFlight);
    }

    [[nodiscard]] std::uint32_t limit(std::uint32_t cap) const override
    {
        if (cap == 0) {
            return 0;
        }
        return static_cast<std::uint32_t>(std::clamp(limit_, 1.0, static_cast<double>(cap)));
    }

private:
    void adjust(std::uint32_t inFlight)
    {
        const double gradient = std::clamp(Tolerance * longTerm_ / shortTerm_, LowestGradient, 1.0);
        const double used = std::min(limit_, static_cast<double>(inFlight));
        if (gradient < 1.0) {
            limit_ += Smoothing * (used * gradient - limit_);
        } else if (used * 2.0 >= limit_) {
            limit_ += Smoothing * std::sqrt(limit_);
        }
        limit_ = std::clamp(limit_, 1.0, HighestLimit);
    }

    static constexpr double LongGain = 0.002;
    static constexpr double ShortGain = 0.1;
    static constexpr double Tolerance = 1.5;
    static constexpr double LowestGradient = 0.5;
    static constexpr double Smoothing = 0.2;
    static constexpr double HighestLimit = 1000.0;

    double limit_ = HighestLimit;
    double longTerm_ = 0.0;
    double shortTerm_ = 0.0;
};

}

std::unique_ptr<ConcurrencyLimit> makeFixedLimit()
{
    return std::make_unique<FixedLimit>();
}

std::unique_ptr<ConcurrencyLimit> makeGradientLimit()
{
    return std::make_unique<GradientLimit>();
}

}
