#include "settings/settingsfilestate.h"

#include <utility>

namespace Egretpath
{

SettingsFileState::SettingsFileState(std::string text)
    : taken_(std::move(text))
{
}

SettingsFileState::Step SettingsFileState::recordRead(const SettingsResult<std::string> &content)
{
    if (content == taken_ && !isReloadRequested_) {
        candidate_.reset();
        return Step::Wait;
    }
    if (!candidate_ || *candidate_ != content) {
        candidate_ = content;
        return Step::ReadAgain;
    }
    taken_ = content;
    candidate_.reset();
    isReloadRequested_ = false;
    return Step::Take;
}

}
