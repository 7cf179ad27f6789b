#include "jy_gateway/registry/StoreCopy.h"

#include <absl/strings/escaping.h>
#include <boost/iostreams/device/array.hpp>
#include <boost/iostreams/device/back_inserter.hpp>
#include <boost/iostreams/filter/zstd.hpp>
#include <boost/iostreams/filtering_stream.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <exception>
#include <optional>

namespace jy {

namespace {

namespace io = boost::iostreams;

// Limit after decompression. The store holds a few values of at most 1 MB and many small ones.
constexpr std::size_t maxCopyBytes = 32 * 1024 * 1024;

Result<std::string> decompressCopy(std::string_view bytes)
{
    std::string text;
    try {
        io::filtering_istream in;
        in.push(io::zstd_decompressor());
        in.push(io::array_source(bytes.data(), bytes.size()));
        in.exceptions(std::ios::badbit);
        std::array<char, 16 * 1024> part{};
        while (in && text.size() <= maxCopyBytes) {
            in.read(part.data(), part.size());
            text.append(part.data(), static_cast<std::size_t>(in.gcount()));
        }
    } catch (const std::exception &error) {
        return failure(ErrorKind::BadRequest,
                       std::string("cannot decompress the store copy: ") + error.what());
    }
    if (text.size() > maxCopyBytes)
        return failure(ErrorKind::BadRequest, "the store copy is too large");
    return text;
}

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
        return failure(ErrorKind::BadRequest,
                       "an item of the store copy has a missing or invalid field");
    StoreItem item{std::string(key->get_string()), {}, *revision, object->contains("removed")};
    if (!absl::Base64Unescape(std::string(value->get_string()), &item.value))
        return failure(ErrorKind::BadRequest, "a value of the store copy is not valid base64");
    return item;
}

} // namespace

std::string compressCopy(std::string_view text)
{
    std::string bytes;
    io::filtering_ostream out;
    out.push(io::zstd_compressor(io::zstd::best_speed));
    out.push(io::back_inserter(bytes));
    out.write(text.data(), static_cast<std::streamsize>(text.size()));
    out.reset();
    return bytes;
}

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
    return compressCopy(boost::json::serialize(boost::json::object{{"items", std::move(items)},
                                                                   {"as_of", copy.page.asOf},
                                                                   {"era", copy.page.era},
                                                                   {"age_ms", copy.age.count()}}));
}

Result<StoreCopy> decodeStoreCopy(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(const auto text, decompressCopy(bytes));
    boost::system::error_code error;
    const auto document = boost::json::parse(text, error);
    const auto *object = error ? nullptr : document.if_object();
    const auto *items = object ? object->if_contains("items") : nullptr;
    const auto asOf = object ? readCount(*object, "as_of") : std::nullopt;
    const auto age = object ? readCount(*object, "age_ms") : std::nullopt;
    const auto era = object && object->contains("era") ? readCount(*object, "era") : StoreEra{0};
    if (!items || !items->is_array() || !asOf || !age || !era)
        return failure(ErrorKind::BadRequest, "the store copy has a missing or invalid field");
    StoreCopy copy;
    copy.page.asOf = *asOf;
    copy.page.era = *era;
    copy.age = std::chrono::milliseconds(*age);
    for (const auto &entry : items->get_array()) {
        BOOST_OUTCOME_TRY(auto item, readItem(entry));
        copy.page.items.push_back(std::move(item));
    }
    return copy;
}

} // namespace jy
