#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/strongtype.h"
#include "platform/platformfailure.h"
#include "table/tableversion.h"

namespace Egretpath
{

/// What became of a value that was read from the platform.
struct SourceReading
{
    /// The version that the platform serves; nothing if it is not known, as when the value does not check.
    std::optional<TableVersion> version;
    /// The store moved to that version.
    bool loaded = false;
    /// A further read that loading needed has failed.
    std::optional<PlatformFailure> failure;
};

/// The part of an exchange that depends on its subject: what the platform's value means and who is told.
///
/// Thread safety: none; called by the ExchangeDriver on the thread of the event loop. Errors: in the readings.
class ExchangeSource
{
public:
    ExchangeSource() = default;
    ExchangeSource(const ExchangeSource &) = delete;
    ExchangeSource &operator=(const ExchangeSource &) = delete;
    virtual ~ExchangeSource() = default;

    /// The platform's value is @p value. Loads it into the store if it is newer than what that holds.
    virtual boost::asio::awaitable<SourceReading> valueRead(std::string value) = 0;
    /// The platform answered that it has no value.
    virtual void valueAbsent() = 0;
    /// A pull from @p peer failed.
    virtual void pullFailed(const UpstreamName &peer) = 0;
    /// The store may hold another version than before.
    virtual void storeChanged() = 0;
};

}
