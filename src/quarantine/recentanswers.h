#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"
#include "quarantine/requestfingerprint.h"

namespace Egretpath
{

/// Remembers which requests the upstream has answered recently.
///
/// Guards against suspecting popular requests. A popular request is under way at many upstreams at any moment, also at
/// upstreams that crash for another reason. It differs from a request that crashes upstreams in that it has been
/// answered a moment before. Answers of the upstream's predecessor count too; otherwise all popular requests would be
/// suspected of a crash soon after a start. Thread safety: none. Errors: none; answers are forgotten sooner when there
/// are many.
class RecentAnswers
{
public:
    /// @p seed is random and private to this process, so that nobody can construct a request that collides with an
    /// answered one.
    explicit RecentAnswers(std::uint64_t seed)
        : seed_(seed)
    {
    }

    void record(const RequestContent &request, TimePoint now);
    [[nodiscard]] bool contains(const RequestContent &request, TimePoint now) const;

private:
    struct Answer
    {
        std::uint64_t hash = 0;
        TimePoint answeredAt;
    };
    static constexpr std::size_t SlotCount = 1024;

    [[nodiscard]] std::uint64_t hashOf(const RequestContent &request) const;

    std::uint64_t seed_;
    std::array<Answer, SlotCount> answers_{};
};

}
