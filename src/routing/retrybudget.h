#pragma once

#include <unordered_map>

#include "core/strongtype.h"

namespace Egretpath
{

/// Constants of RetryBudget.
struct RetryBudgetSettings
{
    /// Retries and hedges allowed for each first try.
    double share = 0.1;
    /// Retries that a service may save up for a burst.
    double serviceBurst = 10.0;
    /// Retries that the whole node may save up.
    double nodeBurst = 20.0;
};

/// Limits retries and hedges to a share of first tries, for each service and for the whole node.
///
/// Guards against the retry storm: when many upstreams fail at once, retries multiply the load just when there is
/// least capacity. The load sent stays below (1 + share) times the first tries, however many fail.
///
/// Thread safety: none. Errors: none. It needs no clock: tokens are earned by first tries.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Changes what is earned and saved from now on.
    void setSettings(const RetryBudgetSettings &settings) { settings_ = settings; }

    /// A first try of a call of @p service starts.
    void onFirstTry(const ServiceName &service);

    /// Whether spend() would succeed.
    [[nodiscard]] bool canSpend(const ServiceName &service) const;

    /// Takes one retry from the service's and the node's tokens; takes nothing and returns false if either lacks it.
    [[nodiscard]] bool spend(const ServiceName &service);

    /// The service left the table.
    void forget(const ServiceName &service) { services_.erase(service); }

private:
    RetryBudgetSettings settings_;
    double nodeTokens_;
    std::unordered_map<ServiceName, double> services_;
};

}
