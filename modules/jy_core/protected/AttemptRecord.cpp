#include "jy_core/protected/AttemptRecord.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace jy {

namespace {

namespace json = boost::json;

// Field names are short because every write of a shard rewrites all of its records.
json::object toJson(const AttemptRecord &record)
{
    // Integers are read as int64, so the unsigned 64-bit digest is stored as text.
    json::object object{
        {"k", record.key}, {"a", record.attempt}, {"d", std::to_string(record.digest)}};
    if (record.outcome) {
        object.emplace("s", record.outcome->status);
        object.emplace("t", record.outcome->contentType);
        if (record.outcome->bodyOmitted)
            object.emplace("o", true);
        else
            object.emplace("b", record.outcome->body);
    }
    return object;
}

std::string stringField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (!value || !value->is_string())
        return {};
    const auto &found = value->get_string();
    return {found.data(), found.size()};
}

std::optional<AttemptRecord> toRecord(const json::value &value)
{
    const auto *object = value.if_object();
    if (!object)
        return std::nullopt;
    AttemptRecord record{.key = stringField(*object, "k"), .attempt = stringField(*object, "a")};
    if (record.key.empty() || record.attempt.empty())
        return std::nullopt;
    record.digest = std::strtoull(stringField(*object, "d").c_str(), nullptr, 10);
    if (const auto *status = object->if_contains("s"); status && status->is_int64())
        record.outcome = AttemptOutcome{.status = static_cast<int>(status->get_int64()),
                                        .contentType = stringField(*object, "t"),
                                        .body = stringField(*object, "b"),
                                        .bodyOmitted = object->contains("o")};
    return record;
}

} // namespace

std::shared_ptr<const AttemptEntry> makeAttemptEntry(AttemptRecord record)
{
    auto entry = std::make_shared<AttemptEntry>();
    entry->text = json::serialize(toJson(record));
    entry->record = std::move(record);
    return entry;
}

std::string attemptShardText(const AttemptEntries &entries)
{
    std::string out = "[";
    for (const auto &[key, entry] : entries) {
        if (out.size() > 1)
            out += ',';
        out += entry->text;
    }
    return out + ']';
}

Result<AttemptEntries> parseAttemptShard(std::string_view text)
{
    json::parse_options options;
    // Bodies are stored as the backend server sent them and may not be valid UTF-8.
    options.allow_invalid_utf8 = true;
    json::error_code error;
    const auto root = json::parse({text.data(), text.size()}, error, {}, options);
    if (error || !root.is_array())
        return failure(ErrorKind::Internal, "the attempt shard is not a JSON array");
    AttemptEntries entries;
    for (const auto &value : root.get_array()) {
        auto record = toRecord(value);
        if (!record)
            return failure(ErrorKind::Internal, "the attempt shard contains an invalid record");
        auto key = record->key;
        entries.insert_or_assign(std::move(key), makeAttemptEntry(std::move(*record)));
    }
    return entries;
}

} // namespace jy
