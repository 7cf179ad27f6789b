#pragma once

#include "jy_gateway/adapter/SharedStore.h"

#include <chrono>
#include <string>
#include <string_view>

namespace jy {

/** HTTP path at which an instance serves its copy of the store. */
inline constexpr std::string_view storeCopyPath = "/v1/store-copy";

/** HTTP path at which it serves the changes after a revision; waits if there are none yet. */
inline constexpr std::string_view storeChangesPath = "/v1/store-changes";

/** Query parameters of storeChangesPath: the revision, its era (omitted by earlier builds), and the
 * longest wait in milliseconds. */
inline constexpr std::string_view afterParameter = "after";
inline constexpr std::string_view eraParameter = "era";
inline constexpr std::string_view waitParameter = "wait_ms";

/** Status of the response if the changes after the revision are not available. */
inline constexpr int historyLostStatus = 410;

/** Items of the store that an instance serves to others. */
struct StoreCopy
{
    /** Copies of builds that state no era have era 0. */
    StorePage page;

    /** Time since the store last responded to the instance that serves the copy. */
    std::chrono::milliseconds age{0};
};

/**
 * Encodes a copy as compressed JSON. Configurations contain many similar routes, which compress
 * well, and some instances have links with little bandwidth.
 */
std::string encodeStoreCopy(const StoreCopy &copy);

/** @returns BadRequest if the bytes are not a valid copy */
Result<StoreCopy> decodeStoreCopy(std::string_view bytes);

/** Compresses a text as encodeStoreCopy() does. */
std::string compressCopy(std::string_view text);

} // namespace jy
