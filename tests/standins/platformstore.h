#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/clock.h"

namespace Egretpath
{

/// How the stand-in of the platform's service behaves.
enum class PlatformMode : std::uint8_t {
    Up,
    /// Every read ends in a dropped connection.
    Down,
    /// Reads see what was there when this mode began.
    Stale,
    /// Up and down in turn.
    Flap,
};

[[nodiscard]] std::optional<PlatformMode> platformModeFromString(std::string_view text);

/// The values of the platform's service in memory, and its count of reads. Thread safety: none.
class PlatformStore
{
public:
    struct Value
    {
        std::string content;
        std::uint64_t index = 0;
    };

    struct Counts
    {
        std::uint64_t reads = 0;
        std::uint64_t watches = 0;
        std::uint64_t waiting = 0;
        std::uint64_t refused = 0;
        std::uint64_t puts = 0;
        /// The most calls of one second: reads that began in it, and watches that waited.
        std::uint64_t peakPerSecond = 0;
    };

    explicit PlatformStore(std::uint64_t readsPerSecond);

    void put(const std::string &key, std::string content);
    /// What a reader sees now; nothing when absent.
    [[nodiscard]] const Value *find(const std::string &key) const;
    /// The index of @p key as a reader sees it; that of an absent key is 1.
    [[nodiscard]] std::uint64_t indexOf(const std::string &key) const;

    void setMode(PlatformMode mode, TimePoint now);
    void setFlapTime(Duration time) { flapTime_ = time; }
    /// Whether reads get no answer at @p now.
    [[nodiscard]] bool isDown(TimePoint now) const;

    /// Counts a read; false when it is over the limit and has to be refused.
    [[nodiscard]] bool admitRead(TimePoint now);
    void beginWatch();
    void endWatch();
    [[nodiscard]] const Counts &counts() const { return counts_; }

private:
    std::uint64_t readsPerSecond_;
    std::uint64_t lastIndex_ = 1;
    std::map<std::string, Value> values_;
    std::map<std::string, Value> snapshot_;
    PlatformMode mode_ = PlatformMode::Up;
    TimePoint modeSince_{};
    Duration flapTime_ = Milliseconds(1000);
    std::int64_t second_ = 0;
    std::uint64_t readsInSecond_ = 0;
    Counts counts_;
};

}
