#include "messages/bodybuffer.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>

namespace Egretpath
{

namespace
{

/// A buffer grows by this part of its size. What is not written yet takes no memory of the machine.
constexpr std::size_t GrowthDivisor = 8;

}

void BodyBuffer::Release::operator()(char *data) const
{
    std::free(data);
}

void BodyBuffer::append(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    const std::size_t size = size_ + bytes.size();
    if (size > capacity_) {
        const std::size_t capacity = std::max(size, capacity_ + capacity_ / GrowthDivisor);
        // The system moves the pages of large blocks; a container would copy them into a second block.
        char *data = static_cast<char *>(std::realloc(data_.get(), capacity));
        if (data == nullptr) {
            throw std::bad_alloc();
        }
        (void)data_.release();
        data_.reset(data);
        capacity_ = capacity;
    }
    std::memcpy(data_.get() + size_, bytes.data(), bytes.size());
    size_ = size;
}

void BodyBuffer::clear()
{
    data_.reset();
    size_ = 0;
    capacity_ = 0;
}

}
