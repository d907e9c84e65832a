#pragma once

#include <optional>
#include <string>

#include "settings/settingsproblem.h"

namespace Egretpath
{

/// Decides when the content of a settings file is taken that others may replace or write at any moment, with or without
/// a signal. Content is taken once two reads in a row agree, so that a file that is being written, or is gone while it
/// is replaced, changes nothing. Thread safety: none. Errors: none.
class SettingsFileState
{
public:
    enum class Step {
        /// Nothing has changed.
        Wait,
        /// The file has changed; it has to be read again after a short time.
        ReadAgain,
        /// The content that was just read is to be taken, or its problem to be reported.
        Take,
    };

    /// @p text: the content that is in force.
    explicit SettingsFileState(std::string text);

    /// The next content is taken even if it is the one in force. For a signal, which operators expect to be answered.
    void requestReload() { isReloadRequested_ = true; }
    /// Records what a read of the file returned.
    [[nodiscard]] Step recordRead(const SettingsResult<std::string> &content);

private:
    SettingsResult<std::string> taken_;
    std::optional<SettingsResult<std::string>> candidate_;
    bool isReloadRequested_ = false;
};

}
