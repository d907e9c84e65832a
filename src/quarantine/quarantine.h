#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/clock.h"
#include "core/verdict.h"
#include "quarantine/suspectedrequest.h"

namespace Egretpath
{

/// Constants of Quarantine.
struct QuarantineSettings
{
    /// A request is refused once the weights of the upstream crashes with the request under way add up to this value.
    /// One crash proves nothing: an upstream holds several requests, and most of them are under way by chance.
    double crashesToRefuse = 2.0;
    /// Weight of the crash of an upstream that flaps; any other crash weighs 1.
    double flappingWeight = 0.5;
    /// Time for which a suspected request is remembered after its last crash. A request that comes back later is most
    /// likely one of the many that were under way at the crash by chance.
    Milliseconds suspicionTime = std::chrono::minutes(10);
    /// Time for which a request is refused after its last crash.
    Milliseconds refusalTime = std::chrono::hours(24);
    /// Maximum number of requests that are remembered but not refused.
    std::size_t maxSuspected = 2048;
    /// Maximum number of requests that are refused.
    std::size_t maxRefused = 1024;
};

/// What a crash of the upstream beside this node changed.
struct CrashResult
{
    /// The requests that were under way, each with all its known crashes. Allowed requests are left out.
    std::vector<SuspectedRequest> known;
    /// The requests of `known` that are refused because of this crash.
    std::vector<SuspectedRequest> refused;
};

/// Decides which requests may no longer run at any upstream, from the upstream crashes during which they were under
/// way.
///
/// Load pattern: a request crashes each upstream that runs it, and its callers send it again and again to any node. If
/// each node decided alone, each would let the request crash another upstream. The nodes therefore combine the crashes
/// that they saw, under a fingerprint that all attempts of a request share. The crashes of a request are a set of crash
/// ids, so a report may arrive twice, late and in any order. Thread safety: none; one owner. Errors: none.
class Quarantine
{
public:
    explicit Quarantine(const QuarantineSettings &settings = {});

    /// Sets the requests that operators allow: they are run and never suspected, whatever upstreams crash. Replaces the
    /// earlier list, and forgets what is known about the requests of the new list.
    void setAllowed(const std::vector<RequestFingerprint> &requests);
    /// Records that the upstream beside this node has crashed with the requests @p held under way.
    CrashResult recordCrash(const UpstreamCrash &crash, const std::vector<RequestFingerprint> &held, TimePoint now);
    /// Adds what another node reported. Returns the requests that are refused from now on and were not before.
    std::vector<SuspectedRequest> merge(const std::vector<SuspectedRequest> &reported, TimePoint now);
    /// Returns the requests of @p reported of which this node knows more crashes, with all the known crashes.
    [[nodiscard]] std::vector<SuspectedRequest> missingFrom(const std::vector<SuspectedRequest> &reported,
                                                            TimePoint now) const;
    /// Forgets requests whose last crash is older than their suspicion or refusal time.
    void expire(TimePoint now);

    /// Whether no request is refused.
    [[nodiscard]] bool refusesNone() const { return refusedCount_ == 0; }
    /// Returns why the request must not be run, with the time after which it may be tried again, or nothing if it may
    /// be run.
    [[nodiscard]] std::optional<Failure> rejection(const RequestFingerprint &request, TimePoint now) const;
    [[nodiscard]] QuarantineDigest digest() const { return digest_; }
    /// The refused requests, the one with the latest crash first.
    [[nodiscard]] std::vector<SuspectedRequest> refused(TimePoint now) const;
    [[nodiscard]] std::size_t refusedCount() const { return refusedCount_; }
    [[nodiscard]] std::size_t suspectedCount() const { return entries_.size() - refusedCount_; }

private:
    struct Entry
    {
        std::vector<UpstreamCrash> crashes;
        TimePoint lastCrash;
    };
    using Entries = std::unordered_map<RequestFingerprint, Entry>;

    [[nodiscard]] bool isRefused(const Entry &entry) const;
    [[nodiscard]] Milliseconds lifetime(const Entry &entry) const;
    [[nodiscard]] static SuspectedRequest suspectedRequestOf(const Entries::value_type &item, TimePoint now);
    /// Adds a crash that happened at @p at. Returns whether the request is refused from now on and was not before.
    bool add(const RequestFingerprint &request, const UpstreamCrash &crash, TimePoint at);
    /// Forgets the request with the oldest last crash, other than @p kept, if there are more than the maximum. Looks at
    /// the refused requests if @p amongRefused, else at the suspected ones.
    void evictOldest(const RequestFingerprint &kept, bool amongRefused);
    void erase(Entries::iterator position);

    QuarantineSettings settings_;
    std::unordered_set<RequestFingerprint> allowed_;
    Entries entries_;
    std::size_t refusedCount_ = 0;
    QuarantineDigest digest_;
};

}
