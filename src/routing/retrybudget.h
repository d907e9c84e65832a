#pragma once

#include <unordered_map>

#include "core/strongtype.h"

namespace Egretpath
{

/// Tuning constants of RetryBudget.
struct RetryBudgetSettings
{
    /// Retries that each first try allows.
    double share = 0.1;
    /// Maximum number of retries that a service can save up for a burst.
    double serviceBurst = 10.0;
    /// Maximum number of retries that the whole node can save up.
    double nodeBurst = 20.0;
};

/// Limits retries to a share of first tries, for each service and for the whole node.
///
/// Load pattern: a retry storm. When many upstreams fail at once, retries multiply the load just when there is least
/// capacity. With the budget, the load sent stays below (1 + share) times the first tries, however many fail.
///
/// Tokens are earned by first tries, so no clock is needed.
///
/// Thread safety: none. Errors: none.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Changes the tokens earned and the limits from now on.
    void setSettings(const RetryBudgetSettings &settings) { settings_ = settings; }

    /// A first try of a call of @p service starts.
    void onFirstTry(const ServiceName &service);

    /// Whether spend() would succeed.
    [[nodiscard]] bool canSpend(const ServiceName &service) const;

    /// Takes one token from the service and one from the node. If either has none left, takes nothing and returns
    /// false.
    [[nodiscard]] bool spend(const ServiceName &service);

    /// Removes @p service, which is no longer in the route table.
    void forget(const ServiceName &service) { services_.erase(service); }

private:
    RetryBudgetSettings settings_;
    double nodeTokens_;
    std::unordered_map<ServiceName, double> services_;
};

}
