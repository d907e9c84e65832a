#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakeupstream.h"
#include "instances/instancedirectory.h"
#include "sidecar/catalogsource.h"

namespace Egretpath
{

/// Routes and a list that a test publishes, or does not.
class FakeCatalog
{
public:
    void publishRoutes(std::uint64_t version);
    void publishList();
    void add(const FakeUpstream &upstream, const Endpoint &node, const std::string &service);
    void remove(const std::string &id);
    /// The upstream says that it leaves.
    void drain(const std::string &id);
    /// As above; only this node hears of it.
    void drainOnly(std::size_t node, const std::string &id);
    void lose();
    /// Only for the node that was made as number @p node.
    void lose(std::size_t node);
    void comeBack();
    /// Nobody can read it any more, or everybody can again.
    void setAway(bool away);
    /// The platform's side of a new node.
    [[nodiscard]] std::unique_ptr<CatalogSource> makeSource();
    /// Nodes that read it now.
    [[nodiscard]] std::size_t readers() const { return sinks_.size(); }
    /// Whether the node that was made as number @p node reads it.
    [[nodiscard]] bool reads(std::size_t node) const;
    /// The node that was made as number @p node reads on, and hears nothing more.
    void silence(std::size_t node) { silent_.insert(node); }
    /// Publishes routes that only this node gets, whether it reads or not.
    void tellOnly(std::size_t node, std::uint64_t version);
    /// Nodes that do not read it would find that they can't.
    bool cutOff = false;
    /// Nodes made from now on can't read it.
    bool unreachable = false;
    /// Routes that nobody uses, beside those of the tests.
    std::size_t idleRoutes = 0;

private:
    friend class FakeSource;

    [[nodiscard]] InstanceSnapshot snapshot() const;
    /// The change that makes the upstream leave.
    [[nodiscard]] InstanceChange draining(const std::string &id);
    [[nodiscard]] std::string routesText() const;
    void tell(const std::function<void(CatalogSink &)> &what);

    /// Those that read.
    std::vector<CatalogSink *> sinks_;
    /// Of all nodes, in the order in which they were made.
    std::vector<CatalogSink *> made_;
    std::set<std::size_t> silent_;
    std::map<std::string, InstanceRecord> records_;
    std::uint64_t version_ = 0;
    std::uint64_t revision_ = 0;
    bool listed_ = false;
    bool away_ = false;
};

}
