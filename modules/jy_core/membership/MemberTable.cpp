#include "jy_core/membership/MemberTable.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

namespace {

int rank(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        return 3;
    case MemberState::Left:
        return 4;
    }
    return 4;
}

std::uint64_t revisionHash(const MemberInfo &member)
{
    constexpr std::uint64_t oddMultiplier = 0x9E3779B97F4A7C15ULL;
    return member.appliedRevision * oddMultiplier;
}

/** Treats suspect as alive, because a suspicion often ends before a synchronisation completes. */
std::uint64_t recordDigest(const MemberInfo &member)
{
    if (!isReachable(member.state))
        return 0;
    const auto leaving = static_cast<std::uint64_t>(member.state == MemberState::Leaving);
    return stableHash(member.id.value(), (member.incarnation * 2 + leaving) ^ revisionHash(member));
}

} // namespace

bool isReachable(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect
        || state == MemberState::Leaving;
}

bool lacksEndpoints(const MemberInfo &update)
{
    return update.gossip.address.empty();
}

MemberInfo withoutEndpoints(const MemberInfo &member)
{
    MemberInfo update;
    update.id = member.id;
    update.incarnation = member.incarnation;
    update.state = member.state;
    update.appliedRevision = member.appliedRevision;
    return update;
}

bool MemberTable::Record::isLive() const
{
    return !listedLeaving
        && (info.state == MemberState::Alive || info.state == MemberState::Suspect);
}

MemberTable::MergeResult MemberTable::merge(const MemberInfo &update, TimePoint now)
{
    const auto found = records_.find(update.id);
    if (found == records_.end()) {
        if (lacksEndpoints(update) || !isReachable(update.state))
            return MergeResult::Ignored;
        put(update, now);
        return MergeResult::Added;
    }
    const auto &known = found->second.info;
    if (update.incarnation < known.incarnation
        || (lacksEndpoints(update) && update.incarnation > known.incarnation)) {
        return MergeResult::Ignored;
    }
    if (update.incarnation > known.incarnation) {
        put(update, now);
        return MergeResult::Changed;
    }
    auto merged = known;
    merged.appliedRevision = std::max(known.appliedRevision, update.appliedRevision);
    if (rank(update.state) > rank(known.state)) {
        merged.state = update.state;
        put(merged, now);
        return MergeResult::Changed;
    }
    if (merged.appliedRevision == known.appliedRevision)
        return MergeResult::Ignored;
    digest_ ^= recordDigest(known) ^ recordDigest(merged);
    found->second.info.appliedRevision = merged.appliedRevision;
    return MergeResult::Revision;
}

void MemberTable::put(const MemberInfo &member, TimePoint now)
{
    auto &record = records_[member.id];
    if (!record.info.id.empty())
        digest_ ^= recordDigest(record.info);
    digest_ ^= recordDigest(member);
    record.info = member;
    record.since = now;
}

const MemberTable::Record *MemberTable::find(const InstanceId &id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

bool MemberTable::setListedLeaving(const InstanceId &id, bool leaving)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.listedLeaving == leaving)
        return false;
    found->second.listedLeaving = leaving;
    return true;
}

void MemberTable::removeExpired(TimePoint now, Duration deadRetention, Duration leftRetention)
{
    std::erase_if(records_, [&](const auto &item) {
        const auto &record = item.second;
        if (isReachable(record.info.state))
            return false;
        const auto retention =
            record.info.state == MemberState::Dead ? deadRetention : leftRetention;
        return now - record.since > retention;
    });
}

} // namespace jy
