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

/// Constants of QuarantineGossip.
struct QuarantineGossipSettings
{
    /// Nodes of each region that collect the crashes of a service. More than one, because one may be gone; some in each
    /// region, because regions may be cut off from each other.
    std::size_t collectorsPerRegion = 2;
    /// Nodes to which a node passes on newly refused requests. With six, one node in 400 gets no such message; it
    /// learns of the requests with the next answer that it receives.
    std::size_t fanout = 6;
    /// Minimum time between two rounds of messages. When many requests become refused at once, messages get larger
    /// instead of more numerous.
    Milliseconds minRoundInterval{500};
    /// Refused requests whose last crash is older are not passed on.
    Milliseconds maxGossipAge{10'000};
    /// Maximum number of requests in one message.
    std::size_t maxPerMessage = 64;
};

/// Decides to which nodes suspected and refused requests are reported.
///
/// A crash is reported to a few collectors, which are the same nodes for all crashes of a service: two crashes of one
/// request meet there, and the cost does not grow with the fleet. A refused request is gossiped: each node passes it on
/// when it first learns of it. Thread safety: none; one owner. Errors: none.
class QuarantineGossip
{
public:
    explicit QuarantineGossip(Random random, const QuarantineGossipSettings &settings = {});

    /// The nodes that collect the crashes of @p service. This node may be among them.
    [[nodiscard]] std::vector<Endpoint> collectors(const InstanceDirectory &directory,
                                                   const ServiceName &service) const;
    /// The nodes to which this node, whose address is @p own, passes on refused requests in one round. Chosen at
    /// random.
    [[nodiscard]] std::vector<Endpoint> gossipTargets(const InstanceDirectory &directory, const Endpoint &own);
    /// Adds newly refused requests to the next round. Returns when the round is due, or nothing if the round is already
    /// scheduled or contains no request. Requests older than maxGossipAge are left out: they have gone through the
    /// fleet, and a node that has just started need not pass them on again.
    [[nodiscard]] std::optional<TimePoint> enqueue(const std::vector<SuspectedRequest> &refused, TimePoint now);
    /// Starts the round and returns the requests to pass on in it. Precondition: the round is due.
    [[nodiscard]] std::vector<SuspectedRequest> takePending(TimePoint now);
    /// Returns as many of @p requests as fit into one message. Half of the message is for the requests with the latest
    /// crashes. The other half is drawn at random from the rest, so that each request is in some message sooner or
    /// later. Precondition: @p requests starts with the latest crash.
    [[nodiscard]] std::vector<SuspectedRequest> selectForMessage(std::vector<SuspectedRequest> requests);

private:
    Random random_;
    QuarantineGossipSettings settings_;
    std::vector<SuspectedRequest> pending_;
    TimePoint lastRound_;
};

}
