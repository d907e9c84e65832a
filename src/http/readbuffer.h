#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

namespace Egretpath
{

/// A contiguous buffer of bytes that were read from a socket and not yet parsed. It starts small and grows up to a
/// limit when a single read fills it, so that thousands of idle connections use little memory. Thread safety: none.
class ReadBuffer
{
public:
    explicit ReadBuffer(std::size_t maxCapacity);

    /// The bytes that were read and not consumed.
    [[nodiscard]] std::string_view unread() const { return {data_.get() + begin_, end_ - begin_}; }
    [[nodiscard]] bool empty() const { return begin_ == end_; }

    /// Returns the size of the free space after the unread bytes; moves them to the front or grows the buffer if
    /// needed. Returns zero if the limit is reached.
    [[nodiscard]] std::size_t prepare();
    /// The start of the free space that prepare() reported.
    [[nodiscard]] char *space() { return data_.get() + end_; }
    /// Adds @p count bytes, written at space(), to the unread bytes. Precondition: @p count is at most the result of
    /// prepare().
    void commit(std::size_t count);
    /// Removes the first @p count unread bytes. Precondition: @p count is at most unread().size().
    void consume(std::size_t count);
    [[nodiscard]] bool hasGrown() const;
    /// Takes effect when the buffer grows or shrinks next.
    void setMaxCapacity(std::size_t maxCapacity);
    /// Shrinks the buffer to its initial capacity. No effect while there are unread bytes.
    void shrink();

private:
    void reserve(std::size_t capacity);

    std::size_t maxCapacity_;
    std::size_t capacity_ = 0;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    bool wasFilled_ = false;
    std::unique_ptr<char[]> data_;
};

}
