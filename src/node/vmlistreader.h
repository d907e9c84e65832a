#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/digest.h"
#include "distribution/vmliststore.h"
#include "membership/vmlisthead.h"
#include "node/blackboard.h"
#include "node/exchangesource.h"
#include "platform/platformclient.h"

namespace Egretpath
{

/// Turns the platform's value for the list of VMs, whole or in parts, into the list and loads it into the store.
///
/// Preconditions: references outlive the reader. Thread safety: none. Errors: a list that does not check is logged once
/// and leaves the store as it was.
class VmListReader
{
public:
    VmListReader(Blackboard &board, PlatformClient &platform, VmListStore &store);

    /// @p value is what the platform's key holds.
    [[nodiscard]] boost::asio::awaitable<SourceReading> read(std::string value);
    /// Loads a list as text if it is newer. With @p expectedVersion, another version is refused.
    SourceReading load(const std::string &text, std::optional<std::uint64_t> expectedVersion = std::nullopt);

private:
    boost::asio::awaitable<SourceReading> readParts(std::string headText);
    boost::asio::awaitable<PlatformResult<std::string>> joinParts(VmListHead head);
    void refuse(std::string why);

    Blackboard &board_;
    PlatformClient &platform_;
    VmListStore &store_;
    /// The last single value that was read, and the version it has.
    Digest lastValue_;
    std::optional<TableVersion> lastVersion_;
    std::string refusedList_;
};

}
