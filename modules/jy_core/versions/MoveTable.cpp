#include "jy_core/versions/MoveTable.h"

#include "jy_base/hashing/StableHash.h"

namespace jy {

namespace {

template <class Map, class Predicate>
void eraseIf(Map &map, Predicate predicate)
{
    std::erase_if(map, [&](const auto &entry) { return predicate(entry.second); });
}

} // namespace

bool MoveTable::addMark(const StopMark &mark)
{
    // A delayed copy of a mark whose move the current revision no longer contains.
    if (mark.revision < revision_ && !desiredMoves_.contains(mark.move))
        return false;
    const auto [position, inserted] = marks_.try_emplace(mark.move, mark);
    if (inserted)
        return true;
    // Two routers may mark the same move at once. Every router keeps the smaller mark, so that all
    // tables agree.
    if (position->second <= mark)
        return false;
    position->second = mark;
    return true;
}

bool MoveTable::addRecord(const MoveRecord &record)
{
    const auto [position, inserted] = records_.try_emplace(record.move, record);
    if (inserted)
        return true;
    if (position->second.sequence >= record.sequence)
        return false;
    position->second = record;
    return true;
}

void MoveTable::applyDesiredState(const DesiredState &state)
{
    if (state.revision <= revision_)
        return;
    revision_ = state.revision;
    desiredMoves_.clear();
    for (const auto &[id, model] : state.models) {
        for (const auto &move : model.moves)
            desiredMoves_.emplace(move.id, move.to);
    }
    eraseIf(marks_, [this](const StopMark &mark) {
        return mark.revision < revision_ && !desiredMoves_.contains(mark.move);
    });
    eraseIf(records_,
            [this](const MoveRecord &record) { return !desiredMoves_.contains(record.move); });
}

const StopMark *MoveTable::mark(const MoveId &move) const
{
    const auto found = marks_.find(move);
    return found == marks_.end() ? nullptr : &found->second;
}

MoveRecord MoveTable::effectiveRecord(const MoveId &move) const
{
    MoveRecord record;
    record.move = move;
    if (const auto found = records_.find(move); found != records_.end())
        record = found->second;
    if (const auto *stop = mark(move)) {
        record.state = MoveState::TakenBack;
        record.share = 0.0;
        record.reason = stop->reason;
    }
    return record;
}

std::vector<StopMark> MoveTable::marks() const
{
    std::vector<StopMark> result;
    for (const auto &[move, mark] : marks_)
        result.push_back(mark);
    return result;
}

std::vector<MoveRecord> MoveTable::records() const
{
    std::vector<MoveRecord> result;
    for (const auto &[move, record] : records_)
        result.push_back(record);
    return result;
}

MoveTableDigest MoveTable::digest() const
{
    MoveTableDigest digest;
    for (const auto &[move, mark] : marks_) {
        digest.hash ^=
            stableHash(mark.move.value() + '\n' + mark.foundBy.value() + '\n' + mark.reason);
        ++digest.count;
    }
    for (const auto &[move, record] : records_) {
        digest.hash ^= stableHash(record.move.value(), record.sequence);
        ++digest.count;
    }
    return digest;
}

} // namespace jy
