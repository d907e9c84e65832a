#include "standins/platformstore.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Egretpath
{

namespace
{

struct ModeWord
{
    std::string_view word;
    PlatformMode mode;
};

constexpr std::array<ModeWord, 4> ModeWords{{
    {"up", PlatformMode::Up},
    {"down", PlatformMode::Down},
    {"stale", PlatformMode::Stale},
    {"flap", PlatformMode::Flap},
}};

}

std::optional<PlatformMode> platformModeFromString(std::string_view text)
{
    for (const ModeWord &candidate : ModeWords) {
        if (candidate.word == text) {
            return candidate.mode;
        }
    }
    return std::nullopt;
}

PlatformStore::PlatformStore(std::uint64_t readsPerSecond)
    : readsPerSecond_(readsPerSecond)
{
}

void PlatformStore::put(const std::string &key, std::string content)
{
    ++counts_.puts;
    values_[key] = Value{std::move(content), ++lastIndex_};
}

const PlatformStore::Value *PlatformStore::find(const std::string &key) const
{
    const auto &values = mode_ == PlatformMode::Stale ? snapshot_ : values_;
    const auto found = values.find(key);
    return found == values.end() ? nullptr : &found->second;
}

std::uint64_t PlatformStore::indexOf(const std::string &key) const
{
    const Value *value = find(key);
    return value == nullptr ? 1 : value->index;
}

void PlatformStore::setMode(PlatformMode mode, TimePoint now)
{
    if (mode == PlatformMode::Stale && mode_ != PlatformMode::Stale) {
        snapshot_ = values_;
    }
    mode_ = mode;
    modeSince_ = now;
}

bool PlatformStore::isDown(TimePoint now) const
{
    if (mode_ == PlatformMode::Flap) {
        return ((now - modeSince_) / flapTime_) % 2 == 0;
    }
    return mode_ == PlatformMode::Down;
}

bool PlatformStore::admitRead(TimePoint now)
{
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != std::exchange(second_, second)) {
        readsInSecond_ = 0;
    }
    ++counts_.reads;
    ++readsInSecond_;
    const std::uint64_t load = readsInSecond_ + counts_.waiting;
    counts_.peakPerSecond = std::max(counts_.peakPerSecond, load);
    const bool admitted = load <= readsPerSecond_;
    counts_.refused += admitted ? 0 : 1;
    return admitted;
}

void PlatformStore::beginWatch()
{
    ++counts_.watches;
    ++counts_.waiting;
}

void PlatformStore::endWatch()
{
    --counts_.waiting;
}

}
