#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

namespace Egretpath
{

/// The bytes of one message, in one piece. A large one grows without a second copy of its bytes, and gives its memory
/// back to the system at once when it goes. Thread safety: none.
class BodyBuffer
{
public:
    /// Throws std::bad_alloc if there is no memory; the bytes are then as before.
    void append(std::string_view bytes);
    void clear();
    [[nodiscard]] std::string_view view() const { return {data_.get(), size_}; }

private:
    struct Release
    {
        void operator()(char *data) const;
    };

    std::unique_ptr<char, Release> data_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
};

}
