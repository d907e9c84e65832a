#include "routing/serviceroom.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Egretpath
{

namespace
{

/// The length of a period. Ten of them make the window of half a second, about the time in which load changes.
constexpr Milliseconds PeriodLength{50};
constexpr Milliseconds Window{500};
constexpr Milliseconds Tenth{100};
/// If no try of these latest periods ended overloaded, the service has capacity again. Without this rule, the limits
/// would outlast a wave by up to the whole window.
constexpr std::int64_t RecoveryPeriods = 4;
constexpr std::uint32_t ShortTries = 2;
constexpr std::uint32_t ScarceTries = 1;

std::int64_t periodAt(TimePoint time, Milliseconds length)
{
    return time.time_since_epoch() / length;
}

}

ServiceRoom::ServiceRoom(ServiceRoomSettings settings)
    : settings_(settings)
{
}

void ServiceRoom::advance(PriorityRoom &room, Period newest)
{
    const Period first = std::max(room.newest + 1, newest - static_cast<Period>(PeriodCount) + 1);
    for (Period period = first; period <= newest; ++period) {
        room.periods[static_cast<std::size_t>(period) % PeriodCount] = {};
    }
    room.newest = std::max(room.newest, newest);
}

ServiceRoom::Counts ServiceRoom::sum(const PriorityRoom &room, Period first)
{
    Counts total;
    const Period oldest = room.newest - static_cast<Period>(PeriodCount) + 1;
    for (Period period = std::max({first, oldest, Period{0}}); period <= room.newest; ++period) {
        const Counts &counts = room.periods[static_cast<std::size_t>(period) % PeriodCount];
        total.taken += counts.taken;
        total.overloaded += counts.overloaded;
        total.requestsWithout += counts.requestsWithout;
    }
    return total;
}

ServiceRoom::Shares ServiceRoom::recentShares(const PriorityRoom &room, Period first)
{
    double taken = 0.0;
    double overloaded = 0.0;
    double requestsWithout = 0.0;
    const Period oldest = room.newest - static_cast<Period>(PeriodCount) + 1;
    for (Period period = std::max({first, oldest, Period{0}}); period <= room.newest; ++period) {
        const Counts &counts = room.periods[static_cast<std::size_t>(period) % PeriodCount];
        const auto weight = static_cast<double>(period - oldest + 1);
        taken += weight * counts.taken;
        overloaded += weight * counts.overloaded;
        requestsWithout += weight * counts.requestsWithout;
    }
    const auto share = [taken](double part) { return part > 0.0 ? part / (part + taken) : 0.0; };
    return {share(overloaded), share(requestsWithout)};
}

ServiceRoom::PriorityRoom &ServiceRoom::update(const ServiceName &service, std::uint32_t priority, TimePoint now)
{
    PriorityRoom &room = services_[service][priority];
    judge(service, priority, room, now);
    return room;
}

std::uint32_t ServiceRoom::triesOf(const PriorityRoom &room) const
{
    return room.limit == 0 ? settings_.usualTries : std::min(room.limit, settings_.usualTries);
}

std::uint32_t ServiceRoom::limitFor(const PriorityRoom &room, const Counts &counts, const Shares &shares) const
{
    if (shares.requestsWithout <= settings_.shortShare) {
        return 0;
    }
    const bool isScarce = shares.requestsWithout > settings_.scarceShare;
    if (room.limit == ScarceTries) {
        return isScarce ? ScarceTries : ShortTries;
    }
    if (shares.overloadedTries <= settings_.overloadedShare) {
        return room.limit;
    }
    return isScarce && counts.made() >= settings_.minTriesToRefuse ? ScarceTries : ShortTries;
}

void ServiceRoom::judge(const ServiceName &service, std::uint32_t priority, PriorityRoom &room, TimePoint now)
{
    advance(room, periodAt(now, PeriodLength));
    const Counts counts = sum(room, room.judgedFrom);
    if (room.limit == 0 && counts.requestsWithout < settings_.minRequestsWithout) {
        return;
    }
    const Shares shares = recentShares(room, room.judgedFrom);
    const Counts latest = sum(room, room.newest - RecoveryPeriods + 1);
    const bool hasCapacity = latest.overloaded == 0 && latest.taken >= settings_.minTriesToLimit;
    const bool hasEvidence = counts.made() >= settings_.minTriesToLimit;
    std::uint32_t limit = room.limit;
    if (hasCapacity || (!hasEvidence && now - room.changedAt >= Window)) {
        limit = 0;
    } else if (hasEvidence) {
        limit = limitFor(room, counts, shares);
    }
    const bool isRefusing = limit == ScarceTries && room.limit == ScarceTries
        && counts.made() >= settings_.minTriesToRefuse && 1.0 - shares.overloadedTries < settings_.refusalShare;
    if (limit == room.limit && isRefusing == room.isRefusing) {
        return;
    }
    if (limit != room.limit) {
        room.judgedFrom = room.newest + 1;
        room.changedAt = now;
    }
    room.limit = limit;
    room.isRefusing = isRefusing;
    changes_.push_back(describe(service, priority, room));
}

RoomState ServiceRoom::describe(const ServiceName &service, std::uint32_t priority, const PriorityRoom &room) const
{
    const Counts counts = sum(room, 0);
    return {service, priority, counts.taken, counts.made(), room.isRefusing ? 0 : triesOf(room)};
}

void ServiceRoom::onSent(const ServiceName &service, std::uint32_t priority, TimePoint now)
{
    if (!settings_.isEnabled) {
        return;
    }
    PriorityRoom &room = update(service, priority, now);
    ++room.periods[static_cast<std::size_t>(room.newest) % PeriodCount].taken;
    room.lastTry = now;
    room.refusedSinceTry = 0;
}

void ServiceRoom::onEnded(const ServiceName &service, std::uint32_t priority, TimePoint sentAt, TryResult result,
                          TimePoint now)
{
    if (!settings_.isEnabled || result == TryResult::Taken) {
        return;
    }
    PriorityRoom &room = services_[service][priority];
    advance(room, periodAt(now, PeriodLength));
    const Period sentIn = periodAt(sentAt, PeriodLength);
    if (room.newest - sentIn < static_cast<Period>(PeriodCount)) {
        // Zero if the service was removed after this try was sent.
        std::uint32_t &taken = room.periods[static_cast<std::size_t>(sentIn) % PeriodCount].taken;
        taken -= taken > 0 ? 1 : 0;
    }
    if (result == TryResult::Overloaded) {
        ++room.periods[static_cast<std::size_t>(room.newest) % PeriodCount].overloaded;
    }
    judge(service, priority, room, now);
}

bool ServiceRoom::mayTryAgain(const ServiceName &service, std::uint32_t priority, std::uint32_t tries, TimePoint now)
{
    if (tries < maxTries(service, priority, now)) {
        return true;
    }
    if (settings_.isEnabled) {
        PriorityRoom &room = update(service, priority, now);
        ++room.periods[static_cast<std::size_t>(room.newest) % PeriodCount].requestsWithout;
        judge(service, priority, room, now);
    }
    return false;
}

std::uint32_t ServiceRoom::maxTries(const ServiceName &service, std::uint32_t priority, TimePoint now)
{
    std::uint32_t tries = std::max(settings_.usualTries, ScarceTries);
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return tries;
    }
    for (auto &[roomPriority, room] : found->second) {
        if (roomPriority > priority) {
            break;
        }
        judge(service, roomPriority, room, now);
        tries = std::min(tries, std::max(triesOf(room), ScarceTries));
    }
    return tries;
}

bool ServiceRoom::refuses(const ServiceName &service, std::uint32_t priority, TimePoint now)
{
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.contains(priority)) {
        return false;
    }
    PriorityRoom &room = update(service, priority, now);
    const bool isProbe =
        now - room.lastTry >= settings_.probeInterval || room.refusedSinceTry + 1 >= settings_.requestsPerProbe;
    if (!room.isRefusing || isProbe) {
        return false;
    }
    ++room.refusedSinceTry;
    return true;
}

Milliseconds ServiceRoom::returnDelay(const ServiceName &service, std::uint32_t priority, Milliseconds earliest,
                                      Milliseconds latest, TimePoint now)
{
    if (!settings_.isEnabled || maxTries(service, priority, now) == std::max(settings_.usualTries, ScarceTries)) {
        return earliest;
    }
    PriorityRoom &room = update(service, priority, now);
    room.returning.erase(room.returning.begin(), room.returning.lower_bound(periodAt(now, Tenth)));
    const double takenPerTenth = static_cast<double>(sum(room, 0).taken) * Tenth.count() / Window.count();
    const double maxReturning = std::max(1.0, takenPerTenth * settings_.returningShare);
    Milliseconds best = earliest;
    std::uint32_t fewest = UINT32_MAX;
    for (Milliseconds delay = earliest; delay <= latest; delay += Tenth) {
        const auto entry = room.returning.find(periodAt(now + delay, Tenth));
        const std::uint32_t count = entry == room.returning.end() ? 0 : entry->second;
        // If no tenth is free, the last one of those with the fewest callers is chosen.
        if (count <= fewest) {
            best = delay;
            fewest = count;
        }
        if (count + 1 <= maxReturning) {
            break;
        }
    }
    ++room.returning[periodAt(now + best, Tenth)];
    return best;
}

std::vector<RoomState> ServiceRoom::takeChanges()
{
    return std::exchange(changes_, {});
}

std::vector<RoomState> ServiceRoom::shortServices(TimePoint now)
{
    std::vector<RoomState> states;
    for (auto &[service, priorities] : services_) {
        for (auto &[priority, room] : priorities) {
            judge(service, priority, room, now);
            if (room.limit != 0) {
                states.push_back(describe(service, priority, room));
            }
        }
    }
    return states;
}

std::map<ServiceName, double> ServiceRoom::shares(TimePoint now)
{
    std::map<ServiceName, double> result;
    for (auto &[service, priorities] : services_) {
        Counts total;
        for (auto &[priority, room] : priorities) {
            judge(service, priority, room, now);
            const Counts counts = sum(room, 0);
            total.taken += counts.taken;
            total.overloaded += counts.overloaded;
        }
        result[service] = total.made() == 0 ? 1.0 : static_cast<double>(total.taken) / total.made();
    }
    return result;
}

void ServiceRoom::removeIdle(TimePoint now)
{
    const auto isIdle = [now](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(), [now](const auto &priority) {
            return now - priority.second.lastTry >= Window && priority.second.limit == 0;
        });
    };
    std::erase_if(services_, isIdle);
}

}
