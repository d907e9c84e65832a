#include "quarantine/quarantine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Egretpath
{

namespace
{

/// More tell nothing new, also where all of them are of upstreams that flap; messages stay small.
constexpr std::size_t MostCrashesKept = 4;

Milliseconds between(TimePoint from, TimePoint to)
{
    return std::max(std::chrono::duration_cast<Milliseconds>(to - from), Milliseconds{0});
}

QuarantineDigest toggled(QuarantineDigest digest, const RequestFingerprint &request)
{
    return QuarantineDigest(digest.value() ^ request.digest.low);
}

}

Quarantine::Quarantine(const QuarantineSettings &settings)
    : settings_(settings)
{
}

void Quarantine::setAllowed(const std::vector<RequestFingerprint> &requests)
{
    allowed_ = {requests.begin(), requests.end()};
    for (const RequestFingerprint &request : requests) {
        if (const auto known = entries_.find(request); known != entries_.end()) {
            erase(known);
        }
    }
}

CrashResult Quarantine::crashed(const UpstreamCrash &crash, const std::vector<RequestFingerprint> &held, TimePoint now)
{
    CrashResult result;
    for (const RequestFingerprint &request : held) {
        if (allowed_.contains(request)) {
            continue;
        }
        const bool refusedNow = add(request, crash, now);
        result.known.push_back(toldOf(*entries_.find(request), now));
        if (refusedNow) {
            result.refused.push_back(result.known.back());
        }
    }
    return result;
}

std::vector<SuspectedRequest> Quarantine::take(const std::vector<SuspectedRequest> &told, TimePoint now)
{
    std::vector<SuspectedRequest> refused;
    for (const SuspectedRequest &item : told) {
        // What has run out at its sender must not begin anew here.
        if (item.age >= settings_.refusalTime || allowed_.contains(item.fingerprint)) {
            continue;
        }
        bool isNew = false;
        for (const UpstreamCrash &crash : item.crashes) {
            isNew = add(item.fingerprint, crash, now - item.age) || isNew;
        }
        if (isNew) {
            refused.push_back(toldOf(*entries_.find(item.fingerprint), now));
        }
    }
    return refused;
}

bool Quarantine::add(const RequestFingerprint &request, const UpstreamCrash &crash, TimePoint at)
{
    const auto [place, isNew] = entries_.try_emplace(request);
    Entry &entry = place->second;
    entry.lastCrash = isNew ? at : std::max(entry.lastCrash, at);
    const bool isKnown = std::any_of(entry.crashes.begin(), entry.crashes.end(),
                                     [&crash](const UpstreamCrash &known) { return known.id == crash.id; });
    if (isKnown || entry.crashes.size() >= MostCrashesKept) {
        return false;
    }
    const bool wasRefused = isRefused(entry);
    entry.crashes.push_back(crash);
    const bool refusedNow = isRefused(entry) && !wasRefused;
    if (refusedNow) {
        ++refused_;
        digest_ = toggled(digest_, request);
    }
    if (isNew || refusedNow) {
        makeRoom(request, refusedNow);
    }
    return refusedNow;
}

void Quarantine::makeRoom(const RequestFingerprint &kept, bool refused)
{
    const std::size_t count = refused ? refusedCount() : suspectedCount();
    if (count <= (refused ? settings_.mostRefused : settings_.mostSuspected)) {
        return;
    }
    auto oldest = entries_.end();
    for (auto place = entries_.begin(); place != entries_.end(); ++place) {
        const bool isCandidate = isRefused(place->second) == refused && place->first != kept;
        if (isCandidate && (oldest == entries_.end() || place->second.lastCrash < oldest->second.lastCrash)) {
            oldest = place;
        }
    }
    if (oldest != entries_.end()) {
        erase(oldest);
    }
}

void Quarantine::erase(Entries::iterator place)
{
    if (isRefused(place->second)) {
        --refused_;
        digest_ = toggled(digest_, place->first);
    }
    entries_.erase(place);
}

std::vector<SuspectedRequest> Quarantine::moreThan(const std::vector<SuspectedRequest> &told, TimePoint now) const
{
    std::vector<SuspectedRequest> more;
    for (const SuspectedRequest &item : told) {
        const auto found = entries_.find(item.fingerprint);
        if (found != entries_.end() && found->second.crashes.size() > item.crashes.size()) {
            more.push_back(toldOf(*found, now));
        }
    }
    return more;
}

void Quarantine::expire(TimePoint now)
{
    for (auto place = entries_.begin(); place != entries_.end();) {
        const auto current = place++;
        if (now - current->second.lastCrash >= lifetime(current->second)) {
            erase(current);
        }
    }
}

std::optional<Failure> Quarantine::rejection(const RequestFingerprint &request, TimePoint now) const
{
    const auto found = entries_.find(request);
    if (found == entries_.end() || !isRefused(found->second)) {
        return std::nullopt;
    }
    const Milliseconds age = between(found->second.lastCrash, now);
    if (age >= settings_.refusalTime) {
        return std::nullopt;
    }
    const std::string crashes = std::to_string(found->second.crashes.size());
    return notRun(Reason::CrashesUpstreams,
                  crashes + " upstreams ended with " + toHex(request) + " under way, the last "
                      + std::to_string(age.count()) + " ms ago",
                  settings_.refusalTime - age);
}

std::vector<SuspectedRequest> Quarantine::refused(TimePoint now) const
{
    std::vector<SuspectedRequest> all;
    for (const auto &item : entries_) {
        if (isRefused(item.second)) {
            all.push_back(toldOf(item, now));
        }
    }
    std::sort(all.begin(), all.end(),
              [](const SuspectedRequest &left, const SuspectedRequest &right) { return left.age < right.age; });
    return all;
}

bool Quarantine::isRefused(const Entry &entry) const
{
    double weight = 0.0;
    for (const UpstreamCrash &crash : entry.crashes) {
        weight += crash.upstreamFlaps ? settings_.flappingWeight : 1.0;
    }
    return weight >= settings_.crashesToRefuse;
}

Milliseconds Quarantine::lifetime(const Entry &entry) const
{
    return isRefused(entry) ? settings_.refusalTime : settings_.suspicionTime;
}

SuspectedRequest Quarantine::toldOf(const Entries::value_type &item, TimePoint now)
{
    return {item.first, item.second.crashes, between(item.second.lastCrash, now)};
}

}
