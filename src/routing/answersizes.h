#pragma once

#include <unordered_map>

#include "core/strongtype.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Tracks the answer sizes of each route, as seen at one ingress.
///
/// The cost of a request on a link that is paid for by volume is known only when its answer has arrived: a request for
/// a report of many KiB and one for a lookup of some hundred bytes look alike.
///
/// Thread safety: none; one owner. Errors: none.
class AnswerSizes
{
public:
    /// Records that an answer to a request of @p route had a body of @p answerSize.
    void record(const RouteName &route, Bytes answerSize);
    /// The mean answer size of @p route. For a route without answers, the mean of all routes; zero before any answer.
    [[nodiscard]] Bytes typicalAnswerSize(const RouteName &route) const;

private:
    std::unordered_map<RouteName, double> bytes_;
    double overallBytes_ = 0.0;
};

}
