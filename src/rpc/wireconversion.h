#pragma once

#include "rpc/generated/peer.capnp.h"
#include "rpc/peermessages.h"

/// Conversions between the messages of the project and their form on the wire.
///
/// Preconditions: none. Thread safety: none beyond the builders' own. Errors: kj::Exception for malformed messages;
/// numbers out of an enumeration's range become its most careful value.
namespace Egretpath::WireConversion
{

void write(Wire::Identity::Builder wire, const NodeIdentity &identity);
void write(Wire::LoadReport::Builder wire, const LoadReport &report);
void write(Wire::CallHead::Builder wire, const CallHead &head);
void write(Wire::AnswerHead::Builder wire, const AnswerHead &head);
void write(Wire::CallOutcome::Builder wire, const CallOutcome &outcome);
void write(Wire::Catalog::Builder wire, const Catalog &catalog);
void write(Wire::QuarantineNews::Builder wire, const QuarantineUpdate &update);

[[nodiscard]] NodeIdentity read(Wire::Identity::Reader wire);
[[nodiscard]] LoadReport read(Wire::LoadReport::Reader wire);
[[nodiscard]] CallHead read(Wire::CallHead::Reader wire);
[[nodiscard]] AnswerHead read(Wire::AnswerHead::Reader wire);
[[nodiscard]] CallOutcome read(Wire::CallOutcome::Reader wire);
[[nodiscard]] Catalog read(Wire::Catalog::Reader wire);
[[nodiscard]] QuarantineUpdate read(Wire::QuarantineNews::Reader wire);
/// Of a store that is not in order.
[[nodiscard]] StoreState readStoreState(std::uint8_t wire);
[[nodiscard]] std::string readText(capnp::Text::Reader wire);
[[nodiscard]] std::string readBytes(capnp::Data::Reader wire);
[[nodiscard]] capnp::Data::Reader asData(const std::string &bytes);

}
