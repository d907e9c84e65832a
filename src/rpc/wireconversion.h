#pragma once

#include "rpc/generated/peer.capnp.h"
#include "rpc/peermessages.h"

/// Conversions between the message structs (peermessages.h) and their Cap'n Proto form on the wire.
///
/// Preconditions: none. Thread safety: none beyond the builders' own. Errors: kj::Exception for malformed messages;
/// a number outside an enumeration's range is read as the most cautious value.
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
/// Reads the state of a store that is not Available. A number that is not known is read as Unavailable.
[[nodiscard]] StoreState readStoreState(std::uint8_t wire);
[[nodiscard]] std::string readText(capnp::Text::Reader wire);
[[nodiscard]] std::string readBytes(capnp::Data::Reader wire);
/// A view of @p bytes. Precondition: @p bytes outlives the view.
[[nodiscard]] capnp::Data::Reader asData(std::string_view bytes);

}
