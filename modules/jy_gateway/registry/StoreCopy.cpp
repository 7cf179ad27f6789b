#include "jy_gateway/registry/StoreCopy.h"

#include <absl/strings/escaping.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>

namespace jy {

namespace {

std::optional<std::uint64_t> readCount(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    boost::system::error_code error;
    const auto count = value ? value->to_number<std::uint64_t>(error) : 0;
    if (!value || error)
        return std::nullopt;
    return count;
}

Result<StoreItem> readItem(const boost::json::value &entry)
{
    const auto *object = entry.if_object();
    const auto *key = object ? object->if_contains("key") : nullptr;
    const auto *value = object ? object->if_contains("value") : nullptr;
    const auto revision = object ? readCount(*object, "revision") : std::nullopt;
    if (!key || !key->is_string() || !value || !value->is_string() || !revision)
        return failure(ErrorKind::BadRequest, "an item of the copy lacks a field");
    StoreItem item{std::string(key->get_string()), {}, *revision, object->contains("removed")};
    if (!absl::Base64Unescape(std::string(value->get_string()), &item.value))
        return failure(ErrorKind::BadRequest, "a value of the copy is not base64");
    return item;
}

} // namespace

std::string encodeStoreCopy(const StoreCopy &copy)
{
    boost::json::array items;
    for (const auto &item : copy.page.items) {
        boost::json::object entry{{"key", item.key},
                                  {"revision", item.revision},
                                  {"value", absl::Base64Escape(item.value)}};
        if (item.removed)
            entry["removed"] = true;
        items.push_back(std::move(entry));
    }
    return boost::json::serialize(boost::json::object{
        {"items", std::move(items)}, {"as_of", copy.page.asOf}, {"age_ms", copy.age.count()}});
}

Result<StoreCopy> decodeStoreCopy(std::string_view text)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(text, error);
    const auto *object = error ? nullptr : document.if_object();
    const auto *items = object ? object->if_contains("items") : nullptr;
    const auto asOf = object ? readCount(*object, "as_of") : std::nullopt;
    const auto age = object ? readCount(*object, "age_ms") : std::nullopt;
    if (!items || !items->is_array() || !asOf || !age)
        return failure(ErrorKind::BadRequest, "the copy of the store lacks a field");
    StoreCopy copy;
    copy.page.asOf = *asOf;
    copy.age = std::chrono::milliseconds(*age);
    for (const auto &entry : items->get_array()) {
        BOOST_OUTCOME_TRY(auto item, readItem(entry));
        copy.page.items.push_back(std::move(item));
    }
    return copy;
}

} // namespace jy
