#include "jy_core/versions/MoveRecord.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace jy {

namespace {

constexpr std::array<std::string_view, 6> stateNames{"planned", "loading", "judging",
                                                     "moving",  "done",    "taken-back"};

} // namespace

std::string_view toString(MoveState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

std::optional<MoveState> moveStateFromName(std::string_view name)
{
    const auto *found = std::find(stateNames.begin(), stateNames.end(), name);
    if (found == stateNames.end())
        return std::nullopt;
    return static_cast<MoveState>(found - stateNames.begin());
}

std::string toJson(const MoveRecord &record)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const boost::json::object object{
        {"move", record.move.value()},
        {"sequence", record.sequence},
        {"state", toString(record.state)},
        {"share", record.share},
        {"reason", record.reason},
        {"changed_at_ms", duration_cast<milliseconds>(record.changedAt.time_since_epoch()).count()},
    };
    return boost::json::serialize(object);
}

Result<MoveRecord> parseMoveRecord(std::string_view text)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    if (object == nullptr)
        return failure(ErrorKind::BadRequest, "the move record is not a JSON object");
    const auto *move = object->if_contains("move");
    const auto *sequence = object->if_contains("sequence");
    const auto *state = object->if_contains("state");
    const auto *share = object->if_contains("share");
    const auto *reason = object->if_contains("reason");
    const auto *changedAt = object->if_contains("changed_at_ms");
    if (move == nullptr || !move->is_string() || sequence == nullptr || !sequence->is_number()
        || state == nullptr || !state->is_string() || share == nullptr || !share->is_number()
        || reason == nullptr || !reason->is_string() || changedAt == nullptr
        || !changedAt->is_number())
        return failure(ErrorKind::BadRequest,
                       "a field of the move record is missing or has a wrong type");
    const auto parsedState = moveStateFromName(state->get_string());
    if (!parsedState)
        return failure(ErrorKind::BadRequest, "the move record has an unknown state");
    boost::system::error_code sequenceError;
    boost::system::error_code shareError;
    boost::system::error_code changedAtError;
    MoveRecord record;
    record.move = MoveId(std::string(move->get_string()));
    record.sequence = sequence->to_number<std::uint64_t>(sequenceError);
    record.state = *parsedState;
    record.share = share->to_number<double>(shareError);
    record.reason = std::string(reason->get_string());
    record.changedAt =
        WallTime(std::chrono::milliseconds(changedAt->to_number<std::int64_t>(changedAtError)));
    if (sequenceError || shareError || changedAtError
        || !(record.share >= 0.0 && record.share <= 1.0))
        return failure(ErrorKind::BadRequest, "a number in the move record is out of range");
    return record;
}

} // namespace jy
