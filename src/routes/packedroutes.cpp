#include "routes/packedroutes.h"

#include <algorithm>
#include <new>

#include <zlib.h>

namespace Egretpath
{

namespace
{

/// Largest text that is unpacked, many times what the platform's store takes as one value. The limit keeps a faulty
/// node from filling this node's memory.
constexpr std::size_t MaxTextBytes = std::size_t{16} * 1024 * 1024;
/// First guess of the text size, as a multiple of the packed size. It is above the compression ratio of a table with
/// many routes; the buffer is doubled when it is too small.
constexpr std::size_t InitialRatio = 16;
constexpr std::size_t MinBufferBytes = std::size_t{4} * 1024;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

}

PackedRoutes packRoutes(std::string_view text)
{
    uLongf size = compressBound(text.size());
    PackedRoutes packed;
    packed.bytes.resize(size);
    // The buffer is large enough for any result, so compress2() can only fail for lack of memory.
    if (compress2(bytesOf(packed.bytes), &size, bytesOf(text), text.size(), Z_BEST_SPEED) != Z_OK) {
        throw std::bad_alloc();
    }
    packed.bytes.resize(size);
    return packed;
}

Result<std::string> unpackRoutes(const PackedRoutes &packed)
{
    std::string text;
    std::size_t capacity = std::clamp(packed.bytes.size() * InitialRatio, MinBufferBytes, MaxTextBytes);
    int status = Z_BUF_ERROR;
    while (status == Z_BUF_ERROR && capacity <= MaxTextBytes) {
        text.resize(capacity);
        uLongf size = text.size();
        status = uncompress(bytesOf(text), &size, bytesOf(packed.bytes), packed.bytes.size());
        if (status == Z_OK) {
            text.resize(size);
            return text;
        }
        capacity *= 2;
    }
    return notRun(Reason::BadRequest, "routes from another node that can't be unpacked");
}

}
