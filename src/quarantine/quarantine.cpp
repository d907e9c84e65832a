#include "quarantine/quarantine.h"

#include <algorithm>
#include <string>
#include <utility>

namespace Egretpath
{

namespace
{

/// Maximum number of crashes remembered for one request. Four are enough to refuse a request even if all were
/// crashes of flapping upstreams, so further ones add nothing. The limit keeps messages small.
constexpr std::size_t MaxCrashesKept = 4;

Milliseconds elapsed(TimePoint from, TimePoint to)
{
    return std::max(std::chrono::duration_cast<Milliseconds>(to - from), Milliseconds{0});
}

/// Adds @p request to the set that @p digest stands for, or removes it. The result does not depend on the order.
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

CrashResult Quarantine::recordCrash(const UpstreamCrash &crash, const std::vector<RequestFingerprint> &held,
                                    TimePoint now)
{
    CrashResult result;
    for (const RequestFingerprint &request : held) {
        if (allowed_.contains(request)) {
            continue;
        }
        const bool isNewlyRefused = add(request, crash, now);
        result.known.push_back(suspectedRequestOf(*entries_.find(request), now));
        if (isNewlyRefused) {
            result.refused.push_back(result.known.back());
        }
    }
    return result;
}

std::vector<SuspectedRequest> Quarantine::merge(const std::vector<SuspectedRequest> &reported, TimePoint now)
{
    std::vector<SuspectedRequest> refused;
    for (const SuspectedRequest &item : reported) {
        // The refusal has expired at its sender. If it were added here, nodes would never forget it: each would learn
        // of it again from a node that forgets it later.
        if (item.age >= settings_.refusalTime || allowed_.contains(item.fingerprint)) {
            continue;
        }
        bool isNew = false;
        for (const UpstreamCrash &crash : item.crashes) {
            isNew = add(item.fingerprint, crash, now - item.age) || isNew;
        }
        if (isNew) {
            refused.push_back(suspectedRequestOf(*entries_.find(item.fingerprint), now));
        }
    }
    return refused;
}

bool Quarantine::add(const RequestFingerprint &request, const UpstreamCrash &crash, TimePoint at)
{
    const auto [position, isNew] = entries_.try_emplace(request);
    Entry &entry = position->second;
    entry.lastCrash = isNew ? at : std::max(entry.lastCrash, at);
    const bool isKnown = std::any_of(entry.crashes.begin(), entry.crashes.end(),
                                     [&crash](const UpstreamCrash &known) { return known.id == crash.id; });
    if (isKnown || entry.crashes.size() >= MaxCrashesKept) {
        return false;
    }
    const bool wasRefused = isRefused(entry);
    entry.crashes.push_back(crash);
    const bool isNewlyRefused = isRefused(entry) && !wasRefused;
    if (isNewlyRefused) {
        ++refusedCount_;
        digest_ = toggled(digest_, request);
    }
    if (isNew || isNewlyRefused) {
        evictOldest(request, isNewlyRefused);
    }
    return isNewlyRefused;
}

void Quarantine::evictOldest(const RequestFingerprint &kept, bool amongRefused)
{
    const std::size_t count = amongRefused ? refusedCount() : suspectedCount();
    if (count <= (amongRefused ? settings_.maxRefused : settings_.maxSuspected)) {
        return;
    }
    auto oldest = entries_.end();
    for (auto position = entries_.begin(); position != entries_.end(); ++position) {
        const bool isCandidate = isRefused(position->second) == amongRefused && position->first != kept;
        if (isCandidate && (oldest == entries_.end() || position->second.lastCrash < oldest->second.lastCrash)) {
            oldest = position;
        }
    }
    if (oldest != entries_.end()) {
        erase(oldest);
    }
}

void Quarantine::erase(Entries::iterator position)
{
    if (isRefused(position->second)) {
        --refusedCount_;
        digest_ = toggled(digest_, position->first);
    }
    entries_.erase(position);
}

std::vector<SuspectedRequest> Quarantine::missingFrom(const std::vector<SuspectedRequest> &reported,
                                                      TimePoint now) const
{
    std::vector<SuspectedRequest> missing;
    for (const SuspectedRequest &item : reported) {
        const auto found = entries_.find(item.fingerprint);
        if (found != entries_.end() && found->second.crashes.size() > item.crashes.size()) {
            missing.push_back(suspectedRequestOf(*found, now));
        }
    }
    return missing;
}

void Quarantine::expire(TimePoint now)
{
    for (auto position = entries_.begin(); position != entries_.end();) {
        const auto current = position++;
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
    const Milliseconds age = elapsed(found->second.lastCrash, now);
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
            all.push_back(suspectedRequestOf(item, now));
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

SuspectedRequest Quarantine::suspectedRequestOf(const Entries::value_type &item, TimePoint now)
{
    return {item.first, item.second.crashes, elapsed(item.second.lastCrash, now)};
}

}
