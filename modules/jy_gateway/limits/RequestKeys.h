#pragma once

#include "jy_gateway/placement/PromptAffinity.h"
#include "jy_http/messages/HttpMessage.h"

#include <optional>
#include <vector>

namespace jy {

/** What a request can be recognised by when it comes again. */
struct RequestKeys
{
    /** The prompt parts that other requests may share. */
    std::vector<PromptPartKey> parts;

    /** The request as a whole. */
    std::optional<PromptPartKey> request;
};

/**
 * @returns the keys of a request, which are the same for each caller and each attempt: of headers,
 * only the host and the prompt count
 */
RequestKeys keysOf(const HttpRequest &request, const std::vector<PromptPart> &prompt);

} // namespace jy
