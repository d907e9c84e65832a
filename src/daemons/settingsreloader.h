#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "settings/settingsfilestate.h"
#include "sidecar/sidecar.h"

namespace Egretpath
{

/// Keeps a running node at the content of its settings file: looks at the file at intervals, since it may change
/// without a signal and a signal may be lost, and at once after a signal. A problem of the file is logged once, and the
/// settings in force stay. A file that can't be read twice, such as a pipe, is read after a signal only.
///
/// Preconditions: must not outlive the sidecar or the context. Thread safety: none.
class SettingsReloader
{
public:
    /// @p text: the content of @p file with which the node was started.
    SettingsReloader(boost::asio::io_context &context, Sidecar &sidecar, std::string file, std::string text);

    /// Begins to look at the file. Precondition: called once.
    void start();
    /// To be called when a signal says that the file has changed.
    void requestReload();

private:
    void checkAfter(Milliseconds delay);
    void check();
    void take(const SettingsResult<std::string> &content);

    Sidecar &sidecar_;
    std::string file_;
    SettingsFileState state_;
    boost::asio::steady_timer timer_;
    /// Whether the next check is to confirm what the last one read.
    bool isConfirming_ = false;
};

}
