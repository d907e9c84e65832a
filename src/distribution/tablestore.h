#pragma once

#include <optional>
#include <string>

#include "table/tableversion.h"

namespace Egretpath
{

/// The node's table as the exchange needs it. Contents are opaque to the exchange.
///
/// Thread safety: called from the strand that owns the exchange. No method throws.
class TableStore
{
public:
    TableStore() = default;
    TableStore(const TableStore &) = delete;
    TableStore &operator=(const TableStore &) = delete;
    virtual ~TableStore() = default;

    /// The version held; nothing before the first table.
    [[nodiscard]] virtual std::optional<TableVersion> currentVersion() const = 0;
    /// The encoded change from @p base to the version held, or nothing if it is no longer known or would
    /// be no smaller than the whole.
    [[nodiscard]] virtual std::optional<std::string> changeSince(const TableVersion &base) const = 0;
    /// The whole encoded table. Precondition: a table is held.
    [[nodiscard]] virtual std::string whole() const = 0;
    /// Applies a change to the version held. Preconditions: @p base is held, @p target is larger.
    /// Returns false, leaving all as it was, if the result does not check or has another digest.
    [[nodiscard]] virtual bool applyChange(const TableVersion &base, const TableVersion &target,
                                           const std::string &payload) = 0;
    /// Takes a whole table. Precondition: @p target is larger than the version held.
    /// Returns false, leaving all as it was, if it does not check or has another digest.
    [[nodiscard]] virtual bool applyWhole(const TableVersion &target, const std::string &payload) = 0;
};

}
