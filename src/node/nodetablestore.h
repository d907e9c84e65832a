#pragma once

#include <deque>

#include "distribution/tablestore.h"
#include "table/table.h"
#include "table/tablediff.h"

namespace Egretpath
{

/// The table that this node holds, with the latest changes that led to it.
///
/// Changes are kept, not former tables, so that memory does not grow with the count of versions.
/// Thread safety: none. Errors: none; payloads that don't check are refused.
class NodeTableStore final : public TableStore
{
public:
    /// Rows of kept changes, all together; older changes go first.
    static constexpr std::size_t KeptRows = 4096;

    [[nodiscard]] const TablePointer &held() const { return held_; }
    /// Takes @p table in place of the one held. Returns false if it is not newer.
    bool load(TablePointer table);

    [[nodiscard]] std::optional<TableVersion> currentVersion() const override;
    [[nodiscard]] std::optional<std::string> changeSince(const TableVersion &base) const override;
    [[nodiscard]] std::string whole() const override;
    [[nodiscard]] bool applyChange(const TableVersion &base, const TableVersion &target,
                                   const std::string &payload) override;
    [[nodiscard]] bool applyWhole(const TableVersion &target, const std::string &payload) override;

private:
    void remember(TableChange change);

    TablePointer held_;
    std::deque<TableChange> changes_;
    std::size_t keptRows_ = 0;
};

}
