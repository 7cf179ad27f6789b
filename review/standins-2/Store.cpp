#include "Store.h"

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::size_t pageItems = 500;
constexpr std::chrono::seconds historyTime{20};

// A watch waits for this time at least before it is cut.
constexpr milliseconds shortestWait{50};
const std::string alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j <= text.size() ? alphabet[bits >> (18 - 6 * j) & 63] : '=';
    }
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        const auto digit = alphabet.find(c);
        if (digit == std::string::npos)
            break;
        bits = bits << 6 | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 255);
        }
    }
    return out;
}

Response answer(const json::object &body)
{
    return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

Response status(int code)
{
    return {code, {{"Content-Type", "application/json"}}, "{}"};
}

json::object describe(const std::string &key, const std::string &value, std::uint64_t revision,
                      std::uint64_t created, std::uint64_t lease)
{
    return {{"key", key},
            {"value", toBase64(value)},
            {"revision", revision},
            {"created", created},
            {"lease", lease}};
}

} // namespace

Store::Store(int links)
{
    for (int link = 0; link < links; ++link)
        servers_.push_back(
            std::make_unique<Server>("127.0.0.1", 0, [this, link](const Request &request, int) {
                return handle(link, request);
            }));
    expirer_ = std::thread([this] { expire(); });
}

Store::~Store()
{
    stopped_ = true;
    changed_.notify_all();
    expirer_.join();
    for (auto &server : servers_)
        server->stop();
}

Clock::time_point Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    write(key, {.value = value}, false);
    return Clock::now();
}

Clock::time_point Store::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    write(key, {}, true);
    return Clock::now();
}

void Store::cutWatches(milliseconds period, int most)
{
    const std::lock_guard lock(mutex_);
    cutPeriod_ = period;
    mostCuts_ = most;
}

std::set<int> Store::takeWatchers()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(watchers_, {});
}

Response Store::handle(int link, const Request &request)
{
    const auto path = request.path();
    if (path == "/jacinthyoke/kv-range")
        return range(request);
    if (path == "/jacinthyoke/kv-watch")
        return watch(link, request);
    if (path == "/jacinthyoke/kv-txn")
        return transaction(request);
    if (path.starts_with("/jacinthyoke/kv-lease") || path.starts_with("/jacinthyoke/kv-keep/"))
        return lease(request);
    if (path != "/jacinthyoke/kv-key")
        return status(404);
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(request.query("key"));
    if (found == items_.end())
        return status(404);
    const auto &item = found->second;
    auto body = describe(found->first, item.value, item.revision, item.created, item.lease);
    body["as_of"] = revision_;
    return answer(body);
}

Response Store::range(const Request &request)
{
    const std::lock_guard lock(mutex_);
    json::array items;
    const auto prefix = request.query("prefix");
    const auto after = request.query("after");
    bool truncated = false;
    for (const auto &[key, item] : items_) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        truncated = items.size() == pageItems;
        if (truncated)
            break;
        items.push_back(describe(key, item.value, item.revision, item.created, item.lease));
    }
    return answer({{"items", items}, {"truncated", truncated}, {"as_of", revision_}});
}

Response Store::watch(int link, const Request &request)
{
    const auto prefix = request.query("prefix");
    const auto after = std::stoull(request.query("after"));
    const auto end = Clock::now() + milliseconds(std::stoll(request.query("wait_ms")));
    std::unique_lock lock(mutex_);
    watchers_.insert(link);
    const bool cuts = cutsOfLink_[link] < mostCuts_;
    const auto cutAt = std::max(Clock::now() + shortestWait, lastCut_[link] + cutPeriod_);
    json::array events;
    const auto ready = [&] {
        if (stopped_ || after < historyStart_)
            return true;
        for (auto change = history_.rbegin(); change != history_.rend(); ++change) {
            if (change->item.revision <= after)
                break;
            if (change->key.starts_with(prefix))
                return true;
        }
        return false;
    };
    const bool changed = changed_.wait_until(lock, cuts ? std::min(end, cutAt) : end, ready);
    const bool cut = cuts && !changed && cutAt <= end;
    if (cut) {
        lastCut_[link] = Clock::now();
        ++cutsOfLink_[link];
        ++cuts_;
    }
    if (stopped_ || cut) {
        Response dropped;
        dropped.drop = true;
        return dropped;
    }
    if (after < historyStart_)
        return status(410);
    for (const auto &change : history_) {
        if (change.item.revision <= after || !change.key.starts_with(prefix))
            continue;
        if (change.removed)
            events.push_back(json::object{
                {"key", change.key}, {"revision", change.item.revision}, {"tombstone", true}});
        else
            events.push_back(describe(change.key, change.item.value, change.item.revision,
                                      change.item.created, change.item.lease));
    }
    return answer({{"events", events}, {"as_of", revision_}});
}

Response Store::transaction(const Request &request)
{
    const auto body = json::parse(request.body).as_object();
    const std::lock_guard lock(mutex_);
    const auto list = [&](const char *name) {
        const auto *found = body.if_contains(name);
        return found && found->is_array() ? found->get_array() : json::array();
    };
    for (const auto &row : list("expected_revision")) {
        const auto found = items_.find(std::string(row.at("key").as_string()));
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").to_number<std::uint64_t>())
            return {412, {{"Content-Type", "application/json"}}, R"({"items":[]})"};
    }
    for (const auto &entry : list("writes")) {
        const auto *lease = entry.as_object().if_contains("lease");
        const auto id = lease ? lease->to_number<std::uint64_t>() : 0;
        if (id != 0 && !leases_.contains(id))
            return status(404);
        const std::string key(entry.at("key").as_string());
        if (key.starts_with("op/") || key.starts_with("servers/"))
            return status(403);
    }
    // All changes of a transaction have one revision.
    for (const auto &entry : list("writes")) {
        const auto *lease = entry.as_object().if_contains("lease");
        write(std::string(entry.at("key").as_string()),
              {.value = fromBase64(std::string(entry.at("value").as_string())),
               .lease = lease ? lease->to_number<std::uint64_t>() : 0},
              false);
    }
    for (const auto &entry : list("deletes"))
        write(std::string(entry.as_string()), {}, true);
    return answer({{"revision", revision_}});
}

Response Store::lease(const Request &request)
{
    const auto path = request.path();
    const std::lock_guard lock(mutex_);
    if (path == "/jacinthyoke/kv-lease") {
        const auto ttl = json::parse(request.body).at("ttl_ms").to_number<std::int64_t>();
        const auto lifetime = std::max(milliseconds(1000), milliseconds(ttl));
        leases_[++nextLease_] = {lifetime, Clock::now() + lifetime};
        return answer({{"lease", nextLease_}, {"ttl_ms", lifetime.count()}});
    }
    const auto id = std::stoull(path.substr(path.rfind('/') + 1));
    const auto found = leases_.find(id);
    if (found == leases_.end())
        return status(404);
    if (path.starts_with("/jacinthyoke/kv-keep/"))
        found->second.ends = Clock::now() + found->second.lifetime;
    else
        endLease(id);
    return answer({});
}

void Store::write(const std::string &key, Item item, bool removed)
{
    const auto now = Clock::now();
    item.revision = ++revision_;
    const auto found = items_.find(key);
    if (removed && found == items_.end())
        return;
    item.created = found == items_.end() ? item.revision : found->second.created;
    history_.push_back({key, item, removed, now});
    while (!history_.empty() && now - history_.front().time > historyTime) {
        historyStart_ = history_.front().item.revision;
        history_.pop_front();
    }
    if (removed)
        items_.erase(found);
    else
        items_[key] = std::move(item);
    changed_.notify_all();
}

void Store::endLease(std::uint64_t id)
{
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : items_) {
        if (item.lease == id)
            keys.push_back(key);
    }
    for (const auto &key : keys)
        write(key, {}, true);
}

void Store::expire()
{
    while (!stopped_) {
        {
            const std::lock_guard lock(mutex_);
            std::vector<std::uint64_t> ended;
            for (const auto &[id, lease] : leases_) {
                if (lease.ends <= Clock::now())
                    ended.push_back(id);
            }
            for (const auto id : ended)
                endLease(id);
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
}

} // namespace review
