#pragma once

#include <array>
#include <cstdint>

#include "core/clock.h"
#include "quarantine/requestfingerprint.h"

namespace Egretpath
{

/// Which requests the upstream has answered lately.
///
/// Guards against accusing what many callers ask for: such a request is under way at many upstreams at any moment, also
/// at those that end for another reason; it has been answered a moment before, and one that ends upstreams has not.
/// What the upstream's predecessor answered counts too: else all that is popular would be accused of a crash soon after
/// a start. Thread safety: none. Errors: none; answers are forgotten sooner when there are many.
class RecentAnswers
{
public:
    /// @p seed is this process's own: nobody can make up a request that passes for an answered one.
    explicit RecentAnswers(std::uint64_t seed)
        : seed_(seed)
    {
    }

    void record(const RequestContent &request, TimePoint now);
    [[nodiscard]] bool contains(const RequestContent &request, TimePoint now) const;

private:
    struct Answer
    {
        std::uint64_t name = 0;
        TimePoint at;
    };
    static constexpr std::size_t Places = 1024;

    [[nodiscard]] std::uint64_t nameOf(const RequestContent &request) const;

    std::uint64_t seed_;
    std::array<Answer, Places> answers_{};
};

}
