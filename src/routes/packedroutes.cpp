#include "routes/packedroutes.h"

#include <algorithm>
#include <new>

#include <zlib.h>

namespace Egretpath
{

namespace
{

/// Many times what the platform's store takes as one value; a node that is out of order must not fill this one's
/// memory.
constexpr std::size_t LargestText = std::size_t{16} * 1024 * 1024;
/// What a table of many routes is compressed to, and more; the buffer doubles when that was not enough.
constexpr std::size_t UsualRatio = 16;
constexpr std::size_t SmallestBuffer = std::size_t{4} * 1024;

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
    // There is room for the largest outcome, so that only memory can be short.
    if (compress2(bytesOf(packed.bytes), &size, bytesOf(text), text.size(), Z_BEST_SPEED) != Z_OK) {
        throw std::bad_alloc();
    }
    packed.bytes.resize(size);
    return packed;
}

Result<std::string> unpackRoutes(const PackedRoutes &packed)
{
    std::string text;
    std::size_t room = std::clamp(packed.bytes.size() * UsualRatio, SmallestBuffer, LargestText);
    int status = Z_BUF_ERROR;
    while (status == Z_BUF_ERROR && room <= LargestText) {
        text.resize(room);
        uLongf size = text.size();
        status = uncompress(bytesOf(text), &size, bytesOf(packed.bytes), packed.bytes.size());
        if (status == Z_OK) {
            text.resize(size);
            return text;
        }
        room *= 2;
    }
    return notRun(Reason::BadRequest, "routes from another node that can't be unpacked");
}

}
