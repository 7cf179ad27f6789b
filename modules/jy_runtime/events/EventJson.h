#pragma once

#include "jy_base/errors/Error.h"
#include "jy_runtime/events/EventBuffer.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

namespace jy {

/** {"wall_ms", "counter", "process", "kind", "sequence", "fields": {name: value}}. */
boost::json::object toJson(const Event &event);

/** Reads an event that toJson() wrote. @returns BadRequest that names the missing key. */
Result<Event> eventFromJson(const boost::json::value &value);

} // namespace jy
