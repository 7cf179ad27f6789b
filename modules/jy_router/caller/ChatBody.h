#pragma once

#include "jy_base/errors/Error.h"
#include "jy_base/ids/Ids.h"

#include <string_view>

namespace jy {

/** What the router needs of the body of a chat completions request. */
struct ChatBody
{
    /** Longest name of a model in bytes. */
    static constexpr std::size_t maxModelBytes = 1024;

    ModelId model;
    bool stream = false;

    /**
     * Reads the members "model" and "stream" of a JSON object. Other values are checked but not
     * stored, as a body of many small ones would take a multiple of its size.
     *
     * @returns BadRequest for a text that is not such an object
     */
    static Result<ChatBody> read(std::string_view text);
};

} // namespace jy
