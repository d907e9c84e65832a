#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "distribution/tablestore.h"
#include "membership/vmlist.h"

namespace Egretpath
{

/// The platform's list of VMs in the form that a TableExchange passes on.
///
/// A list of 22,000 VMs is larger than a megabyte and changes every few seconds; read whole by every node it
/// would cost more than the platform and the nodes' bytes allow. So a few nodes read it, as they do the
/// table, and pass on the rows that changed. The version is the list's own and the digest of its text.
/// Thread safety: none; one strand owns it. No method throws.
class VmListStore : public TableStore
{
public:
    /// How many versions back changes can be given for.
    static constexpr std::size_t HistoryLength = 32;

    /// The version that @p list has here.
    [[nodiscard]] static TableVersion versionOf(const VmList &list);

    /// Takes a list that was read from the platform. Precondition: its records are sorted, as parseVmList()
    /// leaves them. Returns false, leaving all as it was, unless its version is larger than that held.
    [[nodiscard]] bool load(VmList list);
    /// The list held; empty with version zero before the first.
    [[nodiscard]] const VmList &list() const { return list_; }

    [[nodiscard]] std::optional<TableVersion> currentVersion() const override { return version_; }
    [[nodiscard]] std::optional<std::string> changeSince(const TableVersion &base) const override;
    [[nodiscard]] std::string whole() const override { return printVmList(list_); }
    [[nodiscard]] bool applyChange(const TableVersion &base, const TableVersion &target,
                                   const std::string &payload) override;
    [[nodiscard]] bool applyWhole(const TableVersion &target, const std::string &payload) override;

private:
    /// The upstreams whose rows differ between a version and the following one.
    struct Step
    {
        TableVersion base;
        std::vector<UpstreamName> touched;
    };

    [[nodiscard]] bool take(VmList list, const TableVersion &target);

    VmList list_;
    std::optional<TableVersion> version_;
    std::deque<Step> history_;
};

}
