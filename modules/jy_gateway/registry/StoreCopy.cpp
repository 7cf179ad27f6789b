#include "jy_gateway/registry/StoreCopy.h"

#include <absl/strings/escaping.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jy {

std::string encodeStoreCopy(const std::vector<StoreItem> &items)
{
    boost::json::array list;
    for (const auto &item : items)
        list.push_back(boost::json::object{{"key", item.key},
                                           {"revision", item.revision},
                                           {"value", absl::Base64Escape(item.value)}});
    return boost::json::serialize(list);
}

Result<std::vector<StoreItem>> decodeStoreCopy(std::string_view text)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(text, error);
    if (error || !document.is_array())
        return failure(ErrorKind::BadRequest, "the copy of the store is not a JSON array");
    std::vector<StoreItem> items;
    for (const auto &entry : document.get_array()) {
        const auto *object = entry.if_object();
        const auto *key = object ? object->if_contains("key") : nullptr;
        const auto *revision = object ? object->if_contains("revision") : nullptr;
        const auto *value = object ? object->if_contains("value") : nullptr;
        if (!key || !key->is_string() || !revision || !revision->is_number() || !value
            || !value->is_string())
            return failure(ErrorKind::BadRequest, "an item of the copy lacks a field");
        StoreItem item{
            std::string(key->get_string()), {}, revision->to_number<std::uint64_t>(), false};
        if (!absl::Base64Unescape(std::string(value->get_string()), &item.value))
            return failure(ErrorKind::BadRequest, "a value of the copy is not base64");
        items.push_back(std::move(item));
    }
    return items;
}

} // namespace jy
