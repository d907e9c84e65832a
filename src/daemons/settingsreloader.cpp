#include "daemons/settingsreloader.h"

#include <utility>

#include "settings/settingsfile.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds CheckInterval{1000};
/// Time between two reads of a file that has changed. Writing it takes less.
constexpr Milliseconds ConfirmationDelay{100};

}

SettingsReloader::SettingsReloader(boost::asio::io_context &context, Sidecar &sidecar, std::string file,
                                   std::string text)
    : sidecar_(sidecar)
    , file_(std::move(file))
    , state_(std::move(text))
    , timer_(context)
{
}

void SettingsReloader::start()
{
    // The file may have been written while it was read for the start.
    checkAfter(ConfirmationDelay);
}

void SettingsReloader::requestReload()
{
    if (!canBeReadAgain(file_)) {
        take(readSettingsFile(file_));
        return;
    }
    state_.requestReload();
    // Signals in quick succession must not shorten the time between the two reads.
    if (!isConfirming_) {
        check();
    }
}

void SettingsReloader::checkAfter(Milliseconds delay)
{
    timer_.expires_after(delay);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            check();
        }
    });
}

void SettingsReloader::check()
{
    if (!canBeReadAgain(file_)) {
        checkAfter(CheckInterval);
        return;
    }
    const SettingsResult<std::string> content = readSettingsFile(file_);
    const SettingsFileState::Step step = state_.recordRead(content);
    if (step == SettingsFileState::Step::Take) {
        take(content);
    }
    isConfirming_ = step == SettingsFileState::Step::ReadAgain;
    checkAfter(isConfirming_ ? ConfirmationDelay : CheckInterval);
}

void SettingsReloader::take(const SettingsResult<std::string> &content)
{
    if (!content) {
        sidecar_.recordRefusedReload(content.error());
        return;
    }
    const auto settings = readSidecarSettings(content.value(), file_);
    if (settings) {
        sidecar_.reload(settings.value());
    } else {
        sidecar_.recordRefusedReload(settings.error());
    }
}

}
