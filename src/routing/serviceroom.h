#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Tuning constants of ServiceRoom.
struct ServiceRoomSettings
{
    /// If false, every request makes all its tries and none is refused.
    bool isEnabled = true;
    /// Maximum number of tries of a request that is refused as overloaded, while the service is not short.
    std::uint32_t usualTries = 4;
    /// Fewer tries are made only while a larger share of the tries ends overloaded.
    double overloadedShare = 1.0 / 2.0;
    /// Two tries are made while a larger share of the requests finds no capacity in all their tries. That is the share
    /// if each of four tries fails with a probability of one half.
    double shortShare = 1.0 / 16.0;
    /// One try is made while a larger share of the requests finds no capacity; the same for two tries.
    double scarceShare = 1.0 / 4.0;
    /// Requests without capacity in the window that are needed to limit requests. A single request may by chance be
    /// tried at full upstreams only.
    std::uint32_t minRequestsWithout = 2;
    /// Tries in the window that are needed to limit requests to two tries: as many as one request makes.
    std::uint32_t minTriesToLimit = 4;
    /// Tries in the window that are needed to limit requests to one try, and to refuse them at once.
    std::uint32_t minTriesToRefuse = 8;
    /// Requests are refused at once while a smaller share of the tries finds capacity.
    double refusalShare = 0.1;
    /// Of this number of requests at least one is tried.
    std::uint32_t requestsPerProbe = 5;
    /// A request is tried if there was no try for this time.
    Duration probeInterval = Milliseconds{100};
    /// The share of the capacity seen that callers who come back may use; new requests need the rest.
    double returningShare = 0.25;
};

/// How a try ended, as far as it shows whether its service has capacity.
enum class TryResult : std::uint8_t {
    /// The upstream's node took the request.
    Taken,
    /// The upstream's node had no capacity for the request.
    Overloaded,
    /// The end shows nothing about the capacity: the node declined the request because another upstream is expected to
    /// answer sooner, or the node was not reached.
    Unknown,
};

/// The limit on the tries of a service's requests.
struct RoomState
{
    ServiceName service;
    /// Requests of this priority are limited, and those of lower priorities at least as much.
    std::uint32_t priority = 0;
    /// The tries of the last half second that found capacity, and all tries whose result counts.
    std::uint32_t met = 0;
    std::uint32_t made = 0;
    /// Maximum number of tries of a request; zero if requests are refused at once.
    std::uint32_t tries = 0;
};

/// Limits the tries of requests for services that are short of capacity, from the results of this node's own tries in
/// the last half second.
///
/// Load pattern: a wave of load above the capacity of a service. Each request is then tried at several full upstreams,
/// and most tries cost round trips and admission decisions without result. The limit follows the share of requests that
/// find no capacity in all their tries. Unlike the share of tries that end overloaded, it hardly depends on the number
/// of tries, so that the limit does not end itself, and it stays low if only some upstreams are full.
///
/// Counts are kept by priority. A shortage at one priority limits the requests of this priority and of lower ones.
///
/// Thread safety: none; one owner. Errors: none. Precondition of all methods: times don't decrease.
class ServiceRoom
{
public:
    explicit ServiceRoom(ServiceRoomSettings settings = {});

    /// A try of a request was sent. Exactly one onEnded() follows. Until then the try counts as taken, since refusals
    /// arrive at once and answers only after the work.
    void onSent(const ServiceName &service, std::uint32_t priority, TimePoint now);
    /// The try that was sent at @p sentAt ended.
    void onEnded(const ServiceName &service, std::uint32_t priority, TimePoint sentAt, TryResult result, TimePoint now);

    /// Returns whether a request whose last try ended overloaded is tried again after @p tries tries, and counts it as
    /// a request without capacity if not.
    [[nodiscard]] bool mayTryAgain(const ServiceName &service, std::uint32_t priority, std::uint32_t tries,
                                   TimePoint now);
    /// Returns the number of tries after which a request that was refused as overloaded is not tried again; at least 1.
    [[nodiscard]] std::uint32_t maxTries(const ServiceName &service, std::uint32_t priority, TimePoint now);
    /// Returns whether a request is refused without a try. Call this once for each request, and not for requests that
    /// have to be tried, such as calls that other work waits for, or requests that come back after a refusal.
    [[nodiscard]] bool refuses(const ServiceName &service, std::uint32_t priority, TimePoint now);
    /// Returns the delay after which a refused caller is told to come back, and counts the caller. While the service is
    /// short, it is @p earliest plus the tenths of a second in which enough callers come back already, up to
    /// @p latest; else it is @p earliest. Precondition: @p earliest is at most @p latest.
    [[nodiscard]] Milliseconds returnDelay(const ServiceName &service, std::uint32_t priority, Milliseconds earliest,
                                           Milliseconds latest, TimePoint now);

    /// Returns and removes the changes of limits since the last call.
    [[nodiscard]] std::vector<RoomState> takeChanges();
    /// Returns the limits that apply now.
    [[nodiscard]] std::vector<RoomState> shortServices(TimePoint now);
    /// Returns the share of the recent tries that found capacity for each service; 1 without tries.
    [[nodiscard]] std::map<ServiceName, double> shares(TimePoint now);
    /// Removes services without recent tries, some of which may have left the route table.
    void removeIdle(TimePoint now);

private:
    struct Counts
    {
        std::uint32_t taken = 0;
        std::uint32_t overloaded = 0;
        /// Requests that found no capacity in all their tries.
        std::uint32_t requestsWithout = 0;

        [[nodiscard]] std::uint32_t made() const { return taken + overloaded; }
    };

    /// Shares of the recent results. The weight of a result decreases linearly with its age, down to zero at the end of
    /// the window.
    struct Shares
    {
        double overloadedTries = 0.0;
        double requestsWithout = 0.0;
    };

    /// The number of a period of time since the start of the clock.
    using Period = std::int64_t;
    static constexpr std::size_t PeriodCount = 10;

    struct PriorityRoom
    {
        std::array<Counts, PeriodCount> periods;
        Period newest = 0;
        /// Results before this period were obtained under another limit and don't count for the next one.
        Period judgedFrom = 0;
        TimePoint changedAt;
        TimePoint lastTry;
        /// Zero while the usual number of tries is made.
        std::uint32_t limit = 0;
        bool isRefusing = false;
        std::uint32_t refusedSinceTry = 0;
        /// The callers that were told to come back, by tenth of a second.
        std::map<Period, std::uint32_t> returning;
    };

    using Priorities = std::map<std::uint32_t, PriorityRoom>;

    [[nodiscard]] PriorityRoom &update(const ServiceName &service, std::uint32_t priority, TimePoint now);
    void judge(const ServiceName &service, std::uint32_t priority, PriorityRoom &room, TimePoint now);
    [[nodiscard]] std::uint32_t limitFor(const PriorityRoom &room, const Counts &counts, const Shares &shares) const;
    [[nodiscard]] std::uint32_t triesOf(const PriorityRoom &room) const;
    [[nodiscard]] RoomState describe(const ServiceName &service, std::uint32_t priority,
                                     const PriorityRoom &room) const;
    static void advance(PriorityRoom &room, Period newest);
    /// Returns the counts of all periods of the window from @p first on.
    [[nodiscard]] static Counts sum(const PriorityRoom &room, Period first);
    /// Returns the shares from period @p first on; zero without tries.
    [[nodiscard]] static Shares recentShares(const PriorityRoom &room, Period first);

    ServiceRoomSettings settings_;
    std::unordered_map<ServiceName, Priorities> services_;
    std::vector<RoomState> changes_;
};

}
