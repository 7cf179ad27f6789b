#pragma once

// Stand-in for the platform's store: lists, watches, transactions and leases of PROTOCOL.md.

#include "Http.h"

#include <boost/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>

namespace review {

inline std::string encode64(std::string_view bytes)
{
    static constexpr char table[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k)
            word =
                word << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size() ? table[word >> (18 - 6 * k) & 63] : '=';
    }
    return out;
}

inline std::string decodeQuery(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else
            out += text[i];
    }
    return out;
}

class Store
{
public:
    Store()
        : listener_([this](Connection &connection) { serve(connection); })
    {
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(milliseconds(20));
                endLeases();
            }
        }).detach();
    }

    std::string address() const { return listener_.address(); }

    /** Writes as the operator or a server does. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        set(key, encode64(value), 0);
        changed_.notify_all();
    }

    void remove(const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        erase(key);
        changed_.notify_all();
    }

    /** Asked before each call is executed; a call that it does not allow gets no answer. */
    std::function<bool(const Message &)> allows;

private:
    struct Item
    {
        std::string value; // base64 text
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        milliseconds lifetime;
        Clock::time_point end;
    };
    struct Change
    {
        std::uint64_t revision;
        std::string key;
        std::optional<Item> item;
    };

    static boost::json::object toJson(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", item.value},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }

    void set(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        auto &item = items_[key];
        item.value = value;
        item.lease = lease;
        item.revision = ++revision_;
        if (item.created == 0)
            item.created = item.revision;
        changes_.push_back({revision_, key, item});
    }

    void erase(const std::string &key)
    {
        if (items_.erase(key) > 0)
            changes_.push_back({++revision_, key, std::nullopt});
    }

    void endLease(std::uint64_t id)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const auto &key : keys)
            erase(key);
        leases_.erase(id);
        changed_.notify_all();
    }

    void endLeases()
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : leases_) {
            if (lease.end <= Clock::now())
                ended.push_back(id);
        }
        for (const auto id : ended)
            endLease(id);
    }

    void serve(Connection &connection)
    {
        while (const auto request = connection.read(Clock::now() + std::chrono::hours(1), false)) {
            if (allows && !allows(*request))
                return;
            const auto [status, body] = answer(*request);
            if (!connection.write(response(status, "Content-Type: application/json\r\n",
                                           boost::json::serialize(body))))
                return;
        }
    }

    std::pair<int, boost::json::object> answer(const Message &request)
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        std::map<std::string, std::string> query;
        for (auto at = target.find('?'); at != std::string::npos;) {
            const auto end = target.find('&', at + 1);
            const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const auto equals = pair.find('=');
            query[pair.substr(0, equals)] = decodeQuery(pair.substr(equals + 1));
            at = end;
        }
        std::unique_lock lock(mutex_);
        if (path == "/jacinthyoke/kv-range")
            return {200, list(query["prefix"], query["after"])};
        if (path == "/jacinthyoke/kv-watch")
            return {200, watch(lock, query)};
        if (path == "/jacinthyoke/kv-txn")
            return commit(boost::json::parse(request.body).as_object());
        if (path == "/jacinthyoke/kv-lease") {
            const auto ttl =
                boost::json::parse(request.body).at("ttl_ms").to_number<std::int64_t>();
            leases_[++lastLease_] = {milliseconds(ttl), Clock::now() + milliseconds(ttl)};
            return {200, {{"lease", lastLease_}, {"ttl_ms", ttl}}};
        }
        const auto id = std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
        const auto lease = leases_.find(id);
        if (lease == leases_.end())
            return {404, {}};
        if (path.starts_with("/jacinthyoke/kv-keep/")) {
            lease->second.end = Clock::now() + lease->second.lifetime;
            return {200, {{"ttl_ms", lease->second.lifetime.count()}}};
        }
        endLease(id);
        return {200, {}};
    }

    boost::json::object list(const std::string &prefix, const std::string &after) const
    {
        boost::json::array items;
        for (const auto &[key, item] : items_) {
            if (key.starts_with(prefix) && key > after)
                items.push_back(toJson(key, item));
        }
        return {{"items", std::move(items)}, {"truncated", false}, {"as_of", revision_}};
    }

    boost::json::object watch(std::unique_lock<std::mutex> &lock,
                              std::map<std::string, std::string> &query)
    {
        const auto after = std::stoull(query["after"]);
        const auto until = Clock::now() + milliseconds(std::stoll(query["wait_ms"]));
        boost::json::array events;
        while (true) {
            for (const auto &change : changes_) {
                if (change.revision <= after || !change.key.starts_with(query["prefix"]))
                    continue;
                if (change.item)
                    events.push_back(toJson(change.key, *change.item));
                else
                    events.push_back(boost::json::object{
                        {"key", change.key}, {"revision", change.revision}, {"tombstone", true}});
            }
            if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout)
                return {{"events", std::move(events)}, {"as_of", revision_}};
        }
    }

    std::pair<int, boost::json::object> commit(const boost::json::object &transaction)
    {
        boost::json::array conflicts;
        for (const auto &entry : transaction.at("expected_revision").as_array()) {
            const std::string key(entry.at("key").as_string());
            const auto found = items_.find(key);
            const auto revision = found == items_.end() ? 0 : found->second.revision;
            if (revision != entry.at("revision").to_number<std::uint64_t>())
                conflicts.push_back(found == items_.end() ? boost::json::object{{"key", key}}
                                                          : toJson(key, found->second));
        }
        if (!conflicts.empty())
            return {412, {{"items", std::move(conflicts)}}};
        const auto leaseOf = [](const boost::json::object &write) -> std::uint64_t {
            const auto *lease = write.if_contains("lease");
            return lease ? lease->to_number<std::uint64_t>() : 0;
        };
        for (const auto &entry : transaction.at("writes").as_array()) {
            const auto lease = leaseOf(entry.as_object());
            if (lease != 0 && !leases_.contains(lease))
                return {404, {}};
        }
        for (const auto &entry : transaction.at("writes").as_array())
            set(std::string(entry.at("key").as_string()),
                std::string(entry.at("value").as_string()), leaseOf(entry.as_object()));
        for (const auto &key : transaction.at("deletes").as_array())
            erase(std::string(key.as_string()));
        changed_.notify_all();
        return {200, {{"revision", revision_}}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::deque<Change> changes_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLease_ = 7000;
    Listener listener_;
};

} // namespace review
