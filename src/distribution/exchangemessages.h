#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "membership/spreadscope.h"
#include "membership/vmrecord.h"
#include "table/tableversion.h"

namespace Egretpath
{

/// What a push or pull is about. Each is exchanged by a TableExchange of its own.
enum class ExchangeSubject : std::uint8_t {
    /// The operators' table.
    Table,
    /// The platform's list of VMs.
    VmList,
};

/// What a node has, and how old its knowledge of the platform is.
struct TableSummary
{
    /// The table in force; nothing if the node has none in force yet.
    std::optional<TableVersion> version;
    /// The largest version that the node knows to be in force anywhere. A starting node, which has none in
    /// force itself, passes on what it heard.
    std::optional<TableVersion> heard;
    /// How long ago a reader found `version` at the platform's head; nothing if that never happened.
    std::optional<Milliseconds> confirmedAge;
};

/// What a transferred payload is.
enum class PayloadKind : std::uint8_t {
    None,
    /// Rows that differ from a base version.
    Change,
    /// The whole table.
    Whole,
};

/// push(PushChange) -> TableSummary. Carries a change towards nodes that hold its base.
struct PushChange
{
    TableVersion base;
    TableVersion target;
    SpreadScope scope = SpreadScope::Zone;
    std::string payload;
};

/// pull(PullRequest) -> PullAnswer.
struct PullRequest
{
    /// What the asking node holds, in force or not.
    std::optional<TableVersion> have;
    /// The payload is wanted. If false, only the summary is.
    bool wantsTable = true;
};

struct PullAnswer
{
    TableSummary summary;
    PayloadKind kind = PayloadKind::None;
    /// For Change: what it applies to.
    std::optional<TableVersion> base;
    /// For Change and Whole: what it leads to.
    std::optional<TableVersion> target;
    std::string payload;
};

/// A push to be sent.
struct OutgoingPush
{
    VmRecord receiver;
    PushChange change;
    /// How many receivers were tried before.
    std::uint8_t attempt = 0;
};

/// A pull to be sent.
struct OutgoingPull
{
    VmRecord receiver;
    PullRequest request;
};

/// Requests to be sent after an event. Each must end in exactly one call of the matching
/// TableExchange::...Answered() or ...Failed().
struct ExchangeRequests
{
    std::vector<OutgoingPush> pushes;
    std::vector<OutgoingPull> pulls;
};

/// Two tables were published under one number.
struct TableConflict
{
    TableVersion winner;
    TableVersion loser;

    friend bool operator==(const TableConflict &, const TableConflict &) = default;
};

/// Bytes of each message on the wire beside its payload: Cap'n Proto framing, TCP and IP headers. An
/// estimate for the budgets; the node's real counters are measured at its sockets.
constexpr std::uint64_t MessageOverheadBytes = 160;

}
