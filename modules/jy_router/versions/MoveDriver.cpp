#include "jy_router/versions/MoveDriver.h"

#include <absl/strings/str_cat.h>

namespace jy {

namespace {

std::string recordKey(const MoveId &move)
{
    return "jy/moves/" + move.value();
}

// Reports of a slot arrive within one period after it ends; canary analysis waits for one slot
// more.
constexpr std::uint64_t slotsUntilComplete = 2;

} // namespace

MoveDriver::MoveDriver(MoveDriverDependencies dependencies, VersionMoveSettings settings)
    : dependencies_(std::move(dependencies))
    , settings_(settings)
{ }

void MoveDriver::tick()
{
    applyDesiredState();
    const auto state = dependencies_.desiredState();
    if (!state)
        return;
    for (const auto &[id, model] : state->models) {
        for (const auto &move : model.moves) {
            reportCounts(move);
            if (dependencies_.coordinator(move.id) == dependencies_.self)
                coordinate(model, move);
            else
                coordinated_.erase(move.id);
        }
    }
}

void MoveDriver::applyDesiredState()
{
    const auto state = dependencies_.desiredState();
    if (!state || state->revision <= revision_)
        return;
    revision_ = state->revision;
    moveTable_.applyDesiredState(*state);
    oldVersions_.clear();
    for (const auto &[id, model] : state->models) {
        for (const auto &move : model.moves)
            oldVersions_.emplace(move.id, move.from);
    }
    std::erase_if(coordinated_, [&](const auto &entry) {
        const bool gone = !oldVersions_.contains(entry.first);
        if (gone)
            outcomes_.forget(entry.first);
        return gone;
    });
}

void MoveDriver::reportCounts(const MoveSpec &move)
{
    const auto counts = counter_.report(move.id, dependencies_.wallNow());
    if (counts.empty())
        return;
    const auto coordinator = dependencies_.coordinator(move.id);
    if (coordinator == dependencies_.self) {
        for (const auto &[id, thresholds] : receiveCounts(dependencies_.self, counts))
            counter_.setSlowThreshold(id, thresholds);
        return;
    }
    const auto thresholds = dependencies_.sendCounts(coordinator, counts);
    if (!thresholds)
        return; // The next report repeats the recent slots.
    for (const auto &[id, value] : thresholds.value())
        counter_.setSlowThreshold(id, value);
}

std::map<MoveId, std::chrono::milliseconds>
MoveDriver::receiveCounts(const InstanceId &owner, const std::vector<OutcomeCount> &counts)
{
    std::map<MoveId, std::chrono::milliseconds> thresholds;
    for (const auto &count : counts) {
        if (!oldVersions_.contains(count.move))
            continue;
        outcomes_.add(owner, count);
        thresholds.try_emplace(count.move, slowThresholdOf(count.move));
    }
    return thresholds;
}

std::chrono::milliseconds MoveDriver::slowThresholdOf(const MoveId &move) const
{
    return slowThreshold(outcomes_.total(move, oldVersions_.at(move)));
}

void MoveDriver::coordinate(const ModelSpec &model, const MoveSpec &spec)
{
    auto found = coordinated_.find(spec.id);
    if (found == coordinated_.end()) {
        found = coordinated_.emplace(spec.id, VersionMove(settings_, spec)).first;
        dependencies_.event("move.coordinated", spec.id, "this router coordinates the move");
        reread(found->second, recordKey(spec.id));
    }
    auto &move = found->second;
    const auto now = dependencies_.wallNow();
    const auto slot = OutcomeCounter::slotOf(now) - slotsUntilComplete;
    const bool stopped = moveTable_.mark(spec.id) != nullptr;
    const auto capacity = dependencies_.capacity(model, spec);
    for (const auto &action : move.tick(outcomes_, slot, capacity, stopped, now))
        perform(move, action);
}

void MoveDriver::perform(VersionMove &move, const MoveAction &action)
{
    if (const auto *stop = std::get_if<RaiseStopMark>(&action)) {
        const StopMark mark{stop->move, stop->version, stop->reason, dependencies_.self, revision_};
        if (moveTable_.addMark(mark)) {
            dependencies_.event("move.stopped", mark.move, mark.reason);
            dependencies_.moveTableChanged();
        }
        return;
    }
    write(move, std::get<WriteMoveRecord>(action).record);
}

void MoveDriver::write(VersionMove &move, const MoveRecord &record)
{
    const auto key = recordKey(record.move);
    const auto stored = dependencies_.read(key);
    if (!stored) {
        move.onRecordWritten(RecordWriteResult::Failed, record);
        return;
    }
    if (!stored.value().value.empty()) {
        const auto held = parseMoveRecord(stored.value().value);
        if (held && held.value().sequence >= record.sequence) {
            adoptRecord(held.value());
            move.adopt(held.value());
            move.onRecordWritten(RecordWriteResult::Conflict, record);
            return;
        }
    }
    const auto written = dependencies_.compareAndSwap(key, toJson(record), stored.value().index);
    if (written) {
        move.onRecordWritten(RecordWriteResult::Written, record);
        adoptRecord(record);
        return;
    }
    move.onRecordWritten(RecordWriteResult::Failed, record);
    reread(move, key);
}

void MoveDriver::reread(VersionMove &move, const std::string &key)
{
    const auto id = move.spec().id;
    const auto stored = dependencies_.read(key);
    if (!stored || stored.value().value.empty())
        return;
    const auto record = parseMoveRecord(stored.value().value);
    if (!record) {
        dependencies_.event("move.record_invalid", id, record.error().message);
        return;
    }
    adoptRecord(record.value());
    move.adopt(record.value());
}

void MoveDriver::adoptRecord(const MoveRecord &record)
{
    if (!moveTable_.addRecord(record))
        return;
    dependencies_.event("move.step", record.move,
                        absl::StrCat(std::string(toString(record.state)), " share ", record.share,
                                     ": ", record.reason));
    dependencies_.moveTableChanged();
}

void MoveDriver::recordOutcome(const MoveOutcome &outcome)
{
    counter_.record(outcome, dependencies_.wallNow());
}

void MoveDriver::merge(const std::vector<StopMark> &marks, const std::vector<MoveRecord> &records)
{
    bool changed = false;
    for (const auto &mark : marks) {
        if (!moveTable_.addMark(mark))
            continue;
        changed = true;
        dependencies_.event("move.stopped", mark.move, mark.reason);
    }
    for (const auto &record : records) {
        if (!moveTable_.addRecord(record))
            continue;
        changed = true;
        dependencies_.event("move.step", record.move, std::string(toString(record.state)));
    }
    if (changed)
        dependencies_.moveTableChanged();
}

SelectedVersion MoveDriver::select(const ModelSpec &model, const WorkspaceId &workspace,
                                   std::uint64_t chatHash) const
{
    return selectVersion(model, workspace, chatHash, moveTable_);
}

} // namespace jy
