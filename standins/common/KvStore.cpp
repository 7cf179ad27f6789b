#include "common/KvStore.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace jy::standins {

namespace {

bool matches(const std::string &candidate, const std::string &key, bool recurse)
{
    return recurse ? candidate.starts_with(key) : candidate == key;
}

} // namespace

const KvEntry *KvStore::find(const std::string &key) const
{
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
}

std::vector<KvEntry> KvStore::list(const std::string &prefix) const
{
    std::vector<KvEntry> found;
    for (auto it = entries_.lower_bound(prefix);
         it != entries_.end() && it->first.starts_with(prefix); ++it)
        found.push_back(it->second);
    return found;
}

std::uint64_t KvStore::indexOf(const std::string &key, bool recurse) const
{
    std::uint64_t latest = 1;
    for (auto it = entries_.lower_bound(key);
         it != entries_.end() && matches(it->first, key, recurse); ++it)
        latest = std::max(latest, it->second.modifyIndex);
    for (auto it = removals_.lower_bound(key);
         it != removals_.end() && matches(it->first, key, recurse); ++it)
        latest = std::max(latest, it->second);
    return latest;
}

bool KvStore::put(const std::string &key, std::string value, const KvCondition &condition, Time now)
{
    const KvEntry *existing = find(key);
    const std::string holder = existing != nullptr ? existing->session : std::string();
    if (condition.cas && *condition.cas != (existing != nullptr ? existing->modifyIndex : 0))
        return false;
    if (!condition.acquire.empty()) {
        if (!sessions_.contains(condition.acquire))
            return false;
        if (!holder.empty() && holder != condition.acquire)
            return false;
        const auto delayed = lockDelays_.find(key);
        if (holder.empty() && delayed != lockDelays_.end() && now < delayed->second)
            return false;
    }
    if (!condition.release.empty() && holder != condition.release)
        return false;

    KvEntry &entry = entries_[key];
    entry.key = key;
    entry.value = std::move(value);
    entry.modifyIndex = ++index_;
    if (entry.createIndex == 0)
        entry.createIndex = index_;
    if (!condition.acquire.empty() && holder.empty()) {
        entry.session = condition.acquire;
        ++entry.lockIndex;
    }
    if (!condition.release.empty())
        entry.session.clear();
    return true;
}

bool KvStore::remove(const std::string &key, bool recurse, std::optional<std::uint64_t> cas)
{
    const KvEntry *existing = find(key);
    if (cas && !recurse && *cas != (existing != nullptr ? existing->modifyIndex : 0))
        return false;
    for (auto it = entries_.lower_bound(key);
         it != entries_.end() && matches(it->first, key, recurse);) {
        removals_[it->first] = ++index_;
        it = entries_.erase(it);
    }
    return true;
}

std::string KvStore::createSession(Millis ttl, Millis lockDelay, bool removeKeys, Time now)
{
    std::array<char, 40> id{};
    std::snprintf(id.data(), id.size(), "00000000-0000-4000-8000-%012llu",
                  static_cast<unsigned long long>(nextSession_++));
    sessions_[id.data()] = {ttl, lockDelay, removeKeys, now + ttl};
    return id.data();
}

bool KvStore::renewSession(const std::string &id, Time now)
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
        return false;
    it->second.expires = now + it->second.ttl;
    return true;
}

void KvStore::endSession(const std::string &id, Time now)
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
        return;
    const Session session = it->second;
    sessions_.erase(it);
    std::vector<std::string> held;
    for (const auto &[key, entry] : entries_) {
        if (entry.session == id)
            held.push_back(key);
    }
    for (const std::string &key : held) {
        lockDelays_[key] = now + session.lockDelay;
        if (session.removeKeys) {
            remove(key, false, std::nullopt);
            continue;
        }
        entries_[key].session.clear();
        entries_[key].modifyIndex = ++index_;
    }
}

bool KvStore::expireSessions(Time now)
{
    std::vector<std::string> expired;
    for (const auto &[id, session] : sessions_) {
        if (session.ttl.count() > 0 && session.expires <= now)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        endSession(id, now);
    return !expired.empty();
}

} // namespace jy::standins
