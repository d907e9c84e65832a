#include "history/historyformat.h"

#include <array>
#include <limits>
#include <utility>

#include <boost/json.hpp>

namespace Egretpath
{

namespace
{

namespace Json = boost::json;

/// Takes fields out of an object and keeps the first problem, so that a record is read without a test after each field.
class FieldReader
{
public:
    explicit FieldReader(const Json::object &object)
        : object_(object)
    {
    }

    [[nodiscard]] bool has(std::string_view name) const { return object_.contains(name); }

    std::string text(std::string_view name)
    {
        const Json::value *value = find(name);
        if (value == nullptr || !value->is_string()) {
            return complain(name, "text"), std::string();
        }
        return std::string(value->as_string());
    }

    template<typename Number>
    Number number(std::string_view name)
    {
        const Json::value *value = find(name);
        if (value != nullptr) {
            Json::error_code error;
            const auto result = value->to_number<Number>(error);
            if (!error) {
                return result;
            }
        }
        return complain(name, "a number in range"), Number{};
    }

    bool flag(std::string_view name)
    {
        const Json::value *value = find(name);
        if (value == nullptr || !value->is_bool()) {
            return complain(name, "true or false"), false;
        }
        return value->as_bool();
    }

    Digest digest(std::string_view name)
    {
        Digest result;
        if (!fromHex(text(name), result)) {
            complain(name, "a digest of 32 hexadecimal digits");
        }
        return result;
    }

    Verdict verdict(std::string_view name)
    {
        const auto result = verdictFromString(text(name));
        if (!result) {
            complain(name, "a verdict");
        }
        return result.value_or(Verdict::MayHaveRun);
    }

    HistoryTime time(std::string_view name) { return HistoryTime(number<std::int64_t>(name)); }
    BodySummary body() { return {Bytes(number<std::uint64_t>("bytes")), digest("digest")}; }

    NodeIdentity node(std::string_view name)
    {
        return {UpstreamName(text(name)), Incarnation(number<std::uint64_t>("incarnation"))};
    }

    [[nodiscard]] const std::string &problem() const { return problem_; }

private:
    const Json::value *find(std::string_view name) { return object_.if_contains(name); }

    void complain(std::string_view name, std::string_view expected)
    {
        if (problem_.empty()) {
            problem_ = "field '" + std::string(name) + "': expected " + std::string(expected);
        }
    }

    const Json::object &object_;
    std::string problem_;
};

void addBody(Json::object &object, const BodySummary &body)
{
    object["bytes"] = body.size.value();
    object["digest"] = toHex(body.digest);
}

void addNode(Json::object &object, std::string_view name, const NodeIdentity &node)
{
    object[name] = node.upstream.value();
    object["incarnation"] = node.incarnation.value();
}

void add(Json::object &object, const InvocationRecord &record)
{
    object["type"] = "invocation";
    object["request"] = record.request.value();
    object["key"] = record.key.value();
    object["service"] = record.service.value();
    object["repeatable"] = record.repeatable;
    addNode(object, "ingress", record.ingress);
    addBody(object, record.body);
}

HistoryRecord readInvocation(FieldReader &fields)
{
    InvocationRecord record;
    record.request = RequestId(fields.text("request"));
    record.key = HistoryKey(fields.text("key"));
    record.service = ServiceName(fields.text("service"));
    record.repeatable = fields.flag("repeatable");
    record.ingress = fields.node("ingress");
    record.body = fields.body();
    record.time = fields.time("time");
    return record;
}

void add(Json::object &object, const OutcomeRecord &record)
{
    object["type"] = "outcome";
    object["request"] = record.request.value();
    object["verdict"] = toString(record.verdict);
    object["reason"] = record.reason;
    object["status"] = record.status;
    addBody(object, record.answer);
    object["echo"] = record.echo.value();
    object["cut"] = record.cut;
}

HistoryRecord readOutcome(FieldReader &fields)
{
    OutcomeRecord record;
    record.request = RequestId(fields.text("request"));
    record.verdict = fields.verdict("verdict");
    record.reason = fields.text("reason");
    record.status = fields.number<std::uint16_t>("status");
    record.answer = fields.body();
    record.echo = RequestId(fields.text("echo"));
    record.cut = fields.flag("cut");
    record.time = fields.time("time");
    return record;
}

void add(Json::object &object, const RunStartedRecord &record)
{
    object["type"] = "run-started";
    object["request"] = record.request.value();
    object["key"] = record.key.value();
    addNode(object, "upstream", record.upstream);
    if (record.leavingSince) {
        object["leavingSince"] = record.leavingSince->value();
    }
}

HistoryRecord readRunStarted(FieldReader &fields)
{
    RunStartedRecord record;
    record.request = RequestId(fields.text("request"));
    record.key = HistoryKey(fields.text("key"));
    record.upstream = fields.node("upstream");
    if (fields.has("leavingSince")) {
        record.leavingSince = fields.time("leavingSince");
    }
    record.time = fields.time("time");
    return record;
}

void add(Json::object &object, const RunFinishedRecord &record)
{
    object["type"] = "run-finished";
    object["request"] = record.request.value();
    addNode(object, "upstream", record.upstream);
    object["status"] = record.status;
    addBody(object, record.answer);
}

HistoryRecord readRunFinished(FieldReader &fields)
{
    RunFinishedRecord record;
    record.request = RequestId(fields.text("request"));
    record.upstream = fields.node("upstream");
    record.status = fields.number<std::uint16_t>("status");
    record.answer = fields.body();
    record.time = fields.time("time");
    return record;
}

void add(Json::object &object, const StatusRecord &record)
{
    object["type"] = "status";
    addNode(object, "node", record.node);
    object["table"] = record.table.value();
    object["tableDigest"] = toHex(record.tableDigest);
    object["measuringBytes"] = record.measuringBytes.value();
}

HistoryRecord readStatus(FieldReader &fields)
{
    StatusRecord record;
    record.node = fields.node("node");
    record.table = TableNumber(fields.number<std::uint64_t>("table"));
    record.tableDigest = fields.digest("tableDigest");
    record.measuringBytes = Bytes(fields.number<std::uint64_t>("measuringBytes"));
    record.time = fields.time("time");
    return record;
}

void add(Json::object &object, const TableAcceptedRecord &record)
{
    object["type"] = "table-accepted";
    object["table"] = record.table.value();
    object["tableDigest"] = toHex(record.tableDigest);
}

HistoryRecord readTableAccepted(FieldReader &fields)
{
    TableAcceptedRecord record;
    record.table = TableNumber(fields.number<std::uint64_t>("table"));
    record.tableDigest = fields.digest("tableDigest");
    record.time = fields.time("time");
    return record;
}

void add(Json::object &object, const PlannedStopRecord &record)
{
    object["type"] = "planned-stop";
    addNode(object, "node", record.node);
    object["ordered"] = record.ordered.value();
}

HistoryRecord readPlannedStop(FieldReader &fields)
{
    PlannedStopRecord record;
    record.node = fields.node("node");
    record.ordered = fields.time("ordered");
    record.time = fields.time("time");
    return record;
}

struct RecordType
{
    std::string_view word;
    HistoryRecord (*read)(FieldReader &);
};

constexpr std::array<RecordType, 7> RecordTypes{{
    {"invocation", readInvocation},
    {"outcome", readOutcome},
    {"run-started", readRunStarted},
    {"run-finished", readRunFinished},
    {"status", readStatus},
    {"table-accepted", readTableAccepted},
    {"planned-stop", readPlannedStop},
}};

}

std::string toJsonLine(const HistoryRecord &record)
{
    Json::object object;
    std::visit([&object](const auto &item) { add(object, item); }, record);
    object["time"] = timeOf(record).value();
    return Json::serialize(object);
}

HistoryResult<HistoryRecord> fromJsonLine(std::string_view line)
{
    Json::error_code error;
    const Json::value value = Json::parse(line, error);
    if (error || !value.is_object()) {
        return HistoryProblem{"not a JSON object"};
    }
    FieldReader fields(value.as_object());
    const std::string word = fields.text("type");
    if (!fields.problem().empty()) {
        return HistoryProblem{fields.problem()};
    }
    for (const RecordType &type : RecordTypes) {
        if (type.word == word) {
            HistoryRecord record = type.read(fields);
            if (!fields.problem().empty()) {
                return HistoryProblem{fields.problem()};
            }
            return record;
        }
    }
    return HistoryProblem{"field 'type': unknown record '" + word + "'"};
}

}
