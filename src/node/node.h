#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/verdict.h"
#include "settings/nodesettings.h"

namespace Egretpath
{

/// One node: the daemon beside an upstream, with its ingress and egress roles.
///
/// Preconditions: an AsioEventPort on this thread owns @p context; one node for each thread. Thread safety: none.
class Node
{
public:
    Node(boost::asio::io_context &context, const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Binds all listeners and begins to work. Errors: ConnectFailed, when an address can't be bound.
    [[nodiscard]] Result<void> start();
    /// Begins the planned stop: no new work is taken, what was taken is finished, then the context is stopped. What is
    /// left after the drain limit of the settings is dropped; its callers see their connections close.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

}
