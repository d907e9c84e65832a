#pragma once

#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpconnectionpool.h"
#include "node/blackboard.h"

namespace Egretpath
{

/// Asks the upstream beside this node whether it drains.
///
/// The endpoint may lag or mislead, so it decides one thing only, and only when it says the same twice in a row:
/// whether the upstream takes new work. Whether it works well is judged by its answers.
/// Preconditions: references outlive the controller. Thread safety: none.
class HealthController
{
public:
    /// @p drainChanged is called after the upstream began or ended to drain.
    HealthController(boost::asio::any_io_executor executor, Blackboard &board, std::function<void()> drainChanged);

    /// Polls until the node ends; spawn it once.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<std::optional<bool>> askWhetherDraining();
    void take(bool draining);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    std::function<void()> drainChanged_;
    HttpConnectionPool pool_;
    int sameReports_ = 0;
    bool lastReport_ = false;
};

}
