#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/random.h"
#include "core/strongtype.h"
#include "instances/instancedirectory.h"
#include "quarantine/suspectedrequest.h"

namespace Egretpath
{

/// Constants of QuarantineSpread.
struct QuarantineSpreadSettings
{
    /// Nodes of each region that join the crashes of a service: one may be gone, and regions may be cut off each other.
    std::size_t keepersPerRegion = 2;
    /// Nodes that a node tells of requests that are refused. At six, all nodes but one of 400 hear it from somebody;
    /// the rest learns it with the next answer.
    std::size_t listeners = 6;
    /// Between two rounds of messages: under a flood of such requests messages fill, and do not multiply.
    Milliseconds pause{500};
    Milliseconds newsAge{10'000};
    /// In one message.
    std::size_t mostInMessage = 64;
};

/// Decides which nodes are told of suspected requests.
///
/// One crash is told to few: the same nodes for all crashes of a service, so that two crashes of one request meet
/// there, at a price that does not grow with the fleet. A request that is refused is passed on by everybody who hears
/// of it first. Thread safety: none; one owner. Errors: none.
class QuarantineSpread
{
public:
    explicit QuarantineSpread(Random random, const QuarantineSpreadSettings &settings = {});

    /// Who joins the crashes of @p service; this node, at @p own, may be among them.
    [[nodiscard]] std::vector<Endpoint> keepers(const InstanceDirectory &directory, const ServiceName &service) const;
    /// Whom this node, at @p own, passes news on to.
    [[nodiscard]] std::vector<Endpoint> listeners(const InstanceDirectory &directory, const Endpoint &own);
    /// Takes what is to be passed on. Returns when it is due; nothing if that was told before, or nothing is news: what
    /// is older has gone through the fleet, and a node that has just started need not pass it on again.
    [[nodiscard]] std::optional<TimePoint> gather(const std::vector<SuspectedRequest> &refused, TimePoint now);
    /// What is to be passed on now. Precondition: it is due.
    [[nodiscard]] std::vector<SuspectedRequest> takeGathered(TimePoint now);
    /// As many of @p requests as one message takes: the latest crashes, and chance for the rest, so that each of them
    /// comes through in some message. Precondition: the latest stand first.
    [[nodiscard]] std::vector<SuspectedRequest> inOneMessage(std::vector<SuspectedRequest> requests);

private:
    Random random_;
    QuarantineSpreadSettings settings_;
    std::vector<SuspectedRequest> gathered_;
    TimePoint lastPassedOn_;
};

}
