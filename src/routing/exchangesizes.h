#pragma once

#include <unordered_map>

#include "core/strongtype.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// How much the answers of each route weigh, as seen at one ingress.
///
/// What a request costs on a link that is paid for by volume is known only when its answer is there: a report of many
/// KiB and a lookup of some hundred bytes look alike when they come. Thread safety: none; one owner. Errors: none.
class ExchangeSizes
{
public:
    /// An answer to a request of @p route had a body of @p answer.
    void record(const RouteName &route, Bytes answer);
    /// What to expect of @p route: its mean; of a route without answers the mean of all, and nothing before any came.
    [[nodiscard]] Bytes typicalAnswerSize(const RouteName &route) const;

private:
    std::unordered_map<RouteName, double> bytes_;
    double overallBytes_ = 0.0;
};

}
