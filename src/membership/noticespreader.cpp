#include "membership/noticespreader.h"

#include <limits>
#include <utility>

namespace Egretpath
{

namespace
{

std::vector<MembershipNotice> withScope(const std::vector<DueNotice> &due, SpreadScope heldAtLeast,
                                        std::uint8_t roundsBelow, SpreadScope sentAs)
{
    std::vector<MembershipNotice> notices;
    for (const DueNotice &item : due) {
        if (item.notice.scope >= heldAtLeast && item.roundsSent < roundsBelow) {
            notices.push_back(item.notice);
            notices.back().scope = sentAs;
        }
    }
    return notices;
}

}

NoticeSpreader::NoticeSpreader(SpreadSettings settings, UpstreamName own, Location location, MembershipView &view,
                               std::uint64_t seed)
    : settings_(settings)
    , own_(std::move(own))
    , location_(std::move(location))
    , view_(view)
    , random_(seed)
{
}

std::vector<NoticeBatch> NoticeSpreader::tick(TimePoint now)
{
    std::vector<NoticeBatch> batches;
    if (now < nextAt_ || !directory_) {
        return batches;
    }
    nextAt_ = now + settings_.interval;
    const std::vector<DueNotice> due = view_.noticesToSend(settings_.noticesPerMessage, now);
    addToZone(due, batches);
    addToOtherZones(due, batches);
    addToOtherRegions(due, batches);
    return batches;
}

void NoticeSpreader::addToZone(const std::vector<DueNotice> &due, std::vector<NoticeBatch> &batches)
{
    const std::vector<MembershipNotice> notices =
        withScope(due, SpreadScope::Zone, std::numeric_limits<std::uint8_t>::max(), SpreadScope::Zone);
    if (notices.empty()) {
        return;
    }
    for (const auto index : directory_->sampleZone(location_, settings_.zoneFanOut, own_, random_)) {
        batches.push_back({directory_->peers()[index], notices});
    }
}

void NoticeSpreader::addToOtherZones(const std::vector<DueNotice> &due, std::vector<NoticeBatch> &batches)
{
    const std::vector<MembershipNotice> notices =
        withScope(due, SpreadScope::Region, settings_.outwardRounds, SpreadScope::Zone);
    const PeerDirectory::Region *const region = directory_->region(location_.region);
    if (notices.empty() || region == nullptr) {
        return;
    }
    for (const auto zoneIndex : region->zones) {
        const Location &location = directory_->zones()[zoneIndex].location;
        if (location == location_) {
            continue;
        }
        for (const auto index : directory_->sampleZone(location, 1, own_, random_)) {
            batches.push_back({directory_->peers()[index], notices});
        }
    }
}

void NoticeSpreader::addToOtherRegions(const std::vector<DueNotice> &due, std::vector<NoticeBatch> &batches)
{
    const std::vector<MembershipNotice> notices =
        withScope(due, SpreadScope::Fleet, settings_.outwardRounds, SpreadScope::Region);
    if (notices.empty()) {
        return;
    }
    for (const PeerDirectory::Region &region : directory_->regions()) {
        if (region.name == location_.region) {
            continue;
        }
        std::uniform_int_distribution<std::size_t> anyReader(0, region.readers.size() - 1);
        batches.push_back({directory_->peers()[region.readers[anyReader(random_)]], notices});
    }
}

}
