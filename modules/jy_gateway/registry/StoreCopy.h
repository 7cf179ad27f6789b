#pragma once

#include "jy_gateway/adapter/SharedStore.h"

#include <string>
#include <string_view>
#include <vector>

namespace jy {

/** Path at which an instance gives its copy of the store to others. */
inline constexpr std::string_view storeCopyPath = "/v1/store-copy";

/** JSON form of the items of a StoreMirror, for instances that cannot reach the store. */
std::string encodeStoreCopy(const std::vector<StoreItem> &items);

/** @returns BadRequest for text that is no copy. */
Result<std::vector<StoreItem>> decodeStoreCopy(std::string_view text);

} // namespace jy
