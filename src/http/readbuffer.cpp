#include "http/readbuffer.h"

#include <algorithm>
#include <cstring>

namespace Egretpath
{

namespace
{

constexpr std::size_t InitialCapacity = 4096;
constexpr std::size_t GrowthFactor = 4;

}

ReadBuffer::ReadBuffer(std::size_t maxCapacity)
    : maxCapacity_(std::max(maxCapacity, InitialCapacity))
{
    reserve(InitialCapacity);
}

std::size_t ReadBuffer::prepare()
{
    if (begin_ == end_) {
        begin_ = end_ = 0;
    }
    const bool full = end_ == capacity_;
    if (full && begin_ > 0) {
        std::memmove(data_.get(), data_.get() + begin_, end_ - begin_);
        end_ -= begin_;
        begin_ = 0;
    } else if ((full || wasFilled_) && capacity_ < maxCapacity_) {
        reserve(std::min(capacity_ * GrowthFactor, maxCapacity_));
    }
    wasFilled_ = false;
    return capacity_ - end_;
}

void ReadBuffer::commit(std::size_t count)
{
    wasFilled_ = end_ + count == capacity_;
    end_ += count;
}

void ReadBuffer::consume(std::size_t count)
{
    begin_ += count;
}

void ReadBuffer::setMaxCapacity(std::size_t maxCapacity)
{
    maxCapacity_ = std::max(maxCapacity, InitialCapacity);
}

bool ReadBuffer::hasGrown() const
{
    return capacity_ > InitialCapacity;
}

void ReadBuffer::shrink()
{
    if (empty() && hasGrown()) {
        begin_ = end_ = 0;
        reserve(InitialCapacity);
    }
}

void ReadBuffer::reserve(std::size_t capacity)
{
    std::unique_ptr<char[]> data(new char[capacity]);
    if (end_ > begin_) {
        std::memcpy(data.get(), data_.get() + begin_, end_ - begin_);
    }
    end_ -= begin_;
    begin_ = 0;
    capacity_ = capacity;
    data_ = std::move(data);
}

}
