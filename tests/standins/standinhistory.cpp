#include "standins/standinhistory.h"

#include <boost/json.hpp>

#include "core/digest.h"

namespace Egretpath
{

namespace
{

namespace Json = boost::json;

std::int64_t microseconds(TimePoint time)
{
    return std::chrono::duration_cast<Microseconds>(time.time_since_epoch()).count();
}

void addBody(Json::object &line, std::string_view body)
{
    line["bytes"] = body.size();
    line["digest"] = toHex(digestOf(body));
}

void writeLine(std::ofstream &stream, Json::object &line)
{
    if (stream.is_open()) {
        line["time"] = microseconds(std::chrono::steady_clock::now());
        stream << Json::serialize(line) << std::endl; // Flushed, so that a killed process loses at most one line.
    }
}

}

StandinHistory::StandinHistory(const std::string &path)
{
    if (!path.empty()) {
        stream_.open(path, std::ios::app);
    }
}

void StandinHistory::invocation(const RequestId &request, const std::string &key, const ServiceName &service,
                                bool repeatable, const Endpoint &ingress, std::string_view body)
{
    Json::object line{{"type", "invocation"},     {"request", request.value()}, {"key", key},
                      {"repeatable", repeatable}, {"service", service.value()}, {"ingress", ingress.value()},
                      {"incarnation", 0}};
    addBody(line, body);
    writeLine(stream_, line);
}

void StandinHistory::outcome(const RequestId &request, const CallOutcome &outcome)
{
    Json::object line{{"type", "outcome"},        {"request", request.value()},
                      {"reason", outcome.reason}, {"verdict", toString(outcome.verdict)},
                      {"status", outcome.status}, {"echo", outcome.echo.value()},
                      {"cut", outcome.cut}};
    addBody(line, outcome.answer);
    writeLine(stream_, line);
}

void StandinHistory::runStarted(const RequestId &request, const std::string &key, const NodeIdentity &upstream,
                                std::optional<TimePoint> leavingSince)
{
    Json::object line{{"type", "run-started"},
                      {"request", request.value()},
                      {"key", key},
                      {"upstream", upstream.upstream.value()},
                      {"incarnation", upstream.incarnation.value()}};
    if (leavingSince) {
        line["leavingSince"] = microseconds(*leavingSince);
    }
    writeLine(stream_, line);
}

void StandinHistory::runFinished(const RequestId &request, const NodeIdentity &upstream, std::uint16_t status,
                                 std::string_view answer)
{
    Json::object line{{"type", "run-finished"},
                      {"request", request.value()},
                      {"upstream", upstream.upstream.value()},
                      {"incarnation", upstream.incarnation.value()},
                      {"status", status}};
    addBody(line, answer);
    writeLine(stream_, line);
}

}
