#pragma once

#include "jy_gateway/adapter/SharedStore.h"

#include <chrono>
#include <string>
#include <string_view>

namespace jy {

/** Path at which an instance gives its copy of the store to others. */
inline constexpr std::string_view storeCopyPath = "/v1/store-copy";

/** Path at which it gives the changes after a revision; waits for the first one. */
inline constexpr std::string_view storeChangesPath = "/v1/store-changes";

/** Query parameters of that path: a revision, and a time in milliseconds. */
inline constexpr std::string_view afterParameter = "after";
inline constexpr std::string_view waitParameter = "wait_ms";

/** Status of an answer when the changes after the revision are not kept. */
inline constexpr int historyLostStatus = 410;

/** What an instance passes on of the store. */
struct StoreCopy
{
    StorePage page;

    /** Time since the store last answered the instance that gives the copy. */
    std::chrono::milliseconds age{0};
};

/** JSON form of a copy, compressed: many routes are alike, and narrow links carry them. */
std::string encodeStoreCopy(const StoreCopy &copy);

/** @returns BadRequest for bytes that are no copy. */
Result<StoreCopy> decodeStoreCopy(std::string_view bytes);

/** The compression of encodeStoreCopy(). */
std::string compressCopy(std::string_view text);

} // namespace jy
