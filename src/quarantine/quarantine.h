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
    /// Of upstreams, with the same request under way at each. One is chance: an upstream holds several requests.
    double crashesToRefuse = 2.0;
    /// What the crash of an upstream that flaps counts.
    double flappingWeight = 0.5;
    /// After one crash; a caller that comes back later is one of many bystanders.
    Milliseconds suspicionTime = std::chrono::minutes(10);
    /// After the last crash of a refused one.
    Milliseconds refusalTime = std::chrono::hours(24);
    std::size_t mostSuspected = 2048;
    std::size_t mostRefused = 1024;
};

/// What one more crash tells.
struct CrashResult
{
    /// All that is known of the requests that were under way.
    std::vector<SuspectedRequest> known;
    /// Those of them that are refused from now on.
    std::vector<SuspectedRequest> refused;
};

/// Decides which requests no upstream is to run any more, from the crashes that they were under way at.
///
/// The load that it answers: a request that ends each upstream that runs it, and that its callers send again and again
/// to any node. Each node that judges alone gives it another upstream; here the nodes join what they saw, by a name
/// that all attempts share. Crashes are joined as sets of their ids, so that news may come twice, late and in any
/// order. Thread safety: none; one owner. Errors: none.
class Quarantine
{
public:
    explicit Quarantine(const QuarantineSettings &settings = {});

    /// Operators say that these are to be run, whatever ends; replaces those of before.
    void setAllowed(const std::vector<RequestFingerprint> &requests);
    /// The upstream beside this node has ended with @p held under way.
    CrashResult crashed(const UpstreamCrash &crash, const std::vector<RequestFingerprint> &held, TimePoint now);
    /// Takes what another node knows. Returns those that are refused from now on, and were not before.
    std::vector<SuspectedRequest> take(const std::vector<SuspectedRequest> &told, TimePoint now);
    /// What is known of the requests in @p told, where that is more.
    [[nodiscard]] std::vector<SuspectedRequest> moreThan(const std::vector<SuspectedRequest> &told,
                                                         TimePoint now) const;
    /// Forgets what is too old.
    void expire(TimePoint now);

    /// No request is refused.
    [[nodiscard]] bool refusesNone() const { return refused_ == 0; }
    /// Why the request must not be run, with the time until it may be tried again; nothing if it may be run.
    [[nodiscard]] std::optional<Failure> rejection(const RequestFingerprint &request, TimePoint now) const;
    [[nodiscard]] QuarantineDigest digest() const { return digest_; }
    /// Those that are refused, the latest crash first.
    [[nodiscard]] std::vector<SuspectedRequest> refused(TimePoint now) const;
    [[nodiscard]] std::size_t refusedCount() const { return refused_; }
    [[nodiscard]] std::size_t suspectedCount() const { return entries_.size() - refused_; }

private:
    struct Entry
    {
        std::vector<UpstreamCrash> crashes;
        TimePoint lastCrash;
    };
    using Entries = std::unordered_map<RequestFingerprint, Entry>;

    [[nodiscard]] bool isRefused(const Entry &entry) const;
    [[nodiscard]] Milliseconds lifetime(const Entry &entry) const;
    [[nodiscard]] static SuspectedRequest toldOf(const Entries::value_type &item, TimePoint now);
    /// Adds a crash of @p at. Returns whether the request is refused from now on, and was not before.
    bool add(const RequestFingerprint &request, const UpstreamCrash &crash, TimePoint at);
    /// Forgets the oldest one beside @p kept if there are more like it than may be.
    void makeRoom(const RequestFingerprint &kept, bool refused);
    void erase(Entries::iterator place);

    QuarantineSettings settings_;
    std::unordered_set<RequestFingerprint> allowed_;
    Entries entries_;
    std::size_t refused_ = 0;
    QuarantineDigest digest_;
};

}
