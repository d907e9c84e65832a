#include "routing/retrybudget.h"

#include <algorithm>

namespace Egretpath
{

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings_(settings)
    , nodeTokens_(settings.nodeBurst)
{
}

void RetryBudget::onFirstTry(const ServiceName &service)
{
    double &tokens = services_.try_emplace(service, settings_.serviceBurst).first->second;
    tokens = std::min(tokens + settings_.share, settings_.serviceBurst);
    nodeTokens_ = std::min(nodeTokens_ + settings_.share, settings_.nodeBurst);
}

bool RetryBudget::canSpend(const ServiceName &service) const
{
    const auto entry = services_.find(service);
    return nodeTokens_ >= 1.0 && entry != services_.end() && entry->second >= 1.0;
}

bool RetryBudget::spend(const ServiceName &service)
{
    if (!canSpend(service)) {
        return false;
    }
    services_.find(service)->second -= 1.0;
    nodeTokens_ -= 1.0;
    return true;
}

}
