#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

namespace Egretpath
{

/// Bytes read from a socket and not yet parsed, contiguous. Starts small and grows up to a limit while it is filled
/// at one go, so that thousands of idle connections cost little. Thread safety: none.
class ReadBuffer
{
public:
    explicit ReadBuffer(std::size_t limit);

    /// What was read and not consumed.
    [[nodiscard]] std::string_view unread() const { return {data_.get() + begin_, end_ - begin_}; }
    [[nodiscard]] bool empty() const { return begin_ == end_; }

    /// Free space behind the unread bytes; moves them to the front or grows when needed. Zero when the limit is
    /// reached.
    [[nodiscard]] std::size_t prepare();
    /// Where prepare() offered space.
    [[nodiscard]] char *space() { return data_.get() + end_; }
    /// Precondition: @p count is at most what prepare() returned.
    void commit(std::size_t count);
    /// Precondition: @p count is at most unread().size().
    void consume(std::size_t count);
    /// Gives grown memory back. No effect while bytes are unread.
    void shrink();

private:
    void reserve(std::size_t capacity);

    std::size_t limit_;
    std::size_t capacity_ = 0;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    bool filled_ = false;
    std::unique_ptr<char[]> data_;
};

}
