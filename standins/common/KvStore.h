#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jy::standins {

/** One entry of the key-value service. Index names follow the Consul HTTP API. */
struct KvEntry
{
    std::string key;
    std::string value;
    std::string session;
    std::uint64_t createIndex = 0;
    std::uint64_t modifyIndex = 0;
    std::uint64_t lockIndex = 0;
};

/** Optional conditions of a write. */
struct KvCondition
{
    /** Compare-and-swap index; zero means that the key must be absent. */
    std::optional<std::uint64_t> cas;
    std::string acquire;
    std::string release;
};

/** Entries and sessions of the key-value service, without I/O. Every change has its own index. */
class KvStore
{
public:
    using Time = std::chrono::steady_clock::time_point;
    using Millis = std::chrono::milliseconds;

    const KvEntry *find(const std::string &key) const;
    std::vector<KvEntry> list(const std::string &prefix) const;

    /** Index of the latest change below a key or prefix, at least 1; removals count. */
    std::uint64_t indexOf(const std::string &key, bool recurse) const;

    /** @returns false when a condition does not hold; nothing is changed then. */
    bool put(const std::string &key, std::string value, const KvCondition &condition, Time now);
    bool remove(const std::string &key, bool recurse, std::optional<std::uint64_t> cas);

    /** Creates a session. When it ends, its keys are released, or removed if @p removeKeys. */
    std::string createSession(Millis ttl, Millis lockDelay, bool removeKeys, Time now);

    /** @returns false when the session does not exist any more. */
    bool renewSession(const std::string &id, Time now);
    void endSession(const std::string &id, Time now);

    /** Ends sessions whose time to live has passed. @returns whether any was ended. */
    bool expireSessions(Time now);

    std::size_t sessionCount() const { return sessions_.size(); }

private:
    struct Session
    {
        Millis ttl;
        Millis lockDelay;
        bool removeKeys;
        Time expires;
    };

    std::map<std::string, KvEntry> entries_;
    std::map<std::string, std::uint64_t> removals_;
    std::map<std::string, Session> sessions_;
    std::map<std::string, Time> lockDelays_;
    std::uint64_t index_ = 1;
    std::uint64_t nextSession_ = 1;
};

} // namespace jy::standins
