#pragma once

#include "jy_base/hashing/StableHash.h"

#include <string>
#include <string_view>

namespace jy::standins {

/**
 * Text of one token of a stand-in engine's response.
 *
 * It depends only on the last message of the request and the position, so that a caller can check
 * that it received its own response complete and in order.
 */
inline std::string replyPart(std::string_view lastMessage, int index)
{
    return std::to_string(stableHash(lastMessage) % 0xffffff) + '.' + std::to_string(index) + ' ';
}

} // namespace jy::standins
