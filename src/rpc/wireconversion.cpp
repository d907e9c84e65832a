#include "rpc/wireconversion.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <kj/debug.h>

#include "http/tcpendpoint.h"

namespace Egretpath::WireConversion
{

namespace
{

/// What peer.capnp reads for routes of which the sender does not tell to which version they apply.
constexpr std::uint64_t UnknownVersion = std::numeric_limits<std::uint64_t>::max();

void write(capnp::List<Wire::Header>::Builder wire, const HttpHeaders &headers)
{
    unsigned index = 0;
    for (const HttpHeader &header : headers) {
        wire[index].setName(header.name);
        wire[index].setValue(header.value);
        ++index;
    }
}

HttpHeaders readHeaders(capnp::List<Wire::Header>::Reader wire)
{
    HttpHeaders headers;
    for (const auto header : wire) {
        headers.add(readText(header.getName()), readText(header.getValue()));
    }
    return headers;
}

void write(Wire::Failure::Builder wire, const Failure &failure)
{
    wire.setVerdict(static_cast<std::uint8_t>(failure.verdict));
    wire.setReason(static_cast<std::uint8_t>(failure.reason));
    wire.setRetryAfterMilliseconds(static_cast<std::uint32_t>(failure.retryAfter.count()));
    wire.setDetail(failure.detail);
}

Failure readFailure(Wire::Failure::Reader wire)
{
    // A verdict that this version does not know is read as MayHaveRun, since it does not prove that nothing ran.
    const bool notRun = wire.getVerdict() == static_cast<std::uint8_t>(Verdict::NotRun);
    const auto reason = std::min(wire.getReason(), static_cast<std::uint8_t>(LastReason));
    return Failure{notRun ? Verdict::NotRun : Verdict::MayHaveRun, static_cast<Reason>(reason),
                   Milliseconds(wire.getRetryAfterMilliseconds()), readText(wire.getDetail())};
}

void write(Wire::CatalogMark::Builder wire, const CatalogVersions &versions)
{
    wire.setRoutes(versions.routes.value());
    wire.setList(versions.list.value());
    wire.setEvacuations(versions.evacuations.value());
}

CatalogVersions readVersions(Wire::CatalogMark::Reader wire)
{
    return {RouteVersion(wire.getRoutes()), StoreRevision(wire.getList()), StoreRevision(wire.getEvacuations())};
}

void write(Wire::InstanceRecord::Builder wire, const InstanceRecord &record)
{
    wire.setId(record.id.value());
    wire.setService(record.service.value());
    wire.setRegion(record.location.region.value());
    wire.setZone(record.location.zone.value());
    wire.setAddress(record.address.value());
    wire.setNode(record.node.value());
    wire.setSlots(record.slots);
    wire.setDraining(record.state == InstanceState::Draining);
    wire.setWarmUp(static_cast<std::uint32_t>(record.warmUp.count()));
    wire.setRevision(record.revision.value());
}

InstanceRecord readRecord(Wire::InstanceRecord::Reader wire)
{
    InstanceRecord record;
    record.id = UpstreamName(readText(wire.getId()));
    record.service = ServiceName(readText(wire.getService()));
    record.location.region = RegionName(readText(wire.getRegion()));
    record.location.zone = ZoneName(readText(wire.getZone()));
    record.address = Endpoint(readText(wire.getAddress()));
    record.node = Endpoint(readText(wire.getNode()));
    record.slots = wire.getSlots();
    record.state = wire.getDraining() ? InstanceState::Draining : InstanceState::Ready;
    record.warmUp = Milliseconds(wire.getWarmUp());
    record.revision = StoreRevision(wire.getRevision());
    return record;
}

void write(Wire::Evacuations::Builder wire, const EvacuationSnapshot &snapshot)
{
    wire.setRevision(snapshot.revision.value());
    wire.setLastChange(snapshot.lastChange.value());
    auto zones = wire.initZones(static_cast<unsigned>(snapshot.evacuations.size()));
    unsigned index = 0;
    for (const Evacuation &evacuation : snapshot.evacuations) {
        zones[index].setZone(evacuation.zone.value());
        zones[index++].setRevision(evacuation.revision.value());
    }
}

EvacuationSnapshot readEvacuations(Wire::Evacuations::Reader wire)
{
    EvacuationSnapshot snapshot;
    snapshot.revision = StoreRevision(wire.getRevision());
    snapshot.lastChange = StoreRevision(wire.getLastChange());
    for (const auto zone : wire.getZones()) {
        snapshot.evacuations.push_back({ZoneName(readText(zone.getZone())), StoreRevision(zone.getRevision())});
    }
    return snapshot;
}

void write(Wire::SuspectedRequest::Builder wire, const SuspectedRequest &request)
{
    wire.setFingerprintHigh(request.fingerprint.digest.high);
    wire.setFingerprintLow(request.fingerprint.digest.low);
    wire.setAge(static_cast<std::uint32_t>(request.age.count()));
    auto crashes = wire.initCrashes(static_cast<unsigned>(request.crashes.size()));
    unsigned index = 0;
    for (const UpstreamCrash &crash : request.crashes) {
        crashes[index].setId(crash.id.value());
        crashes[index++].setUpstreamFlaps(crash.upstreamFlaps);
    }
}

SuspectedRequest readSuspected(Wire::SuspectedRequest::Reader wire)
{
    SuspectedRequest request;
    request.fingerprint.digest = {wire.getFingerprintHigh(), wire.getFingerprintLow()};
    request.age = Milliseconds(wire.getAge());
    for (const auto crash : wire.getCrashes()) {
        request.crashes.push_back({UpstreamCrashId(crash.getId()), crash.getUpstreamFlaps()});
    }
    return request;
}

}

void write(Wire::Identity::Builder wire, const NodeIdentity &identity)
{
    wire.setUpstream(identity.upstream.value());
    wire.setIncarnation(identity.incarnation.value());
}

NodeIdentity read(Wire::Identity::Reader wire)
{
    return {UpstreamName(readText(wire.getUpstream())), Incarnation(wire.getIncarnation())};
}

void write(Wire::LoadReport::Builder wire, const LoadReport &report)
{
    wire.setInFlight(report.inFlight);
    wire.setQueued(report.queued);
    wire.setSlots(report.slots);
    wire.setServiceTime(report.serviceTimeMicroseconds);
    wire.setLeaving(report.draining);
    wire.setPacePercent(report.slowdownPercent);
    wire.setMeanService(report.meanServiceMicroseconds);
    wire.setFailurePercent(report.failurePercent);
    wire.setArrivalDelay(report.arrivalDelayMicroseconds);
    wire.setSpellLeft(report.slowPeriodLeftMicroseconds);
    wire.setLimitedFor(report.limitedForMicroseconds);
    wire.setUrgentWait(report.urgentWaitMicroseconds);
    wire.setLinkBacklog(report.linkBacklogMicroseconds);
    wire.setSettledPacePercent(report.recoveredSlowdownPercent);
}

LoadReport read(Wire::LoadReport::Reader wire)
{
    LoadReport report;
    report.inFlight = wire.getInFlight();
    report.queued = wire.getQueued();
    report.slots = wire.getSlots();
    report.serviceTimeMicroseconds = wire.getServiceTime();
    report.draining = wire.getLeaving();
    report.slowdownPercent = wire.getPacePercent();
    report.meanServiceMicroseconds = wire.getMeanService();
    report.failurePercent = wire.getFailurePercent();
    report.arrivalDelayMicroseconds = wire.getArrivalDelay();
    report.slowPeriodLeftMicroseconds = wire.getSpellLeft();
    report.limitedForMicroseconds = wire.getLimitedFor();
    report.urgentWaitMicroseconds = wire.getUrgentWait();
    report.linkBacklogMicroseconds = wire.getLinkBacklog();
    report.recoveredSlowdownPercent = wire.getSettledPacePercent();
    return report;
}

void write(Wire::CallHead::Builder wire, const CallHead &head)
{
    wire.setRequestId(head.requestId.value());
    wire.setAttempt(head.attempt);
    write(wire.initIngress(), head.ingress);
    wire.setService(head.service.value());
    wire.setMethod(head.method);
    wire.setTarget(head.target);
    write(wire.initHeaders(static_cast<unsigned>(head.headers.size())), head.headers);
    wire.setRemaining(static_cast<std::uint64_t>(std::max<Microseconds::rep>(0, head.remaining.count())));
    wire.setSentAt(head.sentAt.count());
    wire.setRepeatable(head.isRepeatable);
    wire.setTargetUpstream(head.targetUpstream.value());
    wire.setCallerService(head.callerService.value());
    wire.setRoute(head.route.value());
    wire.setPriority(head.priority);
    wire.setTargetLatency(head.targetLatencyLeft.count());
    wire.setQuestion(head.dryRun);
    wire.setBrokeOff(head.disconnectedUpstream.value());
    wire.setRoutesVersion(head.routesVersion.value());
    wire.setDependent(head.isDependent);
    wire.setAcceptable(static_cast<std::uint64_t>(std::max<Microseconds::rep>(0, head.declineThreshold.count())));
}

CallHead read(Wire::CallHead::Reader wire)
{
    CallHead head;
    head.requestId = RequestId(readText(wire.getRequestId()));
    head.attempt = wire.getAttempt();
    head.ingress = read(wire.getIngress());
    head.service = ServiceName(readText(wire.getService()));
    head.method = readText(wire.getMethod());
    head.target = readText(wire.getTarget());
    head.headers = readHeaders(wire.getHeaders());
    head.remaining = Microseconds(wire.getRemaining());
    head.sentAt = Microseconds(wire.getSentAt());
    head.isRepeatable = wire.getRepeatable();
    head.targetUpstream = UpstreamName(readText(wire.getTargetUpstream()));
    head.callerService = ServiceName(readText(wire.getCallerService()));
    head.route = RouteName(readText(wire.getRoute()));
    head.priority = wire.getPriority();
    head.targetLatencyLeft = Microseconds(wire.getTargetLatency());
    head.declineThreshold = Microseconds(wire.getAcceptable());
    head.dryRun = wire.getQuestion();
    head.disconnectedUpstream = UpstreamName(readText(wire.getBrokeOff()));
    head.routesVersion = RouteVersion(wire.getRoutesVersion());
    head.isDependent = wire.getDependent();
    return head;
}

void write(Wire::AnswerHead::Builder wire, const AnswerHead &head)
{
    wire.setStatus(head.status);
    write(wire.initHeaders(static_cast<unsigned>(head.headers.size())), head.headers);
}

AnswerHead read(Wire::AnswerHead::Reader wire)
{
    return {wire.getStatus(), readHeaders(wire.getHeaders())};
}

void write(Wire::CallOutcome::Builder wire, const CallOutcome &outcome)
{
    write(wire.initIdentity(), outcome.identity);
    write(wire.initCatalog(), outcome.catalog);
    wire.setQuarantine(outcome.quarantine.value());
    wire.setDependentRoute(outcome.isRouteDependent);
    if (outcome.report) {
        write(wire.initReport(), *outcome.report);
    }
    if (const auto *failure = std::get_if<Failure>(&outcome.result)) {
        write(wire.initFailure(), *failure);
    } else if (const auto *answer = std::get_if<CompleteAnswer>(&outcome.result)) {
        auto wireAnswer = wire.initAnswer();
        write(wireAnswer.initHead(), answer->head);
        wireAnswer.setBody(asData(answer->body));
    } else {
        wire.setStreamed();
    }
}

CallOutcome read(Wire::CallOutcome::Reader wire)
{
    CallOutcome outcome{read(wire.getIdentity()),
                        std::nullopt,
                        StreamedAnswer{},
                        readVersions(wire.getCatalog()),
                        QuarantineDigest(wire.getQuarantine()),
                        wire.getDependentRoute()};
    if (wire.hasReport()) {
        outcome.report = read(wire.getReport());
    }
    if (wire.isFailure()) {
        outcome.result = readFailure(wire.getFailure());
    } else if (wire.isAnswer()) {
        const auto answer = wire.getAnswer();
        outcome.result = CompleteAnswer{read(answer.getHead()), readBytes(answer.getBody())};
    }
    return outcome;
}

void write(Wire::Catalog::Builder wire, const Catalog &catalog)
{
    wire.setRoutesVersion(catalog.versions.routes.value());
    wire.setRouteChanges(asData(catalog.routes.bytes));
    if (catalog.routesFrom) {
        wire.setRouteChangesFrom(catalog.routesFrom->value());
    }
    wire.setRevision(catalog.versions.list.value());
    wire.setWhole(catalog.isSnapshot);
    wire.setInOrder(catalog.store == StoreState::Available);
    if (catalog.evacuations) {
        write(wire.initEvacuations(), *catalog.evacuations);
    }
    wire.setStore(static_cast<std::uint8_t>(catalog.store));
    wire.setReader(catalog.reader.value());
    wire.setStoreAge(static_cast<std::uint32_t>(catalog.storeAge.count()));
    if (catalog.confirmedAge) {
        wire.setConfirmed(static_cast<std::uint32_t>(catalog.confirmedAge->count()) + 1);
    }
    wire.setQuarantine(catalog.quarantine.value());
    wire.setSearching(catalog.isSearching);
    wire.setUnwatched(catalog.isStoreUnwatched);
    if (!catalog.via.empty()) {
        auto via = wire.initVia(static_cast<unsigned>(catalog.via.size()));
        for (unsigned index = 0; index < via.size(); ++index) {
            via.set(index, catalog.via[index].value());
        }
    }
    wire.setInOrderFor(static_cast<std::uint32_t>(catalog.storeAvailableFor.count()));
    wire.setHops(catalog.hops);
    wire.setRoutesAge(static_cast<std::uint32_t>(catalog.routesAge.count()));
    wire.setListAge(static_cast<std::uint32_t>(catalog.listAge.count()));
    wire.setHeld(static_cast<std::uint32_t>(catalog.heldFor.count()));
    const auto isListed = [](const InstanceChange &change) { return change.record.has_value(); };
    const auto listedCount = std::count_if(catalog.changes.begin(), catalog.changes.end(), isListed);
    auto instances = wire.initInstances(static_cast<unsigned>(listedCount));
    auto gone = wire.initGone(static_cast<unsigned>(catalog.changes.size()) - static_cast<unsigned>(listedCount));
    unsigned nextListed = 0;
    unsigned nextGone = 0;
    for (const InstanceChange &change : catalog.changes) {
        if (change.record) {
            write(instances[nextListed++], *change.record);
        } else {
            gone[nextGone].setId(change.id.value());
            gone[nextGone++].setRevision(change.revision.value());
        }
    }
}

Catalog read(Wire::Catalog::Reader wire)
{
    Catalog catalog;
    catalog.versions.routes = RouteVersion(wire.getRoutesVersion());
    catalog.versions.list = StoreRevision(wire.getRevision());
    if (wire.hasEvacuations()) {
        catalog.evacuations = readEvacuations(wire.getEvacuations());
        catalog.versions.evacuations = catalog.evacuations->lastChange;
    }
    catalog.routes.bytes = readBytes(wire.getRouteChanges());
    if (wire.getRouteChangesFrom() != UnknownVersion) {
        catalog.routesFrom = RouteVersion(wire.getRouteChangesFrom());
    }
    catalog.publishedRoutes.bytes = readBytes(wire.getRoutes());
    catalog.isSnapshot = wire.getWhole();
    catalog.store = wire.getInOrder() ? StoreState::Available : readStoreState(wire.getStore());
    catalog.reader = Endpoint(readText(wire.getReader()));
    catalog.storeAge = Milliseconds(wire.getStoreAge());
    if (wire.getConfirmed() > 0) {
        catalog.confirmedAge = Milliseconds(wire.getConfirmed() - 1);
    }
    catalog.quarantine = QuarantineDigest(wire.getQuarantine());
    catalog.isSearching = wire.getSearching();
    catalog.isStoreUnwatched = wire.getUnwatched();
    for (const std::uint32_t hash : wire.getVia()) {
        catalog.via.emplace_back(hash);
    }
    catalog.storeAvailableFor = Milliseconds(wire.getInOrderFor());
    catalog.hops = wire.getHops();
    catalog.routesAge = Milliseconds(wire.getRoutesAge());
    catalog.listAge = Milliseconds(wire.getListAge());
    catalog.heldFor = Milliseconds(wire.getHeld());
    for (const auto item : wire.getInstances()) {
        InstanceRecord record = readRecord(item);
        InstanceChange change{record.id, record.revision, std::nullopt};
        // Nodes of an earlier version pass on entries that name no upstream.
        if (isReachable(record.address) && isReachable(record.node)) {
            change.record = std::move(record);
        }
        catalog.changes.push_back(std::move(change));
    }
    for (const auto item : wire.getGone()) {
        catalog.changes.push_back({UpstreamName(readText(item.getId())), StoreRevision(item.getRevision()), {}});
    }
    return catalog;
}

void write(Wire::QuarantineNews::Builder wire, const QuarantineUpdate &update)
{
    wire.setMark(update.digest.value());
    auto requests = wire.initRequests(static_cast<unsigned>(update.requests.size()));
    unsigned index = 0;
    for (const SuspectedRequest &request : update.requests) {
        write(requests[index++], request);
    }
}

QuarantineUpdate read(Wire::QuarantineNews::Reader wire)
{
    QuarantineUpdate update{QuarantineDigest(wire.getMark()), {}};
    for (const auto item : wire.getRequests()) {
        update.requests.push_back(readSuspected(item));
    }
    return update;
}

StoreState readStoreState(std::uint8_t wire)
{
    // A state that this version does not know, or that a node of an earlier version did not send, is read as
    // Unavailable.
    return wire == static_cast<std::uint8_t>(StoreState::Recovering) ? StoreState::Recovering : StoreState::Unavailable;
}

std::string readText(capnp::Text::Reader wire)
{
    return {wire.begin(), wire.size()};
}

std::string readBytes(capnp::Data::Reader wire)
{
    return {reinterpret_cast<const char *>(wire.begin()), wire.size()};
}

capnp::Data::Reader asData(std::string_view bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

}
