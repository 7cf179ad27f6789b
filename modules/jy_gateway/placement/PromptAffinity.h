#pragma once

#include "jy_gateway/adapter/CallerProtocol.h"

#include <cstdint>
#include <vector>

namespace jy {

/**
 * Hash of the shared prompt prefix, by which requests with the same prefix are sent to the server
 * that has it cached.
 *
 * @param prompt parts in order; the last one is specific to the request
 * @returns 0 for an empty prompt
 */
std::uint64_t promptAffinity(const std::vector<PromptPart> &prompt);

/** Identifies a prompt part in logs and in messages between instances. */
using PromptPartKey = std::uint32_t;

/** @returns the keys of all parts except the last one, which is specific to the request. */
std::vector<PromptPartKey> sharedParts(const std::vector<PromptPart> &prompt);

/** @returns the number of tokens of all parts except the last one, which is specific to the
 * request.
 */
std::int64_t sharedTokens(const std::vector<PromptPart> &prompt);

} // namespace jy
