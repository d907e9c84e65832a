#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "membership/membershipnotice.h"
#include "membership/vmlist.h"

namespace Egretpath
{

/// Whether an instance can be sent new work.
enum class Standing : std::uint8_t {
    /// Listed, but neither seen nor reported by any node. It may be sent work.
    Unknown,
    /// Its present incarnation was seen or reported at work. It may be sent work.
    Eligible,
    /// A connection to it failed a short time ago. Only when nothing better is left.
    Suspect,
    /// It takes no new work.
    Leaving,
};

/// Lengths of time and counts of the membership view.
struct MembershipSettings
{
    /// The first failed connection makes an instance suspect for so long; each further one doubles it.
    Milliseconds suspectBase{200};
    Milliseconds suspectLimit{10'000};
    /// A Leaving that was never followed by another incarnation or by the list is doubted after this
    /// time; one call then finds out. Longer than the longest drain.
    Milliseconds leavingHold{120'000};
    /// Older notices are dropped.
    Milliseconds noticeLifetime{30'000};
    /// How far the list may be behind: younger evidence of a live incarnation goes before a listed Leaving.
    Milliseconds listLag{30'000};
    /// By how much a notice must be newer than what is known to speak for another incarnation. Covers
    /// the time on the wire, which ages do not count.
    Milliseconds noticeMargin{2'000};
    /// To how many rounds of sending each piece of news is added.
    std::uint8_t noticeRounds = 4;
    /// More news than this is not held for sending; the oldest goes first.
    std::size_t noticeQueueLimit = 256;
};

/// One instance of a service as a choice for a call. Pointers live until the next applyList().
struct Instance
{
    const VmRecord *record = nullptr;
    /// Zero if unknown.
    Incarnation incarnation;
    Standing standing = Standing::Unknown;
};

/// A piece of news due for sending.
struct DueNotice
{
    /// With the scope that this node holds it at, and its age now.
    MembershipNotice notice;
    /// In how many rounds it was sent before.
    std::uint8_t roundsSent = 0;
};

/// What this node believes about every instance.
///
/// Three sources, the earlier going before the later: what this node saw itself, what other nodes
/// report, what the platform's list says. Evidence belongs to an incarnation: a replacement at the same
/// address starts clean, and a late report about a former incarnation changes nothing.
/// No timer and no message per instance: all lapses are worked out when asked.
/// Thread safety: none; one strand owns it. Times must not go backwards. Errors: none; unknown
/// upstreams are ignored.
class MembershipView
{
public:
    explicit MembershipView(MembershipSettings settings = {});

    /// Takes a list in place of the former one. A list with a smaller version is ignored (returns false):
    /// the platform can serve an old value after a newer one.
    bool applyList(VmList list, TimePoint now);
    /// The version of the list in use; zero before the first.
    [[nodiscard]] std::uint64_t listVersion() const { return list_.version; }
    /// The list in use.
    [[nodiscard]] const VmList &list() const { return list_; }

    /// This node's connection attempt to the node of @p upstream failed.
    void connectFailed(const UpstreamName &upstream, TimePoint now);
    /// An answer (of any kind but a Draining refusal) came from @p incarnation of @p upstream. Also to be
    /// called with the incarnation that a WrongIncarnation refusal names. @p sentAt is when this node sent
    /// the request that was answered; it tells a late answer of a former incarnation from a true one.
    void answered(const UpstreamName &upstream, Incarnation incarnation, TimePoint sentAt, TimePoint now);
    /// @p incarnation of @p upstream refused a call because it leaves, or its load report says that it does.
    void refusedDraining(const UpstreamName &upstream, Incarnation incarnation, TimePoint sentAt, TimePoint now);

    /// Another node's news. Returns true if it changed anything; only then it is passed on.
    bool noticeReceived(const MembershipNotice &notice, TimePoint now);
    /// Adds news about this node itself (started or leaving) to what is passed on.
    void announce(const UpstreamName &self, Incarnation incarnation, VmState state, TimePoint now);
    /// The news for one round of sending, at most @p limit pieces, the least often sent first. Each call is
    /// a round: it uses up one of noticeRounds of each piece returned.
    [[nodiscard]] std::vector<DueNotice> noticesToSend(std::size_t limit, TimePoint now);
    /// Whether noticesToSend() would return anything.
    [[nodiscard]] bool hasNotices() const { return !notices_.empty(); }

    /// All listed instances of @p service, in the order of their names.
    [[nodiscard]] std::vector<Instance> instances(const ServiceName &service, TimePoint now) const;
    /// The instance named @p upstream, or nothing if it is not listed.
    [[nodiscard]] std::optional<Instance> instance(const UpstreamName &upstream, TimePoint now) const;
    /// The incarnation believed to be running; zero if unknown.
    [[nodiscard]] Incarnation incarnationOf(const UpstreamName &upstream) const;
    /// Rises whenever a standing may have changed by an event (not by the passing of time).
    [[nodiscard]] std::uint64_t changeCount() const { return changeCount_; }

    /// Bytes of the records and their indexes, estimated from container sizes. For metrics.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    /// Who the belief about the present incarnation comes from.
    enum class Source : std::uint8_t {
        None,
        Notice,
        Own,
    };

    /// Evidence about one instance.
    struct Evidence
    {
        Incarnation incarnation;
        /// The one before; news about it is late by definition.
        Incarnation former;
        /// When the present incarnation was last seen or reported. Failed connections do not count: they
        /// say nothing about who would have answered.
        TimePoint madeAt;
        /// Until when suspect or, if leaving, until when leaving is believed.
        TimePoint until;
        Source source = Source::None;
        bool leaving = false;
        /// The list has said Leaving since `leaving` was set; when it says Live again, another one runs.
        bool listedLeaving = false;
        std::uint8_t failures = 0;
    };

public:
    /// What an instance weighs beside its row of the list.
    static constexpr std::size_t EvidenceBytes = sizeof(Evidence);

private:
    struct PendingNotice
    {
        MembershipNotice notice;
        TimePoint madeAt;
        std::uint8_t roundsSent = 0;
    };

    [[nodiscard]] std::optional<std::size_t> position(const UpstreamName &upstream) const;
    [[nodiscard]] Standing standing(std::size_t position, TimePoint now) const;
    [[nodiscard]] bool accepts(const Evidence &evidence, const MembershipNotice &notice, TimePoint madeAt) const;
    [[nodiscard]] Evidence carriedOver(const VmRecord &record, TimePoint now) const;
    [[nodiscard]] Instance instanceAt(std::size_t position, TimePoint now) const;
    /// Takes what this node saw of @p incarnation. Returns false if that was the former one.
    bool sighted(Evidence &evidence, Incarnation incarnation, TimePoint sentAt, TimePoint now);
    static void replaceIncarnation(Evidence &evidence, Incarnation incarnation);
    void markLeaving(Evidence &evidence, TimePoint now);
    void queueNotice(const MembershipNotice &notice, TimePoint madeAt);
    void buildIndexes();

    MembershipSettings settings_;
    VmList list_;
    /// Parallel to list_.records.
    std::vector<Evidence> evidence_;
    std::unordered_map<std::string, std::vector<std::uint32_t>> byService_;
    std::vector<PendingNotice> notices_;
    std::uint64_t changeCount_ = 0;
};

}
