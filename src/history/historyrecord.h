#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/digest.h"
#include "core/identity.h"
#include "core/strongtype.h"
#include "core/verdict.h"

namespace Egretpath
{

/// Microseconds on one clock that all writers of a history share, for example the machine's monotonic clock.
using HistoryTime = StrongType<struct HistoryTimeTag, std::int64_t>;
/// The Idempotency-Key of a request; empty if it had none.
using HistoryKey = StrongType<struct HistoryKeyTag, std::string>;

/// Length and digest of a body.
struct BodySummary
{
    Bytes size;
    Digest digest;

    friend bool operator==(const BodySummary &, const BodySummary &) = default;
};

/// A caller began to send a request.
struct InvocationRecord
{
    RequestId request;
    HistoryKey key;
    ServiceName service;
    bool repeatable = false;
    /// The node that the caller sent it to, by the name that planned stops use; the incarnation may be unknown.
    NodeIdentity ingress;
    BodySummary body;
    HistoryTime time;

    friend bool operator==(const InvocationRecord &, const InvocationRecord &) = default;
};

/// A caller got the end of a request.
struct OutcomeRecord
{
    RequestId request;
    Verdict verdict = Verdict::MayHaveRun;
    /// The word of the Egretpath-Reason header; empty for answers.
    std::string reason;
    std::uint16_t status = 0;
    BodySummary answer;
    /// The request id that the answer says it belongs to; empty if it says none.
    RequestId echo;
    /// The connection ended with neither an answer nor a verdict.
    bool cut = false;
    HistoryTime time;

    friend bool operator==(const OutcomeRecord &, const OutcomeRecord &) = default;
};

/// An upstream began to run a request.
struct RunStartedRecord
{
    RequestId request;
    HistoryKey key;
    NodeIdentity upstream;
    /// When this upstream began to leave, if it had.
    std::optional<HistoryTime> leavingSince;
    HistoryTime time;

    friend bool operator==(const RunStartedRecord &, const RunStartedRecord &) = default;
};

/// An upstream ran a request to its end. Written before the last byte of the answer is sent.
struct RunFinishedRecord
{
    RequestId request;
    NodeIdentity upstream;
    std::uint16_t status = 0;
    BodySummary answer;
    HistoryTime time;

    friend bool operator==(const RunFinishedRecord &, const RunFinishedRecord &) = default;
};

/// What a node showed of itself.
struct StatusRecord
{
    NodeIdentity node;
    /// Zero while it has no table in force.
    TableNumber table;
    Digest tableDigest;
    /// Bytes spent on measuring upstreams since the start of this incarnation.
    Bytes measuringBytes;
    HistoryTime time;

    friend bool operator==(const StatusRecord &, const StatusRecord &) = default;
};

/// The operators' table was accepted.
struct TableAcceptedRecord
{
    TableNumber table;
    Digest tableDigest;
    HistoryTime time;

    friend bool operator==(const TableAcceptedRecord &, const TableAcceptedRecord &) = default;
};

/// A process was stopped on purpose: from the order to stop until it was gone. @c node is the identity that the process
/// itself shows: a node's in status samples, an upstream's in its runs.
struct PlannedStopRecord
{
    NodeIdentity node;
    HistoryTime ordered;
    HistoryTime time;

    friend bool operator==(const PlannedStopRecord &, const PlannedStopRecord &) = default;
};

using HistoryRecord = std::variant<InvocationRecord, OutcomeRecord, RunStartedRecord, RunFinishedRecord, StatusRecord,
                                   TableAcceptedRecord, PlannedStopRecord>;

/// A record and where it stands, so that a violation can point at it.
struct HistoryLine
{
    HistoryRecord record;
    std::string file;
    std::size_t number = 0;
    std::string text;
};

/// Thread safety: safe. Errors: none.
[[nodiscard]] HistoryTime timeOf(const HistoryRecord &record);

}
