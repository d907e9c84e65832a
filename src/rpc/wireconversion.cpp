#include "rpc/wireconversion.h"

#include <algorithm>

#include <kj/debug.h>

namespace Egretpath::WireConversion
{

namespace
{

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
    // A verdict this version does not know must not be taken for a proof that nothing ran.
    const bool notRun = wire.getVerdict() == static_cast<std::uint8_t>(Verdict::NotRun);
    const auto reason = std::min(wire.getReason(), static_cast<std::uint8_t>(Reason::NoRoute));
    return Failure{notRun ? Verdict::NotRun : Verdict::MayHaveRun, static_cast<Reason>(reason),
                   Milliseconds(wire.getRetryAfterMilliseconds()), readText(wire.getDetail())};
}

void write(Wire::TableVersion::Builder wire, const TableVersion &version)
{
    wire.setNumber(version.number.value());
    wire.setDigestHigh(version.digest.high);
    wire.setDigestLow(version.digest.low);
}

TableVersion read(Wire::TableVersion::Reader wire)
{
    return {TableNumber(wire.getNumber()), Digest{wire.getDigestHigh(), wire.getDigestLow()}};
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

Wire::Scope toWire(SpreadScope scope)
{
    return static_cast<Wire::Scope>(scope);
}

SpreadScope fromWire(Wire::Scope scope)
{
    // A scope this version does not know is taken for the smallest, so that nothing is passed on twice.
    return scope <= Wire::Scope::FLEET ? static_cast<SpreadScope>(scope) : SpreadScope::Zone;
}

}

Wire::Subject toWire(ExchangeSubject subject)
{
    return static_cast<Wire::Subject>(subject);
}

ExchangeSubject fromWire(Wire::Subject subject)
{
    KJ_REQUIRE(subject <= Wire::Subject::VM_LIST, "unknown subject of an exchange");
    return static_cast<ExchangeSubject>(subject);
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
    wire.setLeaving(report.leaving);
    wire.setPacePercent(report.pacePercent);
    wire.setMeanService(report.meanServiceMicroseconds);
    wire.setFailurePercent(report.failurePercent);
    wire.setArrivalDelay(report.arrivalDelayMicroseconds);
}

LoadReport read(Wire::LoadReport::Reader wire)
{
    LoadReport report;
    report.inFlight = wire.getInFlight();
    report.queued = wire.getQueued();
    report.slots = wire.getSlots();
    report.serviceTimeMicroseconds = wire.getServiceTime();
    report.leaving = wire.getLeaving();
    report.pacePercent = wire.getPacePercent();
    report.meanServiceMicroseconds = wire.getMeanService();
    report.failurePercent = wire.getFailurePercent();
    report.arrivalDelayMicroseconds = wire.getArrivalDelay();
    return report;
}

void write(Wire::CallHead::Builder wire, const CallHead &head)
{
    wire.setRequestId(head.requestId.value());
    wire.setAttempt(head.attempt);
    write(wire.initIngress(), head.ingress);
    wire.setSequence(head.sequence);
    wire.setTargetIncarnation(head.targetIncarnation.value());
    wire.setService(head.service.value());
    wire.setMethod(head.method);
    wire.setTarget(head.target);
    write(wire.initHeaders(static_cast<unsigned>(head.headers.size())), head.headers);
    wire.setRemaining(static_cast<std::uint64_t>(std::max<Microseconds::rep>(0, head.remaining.count())));
    wire.setSentAt(head.sentAt.count());
    wire.setIdempotencyKey(head.idempotencyKey);
    wire.setCallClass(static_cast<std::uint8_t>(head.callClass));
    wire.setContentLength(head.contentLength);
    wire.setRepeatable(head.repeatable);
    wire.setWantsReport(head.wantsReport);
    wire.setTargetUpstream(head.targetUpstream.value());
    wire.setCallerService(head.callerService.value());
    wire.setRoute(head.route.value());
    wire.setPriority(head.priority);
    wire.setTargetLatency(head.targetLatencyLeft.count());
    wire.setQuestion(head.question);
    wire.setAcceptable(static_cast<std::uint64_t>(std::max<Microseconds::rep>(0, head.acceptable.count())));
}

CallHead read(Wire::CallHead::Reader wire)
{
    CallHead head;
    head.requestId = RequestId(readText(wire.getRequestId()));
    head.attempt = wire.getAttempt();
    head.ingress = read(wire.getIngress());
    head.sequence = wire.getSequence();
    head.targetIncarnation = Incarnation(wire.getTargetIncarnation());
    head.service = ServiceName(readText(wire.getService()));
    head.method = readText(wire.getMethod());
    head.target = readText(wire.getTarget());
    head.headers = readHeaders(wire.getHeaders());
    head.remaining = Microseconds(wire.getRemaining());
    head.sentAt = Microseconds(wire.getSentAt());
    head.idempotencyKey = readText(wire.getIdempotencyKey());
    head.callClass =
        static_cast<PeerCallClass>(std::min(wire.getCallClass(), static_cast<std::uint8_t>(PeerCallClass::Upload)));
    head.contentLength = wire.getContentLength();
    head.repeatable = wire.getRepeatable();
    head.wantsReport = wire.getWantsReport();
    head.targetUpstream = UpstreamName(readText(wire.getTargetUpstream()));
    head.callerService = ServiceName(readText(wire.getCallerService()));
    head.route = RouteName(readText(wire.getRoute()));
    head.priority = wire.getPriority();
    head.targetLatencyLeft = Microseconds(wire.getTargetLatency());
    head.acceptable = Microseconds(wire.getAcceptable());
    head.question = wire.getQuestion();
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
    if (outcome.report) {
        write(wire.initReport(), *outcome.report);
    }
    if (const auto *failure = std::get_if<Failure>(&outcome.result)) {
        write(wire.initFailure(), *failure);
    } else if (const auto *answer = std::get_if<WholeAnswer>(&outcome.result)) {
        auto wireAnswer = wire.initAnswer();
        write(wireAnswer.initHead(), answer->head);
        wireAnswer.setBody(asData(answer->body));
        wireAnswer.setReplayed(answer->replayed);
    } else {
        wire.setStreamed();
    }
}

CallOutcome read(Wire::CallOutcome::Reader wire)
{
    CallOutcome outcome{read(wire.getIdentity()), std::nullopt, StreamedAnswer{}};
    if (wire.hasReport()) {
        outcome.report = read(wire.getReport());
    }
    if (wire.isFailure()) {
        outcome.result = readFailure(wire.getFailure());
    } else if (wire.isAnswer()) {
        const auto answer = wire.getAnswer();
        outcome.result = WholeAnswer{read(answer.getHead()), readBytes(answer.getBody()), answer.getReplayed()};
    }
    return outcome;
}

void write(Wire::Catalog::Builder wire, const Catalog &catalog)
{
    wire.setRoutesVersion(catalog.routesVersion.value());
    wire.setRoutes(asData(catalog.routes));
    wire.setInOrder(catalog.storeInOrder);
    wire.setHasList(catalog.instances.has_value());
    if (!catalog.instances) {
        return;
    }
    wire.setRevision(catalog.instances->revision.value());
    auto list = wire.initInstances(static_cast<unsigned>(catalog.instances->records.size()));
    unsigned index = 0;
    for (const InstanceRecord &record : catalog.instances->records) {
        write(list[index], record);
        ++index;
    }
}

Catalog read(Wire::Catalog::Reader wire)
{
    Catalog catalog;
    catalog.routesVersion = RouteVersion(wire.getRoutesVersion());
    catalog.routes = readBytes(wire.getRoutes());
    catalog.storeInOrder = wire.getInOrder();
    if (wire.getHasList()) {
        InstanceSnapshot &snapshot = catalog.instances.emplace();
        snapshot.revision = StoreRevision(wire.getRevision());
        for (const auto record : wire.getInstances()) {
            snapshot.records.push_back(readRecord(record));
        }
    }
    return catalog;
}

void write(Wire::TableSummary::Builder wire, const TableSummary &summary)
{
    if (summary.version) {
        write(wire.initVersion(), *summary.version);
    }
    if (summary.heard) {
        write(wire.initHeard(), *summary.heard);
    }
    wire.setConfirmedAge(summary.confirmedAge ? summary.confirmedAge->count() : -1);
}

TableSummary read(Wire::TableSummary::Reader wire)
{
    TableSummary summary;
    if (wire.hasVersion()) {
        summary.version = read(wire.getVersion());
    }
    if (wire.hasHeard()) {
        summary.heard = read(wire.getHeard());
    }
    if (wire.getConfirmedAge() >= 0) {
        summary.confirmedAge = Milliseconds(wire.getConfirmedAge());
    }
    return summary;
}

void write(Wire::TablePush::Builder wire, const PushChange &push)
{
    write(wire.initBase(), push.base);
    write(wire.initTarget(), push.target);
    wire.setScope(toWire(push.scope));
    wire.setPayload(asData(push.payload));
}

PushChange read(Wire::TablePush::Reader wire)
{
    return {read(wire.getBase()), read(wire.getTarget()), fromWire(wire.getScope()), readBytes(wire.getPayload())};
}

void write(Wire::TablePull::Builder wire, const PullRequest &pull)
{
    if (pull.have) {
        write(wire.initHave(), *pull.have);
    }
    wire.setWantsTable(pull.wantsTable);
}

PullRequest read(Wire::TablePull::Reader wire)
{
    PullRequest pull;
    if (wire.hasHave()) {
        pull.have = read(wire.getHave());
    }
    pull.wantsTable = wire.getWantsTable();
    return pull;
}

void write(Wire::TablePullAnswer::Builder wire, const PullAnswer &answer)
{
    write(wire.initSummary(), answer.summary);
    wire.setKind(static_cast<Wire::PayloadKind>(answer.kind));
    if (answer.base) {
        write(wire.initBase(), *answer.base);
    }
    if (answer.target) {
        write(wire.initTarget(), *answer.target);
    }
    wire.setPayload(asData(answer.payload));
}

PullAnswer read(Wire::TablePullAnswer::Reader wire)
{
    PullAnswer answer;
    answer.summary = read(wire.getSummary());
    if (wire.getKind() <= Wire::PayloadKind::WHOLE) {
        answer.kind = static_cast<PayloadKind>(wire.getKind());
    }
    if (wire.hasBase()) {
        answer.base = read(wire.getBase());
    }
    if (wire.hasTarget()) {
        answer.target = read(wire.getTarget());
    }
    answer.payload = readBytes(wire.getPayload());
    return answer;
}

void write(capnp::List<Wire::Notice>::Builder wire, const std::vector<MembershipNotice> &notices)
{
    for (unsigned index = 0; index < notices.size(); ++index) {
        const MembershipNotice &notice = notices[index];
        write(wire[index].initIdentity(), NodeIdentity{notice.upstream, notice.incarnation});
        wire[index].setLeaving(notice.state == VmState::Leaving);
        wire[index].setAge(static_cast<std::uint32_t>(notice.age.count()));
        wire[index].setScope(toWire(notice.scope));
    }
}

std::vector<MembershipNotice> read(capnp::List<Wire::Notice>::Reader wire)
{
    std::vector<MembershipNotice> notices;
    notices.reserve(wire.size());
    for (const auto notice : wire) {
        const NodeIdentity identity = read(notice.getIdentity());
        notices.push_back({identity.upstream, identity.incarnation,
                           notice.getLeaving() ? VmState::Leaving : VmState::Live, Milliseconds(notice.getAge()),
                           fromWire(notice.getScope())});
    }
    return notices;
}

std::string readText(capnp::Text::Reader wire)
{
    return {wire.begin(), wire.size()};
}

std::string readBytes(capnp::Data::Reader wire)
{
    return {reinterpret_cast<const char *>(wire.begin()), wire.size()};
}

capnp::Data::Reader asData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

}
