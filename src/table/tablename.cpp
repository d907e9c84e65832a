#include "table/tablename.h"

#include <algorithm>
#include <cstddef>

namespace Egretpath
{

namespace
{

constexpr std::size_t NameCap = 63;

bool isNameCharacter(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '.' || character == '_' || character == '-';
}

}

bool isTableName(std::string_view text)
{
    return !text.empty() && text.size() <= NameCap && std::all_of(text.begin(), text.end(), isNameCharacter);
}

}
