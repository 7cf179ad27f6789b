#include "jy_runtime/events/EventJson.h"

namespace jy {

namespace {

auto missing(const char *key)
{
    return failure(ErrorKind::BadRequest, std::string("event without valid \"") + key + '"');
}

template <class Number>
bool readNumber(const boost::json::object &object, const char *key, Number &target)
{
    const auto *value = object.if_contains(key);
    boost::system::error_code error;
    if (value && value->is_number())
        target = value->to_number<Number>(error);
    return value && value->is_number() && !error;
}

bool readText(const boost::json::object &object, const char *key, std::string &target)
{
    const auto *value = object.if_contains(key);
    if (!value || !value->is_string())
        return false;
    target.assign(value->get_string().data(), value->get_string().size());
    return true;
}

} // namespace

boost::json::object toJson(const Event &event)
{
    boost::json::object fields;
    for (const auto &field : event.fields)
        fields.emplace(field.name, field.value);
    return {{"wall_ms", event.time.wallMs}, {"counter", event.time.counter},
            {"process", event.process},     {"kind", event.kind},
            {"sequence", event.sequence},   {"fields", std::move(fields)}};
}

Result<Event> eventFromJson(const boost::json::value &value)
{
    const auto *object = value.if_object();
    if (!object)
        return failure(ErrorKind::BadRequest, "event is not an object");
    Event event;
    if (!readNumber(*object, "wall_ms", event.time.wallMs))
        return missing("wall_ms");
    if (!readNumber(*object, "counter", event.time.counter))
        return missing("counter");
    if (!readNumber(*object, "sequence", event.sequence))
        return missing("sequence");
    if (!readText(*object, "process", event.process))
        return missing("process");
    if (!readText(*object, "kind", event.kind))
        return missing("kind");
    const auto *fields = object->if_contains("fields");
    if (!fields || !fields->is_object())
        return missing("fields");
    for (const auto &entry : fields->get_object()) {
        EventField field{std::string(entry.key()), {}};
        if (!readText(fields->get_object(), field.name.c_str(), field.value))
            return missing("fields");
        event.fields.push_back(std::move(field));
    }
    return event;
}

} // namespace jy
