#include "standins/loadarrivals.h"

namespace Egretpath
{

LoadArrivals::LoadArrivals(const LoadPlan &plan)
    : directPossible_(!plan.direct.empty())
    , burstEvery_(plan.burstEverySeconds)
    , burstCalls_(burstEvery_ > 0 ? plan.burstCalls : 0)
    , random_(plan.seed)
    , gap_(plan.callsPerSecond)
    , kind_({plan.lookups, plan.payments, plan.uploads})
    , poissonSeconds_(gap_(random_))
    , burstSeconds_(burstEvery_)
    , burstLeft_(burstCalls_)
{
}

LoadArrivals::Arrival LoadArrivals::next()
{
    Arrival arrival;
    arrival.time = nextTime();
    arrival.kind = AllCallKinds.at(kind_(random_));
    arrival.direct = directPossible_ && std::bernoulli_distribution()(random_);
    return arrival;
}

Duration LoadArrivals::nextTime()
{
    double seconds = poissonSeconds_;
    if (burstCalls_ > 0 && burstSeconds_ <= poissonSeconds_) {
        seconds = burstSeconds_;
        if (--burstLeft_ == 0) {
            burstSeconds_ += burstEvery_;
            burstLeft_ = burstCalls_;
        }
    } else {
        poissonSeconds_ += gap_(random_);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
