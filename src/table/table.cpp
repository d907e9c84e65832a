#include "table/table.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "table/tableorder.h"

namespace Egretpath
{

namespace
{

/// The element of the sorted @p list whose @p name is @p wanted, or null.
template<typename Policy, typename Name>
const Policy *findByName(const std::vector<Policy> &list, Name Policy::*name, const Name &wanted)
{
    const auto found =
        std::lower_bound(list.begin(), list.end(), wanted,
                         [name](const Policy &policy, const Name &other) { return policy.*name < other; });
    const bool matches = found != list.end() && (*found).*name == wanted;
    return matches ? &*found : nullptr;
}

struct ServiceOrder
{
    template<typename Policy>
    bool operator()(const Policy &left, const ServiceName &right) const
    {
        return left.service < right;
    }

    template<typename Policy>
    bool operator()(const ServiceName &left, const Policy &right) const
    {
        return left < right.service;
    }
};

/// The rows of @p service in @p list, which is sorted by service first.
template<typename Policy>
std::span<const Policy> rowsOf(const std::vector<Policy> &list, const ServiceName &service)
{
    const auto [first, last] = std::equal_range(list.begin(), list.end(), service, ServiceOrder{});
    return {first, last};
}

template<typename Policy>
void appendRows(std::vector<TableRow> &rows, const std::vector<Policy> &policies)
{
    for (const Policy &policy : policies) {
        rows.emplace_back(policy);
    }
}

}

Table::Table(const TableVersion &version, Policies policies, std::vector<std::uint32_t> upstreamsByName)
    : version_(version)
    , services_(std::move(policies.services))
    , regions_(std::move(policies.regions))
    , spills_(std::move(policies.spills))
    , upstreams_(std::move(policies.upstreams))
    , upstreamsByName_(std::move(upstreamsByName))
{
}

void Table::sort(Policies &policies)
{
    std::sort(policies.services.begin(), policies.services.end(), TableOrder{});
    std::sort(policies.regions.begin(), policies.regions.end(), TableOrder{});
    std::sort(policies.spills.begin(), policies.spills.end(), TableOrder{});
    std::sort(policies.upstreams.begin(), policies.upstreams.end(), TableOrder{});
}

std::vector<std::uint32_t> Table::indexByName(const std::vector<UpstreamPolicy> &upstreams)
{
    std::vector<std::uint32_t> index(upstreams.size());
    std::iota(index.begin(), index.end(), 0U);
    std::sort(index.begin(), index.end(), [&upstreams](std::uint32_t left, std::uint32_t right) {
        return upstreams[left].upstream < upstreams[right].upstream;
    });
    return index;
}

const ServicePolicy *Table::service(const ServiceName &name) const
{
    return findByName(services_, &ServicePolicy::service, name);
}

std::span<const UpstreamPolicy> Table::upstreams(const ServiceName &service) const
{
    return rowsOf(upstreams_, service);
}

std::span<const SpillPolicy> Table::spills(const ServiceName &service) const
{
    return rowsOf(spills_, service);
}

const UpstreamPolicy *Table::upstream(const UpstreamName &name) const
{
    const auto found = std::lower_bound(
        upstreamsByName_.begin(), upstreamsByName_.end(), name,
        [this](std::uint32_t index, const UpstreamName &other) { return upstreams_[index].upstream < other; });
    const bool matches = found != upstreamsByName_.end() && upstreams_[*found].upstream == name;
    return matches ? &upstreams_[*found] : nullptr;
}

const RegionPolicy *Table::region(const RegionName &name) const
{
    return findByName(regions_, &RegionPolicy::region, name);
}

std::uint32_t Table::spillWeight(const ServiceName &service, const RegionName &region) const
{
    const auto wanted = std::tie(service, region);
    const auto found =
        std::lower_bound(spills_.begin(), spills_.end(), wanted, [](const SpillPolicy &policy, const auto &other) {
            return std::tie(policy.service, policy.region) < other;
        });
    const bool matches = found != spills_.end() && std::tie(found->service, found->region) == wanted;
    return matches ? found->weight : 0;
}

std::vector<TableRow> Table::rows() const
{
    std::vector<TableRow> rows;
    rows.reserve(services_.size() + regions_.size() + spills_.size() + upstreams_.size());
    appendRows(rows, regions_);
    appendRows(rows, services_);
    appendRows(rows, spills_);
    appendRows(rows, upstreams_);
    std::sort(rows.begin(), rows.end(),
              [](const TableRow &left, const TableRow &right) { return left.keyView() < right.keyView(); });
    return rows;
}

bool operator==(const Table &left, const Table &right)
{
    return left.version() == right.version() && left.rows() == right.rows();
}

std::string toCsv(const Table &table)
{
    std::string text = canonicalHeader() + "\n";
    for (const TableRow &row : table.rows()) {
        text += row.canonicalText() + "\n";
    }
    return text;
}

}
