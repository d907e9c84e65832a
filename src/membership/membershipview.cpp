#include "membership/membershipview.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Egretpath
{

namespace
{

constexpr std::uint8_t MaxCountedFailures = 16;
constexpr std::size_t MapNodeBytes = 72;

std::size_t heapBytes(const std::string &text)
{
    const bool isInline = text.capacity() <= std::string().capacity();
    return isInline ? 0 : text.capacity() + 1;
}

bool nameLess(const VmRecord &record, const UpstreamName &upstream)
{
    return record.upstream < upstream;
}

}

MembershipView::MembershipView(MembershipSettings settings)
    : settings_(settings)
{
}

bool MembershipView::applyList(VmList list, TimePoint now)
{
    if (list.version <= list_.version) {
        return false;
    }
    std::sort(list.records.begin(), list.records.end(),
              [](const VmRecord &left, const VmRecord &right) { return left.upstream < right.upstream; });
    std::vector<Evidence> evidence;
    evidence.reserve(list.records.size());
    std::transform(list.records.begin(), list.records.end(), std::back_inserter(evidence),
                   [&](const VmRecord &record) { return carriedOver(record, now); });
    list_ = std::move(list);
    evidence_ = std::move(evidence);
    buildIndexes();
    ++changeCount_;
    return true;
}

MembershipView::Evidence MembershipView::carriedOver(const VmRecord &record, TimePoint now) const
{
    const std::optional<std::size_t> place = position(record.upstream);
    if (!place || list_.records[*place].node != record.node) {
        return {};
    }
    Evidence evidence = evidence_[*place];
    if (record.state == VmState::Leaving) {
        evidence.listedLeaving = evidence.leaving;
        return evidence;
    }
    if (evidence.leaving && evidence.listedLeaving) {
        // The list showed the one that left and now shows a live VM again. Who it is, its first answer tells.
        Evidence clean;
        clean.former = evidence.incarnation;
        clean.madeAt = now;
        return clean;
    }
    return evidence;
}

void MembershipView::buildIndexes()
{
    byService_.clear();
    for (std::uint32_t index = 0; index < list_.records.size(); ++index) {
        byService_[list_.records[index].service.value()].push_back(index);
    }
}

std::optional<std::size_t> MembershipView::position(const UpstreamName &upstream) const
{
    const auto found = std::lower_bound(list_.records.begin(), list_.records.end(), upstream, nameLess);
    if (found == list_.records.end() || found->upstream != upstream) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - list_.records.begin());
}

void MembershipView::connectFailed(const UpstreamName &upstream, TimePoint now)
{
    const std::optional<std::size_t> place = position(upstream);
    if (!place) {
        return;
    }
    Evidence &evidence = evidence_[*place];
    if (evidence.leaving && now < evidence.until) {
        return;
    }
    evidence.leaving = false;
    const Milliseconds doubled = settings_.suspectBase * (1U << evidence.failures);
    evidence.until = now + std::min(doubled, settings_.suspectLimit);
    evidence.failures = std::min<std::uint8_t>(evidence.failures + 1, MaxCountedFailures);
    ++changeCount_;
}

void MembershipView::answered(const UpstreamName &upstream, Incarnation incarnation, TimePoint sentAt, TimePoint now)
{
    const std::optional<std::size_t> place = position(upstream);
    if (!place || !sighted(evidence_[*place], incarnation, sentAt, now)) {
        return;
    }
    Evidence &evidence = evidence_[*place];
    if (!evidence.leaving && evidence.failures > 0) {
        evidence.failures = 0;
        ++changeCount_;
    }
}

void MembershipView::refusedDraining(const UpstreamName &upstream, Incarnation incarnation, TimePoint sentAt,
                                     TimePoint now)
{
    const std::optional<std::size_t> place = position(upstream);
    if (place && sighted(evidence_[*place], incarnation, sentAt, now)) {
        markLeaving(evidence_[*place], now);
    }
}

bool MembershipView::sighted(Evidence &evidence, Incarnation incarnation, TimePoint sentAt, TimePoint now)
{
    // An answer of the former one can be read after one of the present, when it waited in a buffer while this
    // process was paused. Its request was then sent before the present one was seen. If it was sent
    // afterwards, the report that made this the former one was wrong.
    const bool isLate = incarnation == evidence.former && sentAt <= evidence.madeAt;
    if (incarnation == Incarnation{} || isLate) {
        return false;
    }
    if (incarnation != evidence.incarnation || evidence.source != Source::Own) {
        ++changeCount_;
    }
    if (incarnation != evidence.incarnation) {
        replaceIncarnation(evidence, incarnation);
    }
    evidence.source = Source::Own;
    evidence.madeAt = now;
    return true;
}

void MembershipView::replaceIncarnation(Evidence &evidence, Incarnation incarnation)
{
    Evidence clean;
    clean.incarnation = incarnation;
    clean.former = evidence.incarnation;
    evidence = clean;
}

void MembershipView::markLeaving(Evidence &evidence, TimePoint now)
{
    if (!evidence.leaving) {
        ++changeCount_;
    }
    evidence.leaving = true;
    evidence.failures = 0;
    evidence.until = now + settings_.leavingHold;
}

bool MembershipView::accepts(const Evidence &evidence, const MembershipNotice &notice, TimePoint madeAt) const
{
    if (notice.incarnation == Incarnation{} || notice.incarnation == evidence.former) {
        return false;
    }
    const bool saysLeaving = notice.state == VmState::Leaving;
    if (notice.incarnation == evidence.incarnation) {
        // Leaving is final for an incarnation, and a Live adds nothing to what is known of it.
        return saysLeaving && !evidence.leaving;
    }
    if (evidence.incarnation == Incarnation{}) {
        return true;
    }
    // Incarnations have no order, so news about another one is late unless it is clearly younger. A Leaving
    // of one never seen cannot speak against one that this node saw itself.
    const bool isYounger = madeAt > evidence.madeAt + settings_.noticeMargin;
    return isYounger && (evidence.source != Source::Own || !saysLeaving);
}

bool MembershipView::noticeReceived(const MembershipNotice &notice, TimePoint now)
{
    const std::optional<std::size_t> place = position(notice.upstream);
    const TimePoint madeAt = now - notice.age;
    if (!place || notice.age > settings_.noticeLifetime || !accepts(evidence_[*place], notice, madeAt)) {
        return false;
    }
    Evidence &evidence = evidence_[*place];
    if (notice.incarnation != evidence.incarnation) {
        replaceIncarnation(evidence, notice.incarnation);
        evidence.source = Source::Notice;
    }
    evidence.madeAt = std::max(evidence.madeAt, madeAt);
    if (notice.state == VmState::Leaving) {
        markLeaving(evidence, now);
    }
    ++changeCount_;
    queueNotice(notice, madeAt);
    return true;
}

void MembershipView::announce(const UpstreamName &self, Incarnation incarnation, VmState state, TimePoint now)
{
    queueNotice({self, incarnation, state, Milliseconds{0}, SpreadScope::Fleet}, now);
}

void MembershipView::queueNotice(const MembershipNotice &notice, TimePoint madeAt)
{
    std::erase_if(notices_, [&](const PendingNotice &pending) { return pending.notice.upstream == notice.upstream; });
    if (notices_.size() >= settings_.noticeQueueLimit) {
        notices_.erase(notices_.begin());
    }
    notices_.push_back({notice, madeAt, 0});
}

std::vector<DueNotice> MembershipView::noticesToSend(std::size_t limit, TimePoint now)
{
    std::stable_sort(notices_.begin(), notices_.end(), [](const PendingNotice &left, const PendingNotice &right) {
        return left.roundsSent < right.roundsSent;
    });
    std::vector<DueNotice> due;
    for (std::size_t index = 0; index < std::min(limit, notices_.size()); ++index) {
        PendingNotice &pending = notices_[index];
        MembershipNotice notice = pending.notice;
        notice.age = std::chrono::ceil<Milliseconds>(now - pending.madeAt);
        due.push_back({std::move(notice), pending.roundsSent});
        ++pending.roundsSent;
    }
    std::erase_if(notices_, [&](const PendingNotice &pending) { return pending.roundsSent >= settings_.noticeRounds; });
    return due;
}

Standing MembershipView::standing(std::size_t position, TimePoint now) const
{
    const Evidence &evidence = evidence_[position];
    const bool holds = now < evidence.until;
    if (evidence.leaving && holds) {
        return Standing::Leaving;
    }
    if (evidence.failures > 0 && holds) {
        return Standing::Suspect;
    }
    const bool isDoubted = evidence.leaving || evidence.failures > 0 || evidence.source == Source::None;
    const bool isYoung = now - evidence.madeAt < settings_.listLag;
    if (list_.records[position].state == VmState::Leaving && (isDoubted || !isYoung)) {
        return Standing::Leaving;
    }
    return isDoubted ? Standing::Unknown : Standing::Eligible;
}

Instance MembershipView::instanceAt(std::size_t position, TimePoint now) const
{
    return {&list_.records[position], evidence_[position].incarnation, standing(position, now)};
}

std::vector<Instance> MembershipView::instances(const ServiceName &service, TimePoint now) const
{
    std::vector<Instance> found;
    const auto positions = byService_.find(service.value());
    if (positions == byService_.end()) {
        return found;
    }
    found.reserve(positions->second.size());
    for (const std::uint32_t place : positions->second) {
        found.push_back(instanceAt(place, now));
    }
    return found;
}

std::optional<Instance> MembershipView::instance(const UpstreamName &upstream, TimePoint now) const
{
    const std::optional<std::size_t> place = position(upstream);
    return place ? std::optional(instanceAt(*place, now)) : std::nullopt;
}

Incarnation MembershipView::incarnationOf(const UpstreamName &upstream) const
{
    const std::optional<std::size_t> place = position(upstream);
    return place ? evidence_[*place].incarnation : Incarnation{};
}

std::size_t MembershipView::memoryBytes() const
{
    std::size_t bytes = list_.records.capacity() * sizeof(VmRecord) + evidence_.capacity() * sizeof(Evidence)
        + notices_.capacity() * sizeof(PendingNotice);
    for (const VmRecord &record : list_.records) {
        bytes += heapBytes(record.upstream.value()) + heapBytes(record.service.value()) + heapBytes(record.node.value())
            + heapBytes(record.location.region.value()) + heapBytes(record.location.zone.value());
    }
    for (const auto &[service, positions] : byService_) {
        bytes += MapNodeBytes + heapBytes(service) + positions.capacity() * sizeof(std::uint32_t);
    }
    return bytes;
}

}
