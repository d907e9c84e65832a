#include "table/tableeditor.h"

#include <algorithm>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "table/tablebuilder.h"
#include "table/tabledigest.h"
#include "table/tableorder.h"

namespace Egretpath
{

namespace
{

/// The rows of one kind while they are edited.
template<typename Policy>
class EditedPolicies
{
public:
    explicit EditedPolicies(std::span<const Policy> base)
        : base_(base)
        , keep_(base.size(), true)
    {
    }

    /// The kept row of the base that stands at @p order, or null.
    [[nodiscard]] const Policy *find(const TableRowKeyView &order) const
    {
        const auto found =
            std::lower_bound(base_.begin(), base_.end(), order, [](const Policy &policy, const TableRowKeyView &other) {
                return orderOf(policy) < other;
            });
        const bool matches =
            found != base_.end() && orderOf(*found) == order && keep_[static_cast<std::size_t>(found - base_.begin())];
        return matches ? &*found : nullptr;
    }

    /// Preconditions: @p policy came from find().
    void drop(const Policy *policy) { keep_[static_cast<std::size_t>(policy - base_.data())] = false; }

    void add(const Policy &policy) { added_.push_back(policy); }

    /// All rows in order. Rows that were added twice stand side by side.
    [[nodiscard]] std::vector<Policy> merged()
    {
        std::vector<Policy> result;
        result.reserve(base_.size() + added_.size());
        for (std::size_t index = 0; index < base_.size(); ++index) {
            if (keep_[index]) {
                result.push_back(base_[index]);
            }
        }
        std::sort(added_.begin(), added_.end(), TableOrder{});
        const auto middle = static_cast<std::ptrdiff_t>(result.size());
        result.insert(result.end(), added_.begin(), added_.end());
        std::inplace_merge(result.begin(), result.begin() + middle, result.end(), TableOrder{});
        return result;
    }

private:
    std::span<const Policy> base_;
    std::vector<bool> keep_;
    std::vector<Policy> added_;
};

template<typename Policy>
bool hasTwice(const std::vector<Policy> &sorted)
{
    return std::adjacent_find(sorted.begin(), sorted.end(),
                              [](const Policy &left, const Policy &right) { return orderOf(left) == orderOf(right); })
        != sorted.end();
}

/// Where the upstream row with @p key stands.
TableRowKeyView upstreamOrder(const TableRowKeyView &key)
{
    return {key.service, {}, key.upstream};
}

/// One edit from the base to the lists of the new table.
class Edit
{
public:
    Edit(const Table &base, std::string_view source)
        : source_(source)
        , digest_(base.digest())
        , services_(base.services())
        , regions_(base.regions())
        , spills_(base.spills())
        , upstreams_(base.upstreams())
    {
    }

    void remove(const TableRowKey &key)
    {
        const TableRowKeyView view = viewOf(key);
        bool found = false;
        if (!view.upstream.empty()) {
            found = removeUpstream(view);
        } else if (view.service.empty()) {
            found = dropAt(regions_, view);
        } else {
            found = view.region.empty() ? dropAt(services_, view) : dropAt(spills_, view);
        }
        if (!found) {
            addProblem("removal of " + toString(key), "removal of a row of the base");
        }
    }

    void put(const TableRow &row)
    {
        std::visit([this](const auto &policy) { replace(policy); }, row.policy());
    }

    [[nodiscard]] Table::Policies merged()
    {
        Table::Policies policies{services_.merged(), regions_.merged(), spills_.merged(), upstreams_.merged()};
        if (hasTwice(policies.services) || hasTwice(policies.regions) || hasTwice(policies.spills)
            || hasTwice(policies.upstreams)) {
            addProblem("a row twice", "one row for each key");
        }
        return policies;
    }

    void addProblem(std::string value, std::string allowed)
    {
        problems_.push_back({source_, 0, {}, std::move(value), std::move(allowed)});
    }

    [[nodiscard]] const TableProblems &problems() const { return problems_; }
    [[nodiscard]] const Digest &digest() const { return digest_.value(); }
    [[nodiscard]] bool keepsUpstreams() const { return keepsUpstreams_; }

private:
    template<typename Policy>
    bool dropAt(EditedPolicies<Policy> &policies, const TableRowKeyView &order)
    {
        const Policy *policy = policies.find(order);
        if (policy == nullptr) {
            return false;
        }
        digest_.remove(TableRow(*policy));
        policies.drop(policy);
        return true;
    }

    bool removeUpstream(const TableRowKeyView &key)
    {
        const UpstreamPolicy *policy = upstreams_.find(upstreamOrder(key));
        if (policy == nullptr || policy->region.value() != key.region) {
            return false;
        }
        keepsUpstreams_ = false;
        return dropAt(upstreams_, upstreamOrder(key));
    }

    template<typename Policy>
    void replace(EditedPolicies<Policy> &policies, const Policy &policy)
    {
        dropAt(policies, orderOf(policy));
        digest_.add(TableRow(policy));
        policies.add(policy);
    }

    void replace(const ServicePolicy &policy) { replace(services_, policy); }
    void replace(const RegionPolicy &policy) { replace(regions_, policy); }
    void replace(const SpillPolicy &policy) { replace(spills_, policy); }

    void replace(const UpstreamPolicy &policy)
    {
        const UpstreamPolicy *old = upstreams_.find(orderOf(policy));
        keepsUpstreams_ = keepsUpstreams_ && old != nullptr;
        if (old != nullptr && old->region != policy.region) {
            // The row of the other region has another key; the change has to remove it.
            addProblem("a second row for upstream " + policy.upstream.value(), "one row for each upstream");
            return;
        }
        replace(upstreams_, policy);
    }

    std::string source_;
    TableProblems problems_;
    TableDigest digest_;
    EditedPolicies<ServicePolicy> services_;
    EditedPolicies<RegionPolicy> regions_;
    EditedPolicies<SpillPolicy> spills_;
    EditedPolicies<UpstreamPolicy> upstreams_;
    bool keepsUpstreams_ = true;
};

void checkSize(Edit &edit, const Table::Policies &policies)
{
    const std::size_t rows =
        policies.services.size() + policies.regions.size() + policies.spills.size() + policies.upstreams.size();
    if (rows > TableBuilder::RowCap) {
        edit.addProblem(std::to_string(rows) + " rows", "at most " + std::to_string(TableBuilder::RowCap) + " rows");
    }
    if (policies.services.empty()) {
        edit.addProblem("no service row", "at least one service row");
    }
}

void checkUpstreamNames(Edit &edit, const Table::Policies &policies, const std::vector<std::uint32_t> &byName)
{
    for (std::size_t index = 1; index < byName.size(); ++index) {
        const UpstreamName &name = policies.upstreams[byName[index]].upstream;
        if (policies.upstreams[byName[index - 1]].upstream == name) {
            edit.addProblem("a second row for upstream " + name.value(), "one row for each upstream");
        }
    }
}

/// Whether each row of @p policies, which are sorted by service, has a service row.
template<typename Policy>
void checkServices(Edit &edit, const Table::Policies &policies, const std::vector<Policy> &rows)
{
    auto service = policies.services.begin();
    for (const Policy &row : rows) {
        while (service != policies.services.end() && service->service < row.service) {
            ++service;
        }
        if (service == policies.services.end() || service->service != row.service) {
            edit.addProblem("a row of service " + row.service.value(), "a service that has a service row");
        }
    }
}

}

TableResult<TablePointer> TableEditor::edit(const Table &base, const std::vector<TableRow> &changed,
                                            const std::vector<TableRowKey> &removed, TableNumber number,
                                            std::string_view source)
{
    Edit edit(base, source);
    for (const TableRowKey &key : removed) {
        edit.remove(key);
    }
    for (const TableRow &row : changed) {
        edit.put(row);
    }
    Table::Policies policies = edit.merged();
    std::vector<std::uint32_t> byName =
        edit.keepsUpstreams() ? base.upstreamsByName_ : Table::indexByName(policies.upstreams);
    checkSize(edit, policies);
    checkServices(edit, policies, policies.spills);
    checkServices(edit, policies, policies.upstreams);
    if (!edit.keepsUpstreams()) {
        checkUpstreamNames(edit, policies, byName);
    }
    if (!edit.problems().empty()) {
        return edit.problems();
    }
    return TablePointer(new Table(TableVersion{number, edit.digest()}, std::move(policies), std::move(byName)));
}

}
