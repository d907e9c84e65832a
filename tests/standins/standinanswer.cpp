#include "standins/standinanswer.h"

#include "core/digest.h"

namespace Egretpath
{

std::string standinAnswer(std::string_view requestId, std::string_view bodyDigest, std::size_t bytes)
{
    const std::string base = std::string(requestId) + ' ' + std::string(bodyDigest) + '\n';
    std::string answer;
    answer.reserve(bytes + base.size());
    for (std::uint64_t block = 0; answer.size() < bytes; ++block) {
        answer += block == 0 ? base : toHex(Digest{stableHash(base, block), block});
    }
    answer.resize(bytes);
    return answer;
}

}
