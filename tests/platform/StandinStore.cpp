#include "StandinStore.h"

#include "platform/JsonReader.h"
#include "platform/WireNames.h"

#include <absl/strings/escaping.h>
#include <boost/json/serialize.hpp>

#include <mutex>

namespace jy::platform::test {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds expiryPeriod{50};

std::string parameter(const HttpRequest &request, std::string_view name)
{
    return request.queryParameter(name).value_or("");
}

std::uint64_t idAfterPrefix(std::string_view path, std::string_view prefix)
{
    return std::stoull(std::string(path.substr(prefix.size())));
}

} // namespace

StandinStore::StandinStore(EventLoop &loop)
    : server_(HttpServer::create(loop, {}, [this](const auto &request, auto &responder) {
                  handle(request, responder);
              }).value())
{
    EventLoop::spawn([this, stopped = stopped_] {
        while (!*stopped) {
            expireLeases();
            EventLoop::sleepFor(expiryPeriod);
        }
    });
}

StandinStore::~StandinStore()
{
    *stopped_ = true;
    server_->stop();
}

void StandinStore::put(const std::string &key, const std::string &value)
{
    written_[key] = value;
    write(key, {value, 0, 0}, false);
}

void StandinStore::remove(const std::string &key)
{
    written_.erase(key);
    write(key, {}, true);
}

void StandinStore::setDown(bool down, bool leasesPause)
{
    down_ = down;
    leasesPause_ = leasesPause;
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

void StandinStore::forgetHistory()
{
    state_.history.clear();
    state_.historyStart = ++state_.revision;
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

void StandinStore::saveCopy()
{
    copy_ = state_;
}

void StandinStore::restore()
{
    state_ = copy_;
    ++era_;
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

void StandinStore::writeAgain()
{
    std::vector<std::string> obsolete;
    for (const auto &[key, item] : state_.items) {
        const bool theirs = key.starts_with("op/") || key.starts_with(wire::serverKeys);
        if (theirs && !written_.contains(key))
            obsolete.push_back(key);
    }
    for (const auto &key : obsolete)
        write(key, {}, true);
    for (const auto &[key, value] : written_) {
        const auto found = state_.items.find(key);
        if (found == state_.items.end() || found->second.value != value)
            write(key, {value, 0, 0}, false);
    }
}

std::size_t StandinStore::count(const std::string &prefix) const
{
    std::size_t found = 0;
    for (const auto &[key, item] : state_.items)
        found += key.starts_with(prefix) ? 1 : 0;
    return found;
}

std::uint64_t StandinStore::takeCalls()
{
    return std::exchange(calls_, 0);
}

void StandinStore::handle(const HttpRequest &request, HttpResponder &responder)
{
    ++calls_;
    const auto path = request.path();
    if (down_)
        send(responder, 503);
    else if (path == wire::rangePath)
        range(request, responder);
    else if (path == wire::watchPath)
        watch(request, responder);
    else if (path == wire::transactionPath)
        transaction(request, responder);
    else
        lease(request, responder);
}

void StandinStore::send(HttpResponder &responder, int status, const std::string &body) const
{
    responder.send(status, {{std::string(wire::storeEra), std::to_string(era_)}}, body);
}

void StandinStore::sendJson(HttpResponder &responder, const boost::json::object &body) const
{
    responder.send(
        200,
        {{"Content-Type", "application/json"}, {std::string(wire::storeEra), std::to_string(era_)}},
        boost::json::serialize(body));
}

void StandinStore::range(const HttpRequest &request, HttpResponder &responder)
{
    boost::json::array items;
    const auto after = parameter(request, "after");
    for (const auto &[key, item] : state_.items) {
        if (key.starts_with(parameter(request, "prefix")) && key > after)
            items.push_back(boost::json::object{{"key", key},
                                                {"value", absl::Base64Escape(item.value)},
                                                {"revision", item.revision},
                                                {"lease", item.lease}});
    }
    sendJson(responder,
             {{"items", std::move(items)}, {"truncated", false}, {"as_of", state_.revision}});
}

bool StandinStore::hasHistory(std::uint64_t after) const
{
    return after >= state_.historyStart && after <= state_.revision;
}

void StandinStore::watch(const HttpRequest &request, HttpResponder &responder)
{
    const auto after = std::stoull(parameter(request, "after"));
    const auto deadline = Clock::now() + milliseconds(std::stoll(parameter(request, "wait_ms")));
    {
        std::unique_lock lock(mutex_);
        changed_.wait_until(lock, deadline,
                            [&] { return down_ || !hasHistory(after) || state_.revision > after; });
    }
    if (down_) {
        send(responder, 503);
        return;
    }
    if (!hasHistory(after)) {
        send(responder, 410);
        return;
    }
    boost::json::array events;
    for (const auto &change : state_.history) {
        if (change.item.revision <= after)
            continue;
        boost::json::object event{{"key", change.key}, {"revision", change.item.revision}};
        if (change.removed)
            event["tombstone"] = true;
        else
            event["value"] = absl::Base64Escape(change.item.value);
        events.push_back(std::move(event));
    }
    sendJson(responder, {{"events", std::move(events)}, {"as_of", state_.revision}});
}

void StandinStore::transaction(const HttpRequest &request, HttpResponder &responder)
{
    const auto body = parseObject(request.body);
    if (!body) {
        send(responder, 400);
        return;
    }
    for (const auto &entry : body->at("expected_revision").as_array()) {
        const auto found = state_.items.find(std::string(entry.at("key").as_string()));
        const auto revision = found == state_.items.end() ? 0 : found->second.revision;
        if (revision != entry.at("revision").to_number<std::uint64_t>()) {
            send(responder, 412, R"({"items":[]})");
            return;
        }
    }
    for (const auto &entry : body->at("writes").as_array()) {
        Item item;
        absl::Base64Unescape(std::string(entry.at("value").as_string()), &item.value);
        if (const auto *id = entry.as_object().if_contains("lease"))
            item.lease = id->to_number<std::uint64_t>();
        if (item.lease != 0 && !state_.leases.contains(item.lease)) {
            send(responder, 404);
            return;
        }
        const std::string key(entry.at("key").as_string());
        if (rewrite)
            item.value = rewrite(key, std::move(item.value));
        write(key, std::move(item), false);
    }
    for (const auto &entry : body->at("deletes").as_array())
        write(std::string(entry.as_string()), {}, true);
    sendJson(responder, {{"revision", state_.revision}});
}

void StandinStore::lease(const HttpRequest &request, HttpResponder &responder)
{
    const auto path = request.path();
    if (path == wire::leasePath) {
        const auto body = parseObject(request.body);
        const milliseconds lifetime(body ? body->at("ttl_ms").to_number<int>() : 0);
        state_.leases[++state_.nextLease] = {lifetime, Clock::now() + lifetime};
        sendJson(responder, {{"lease", state_.nextLease}, {"ttl_ms", lifetime.count()}});
        return;
    }
    const bool keep = path.starts_with(wire::keepPath);
    const auto id = idAfterPrefix(path, keep ? wire::keepPath : wire::leaseEndPath);
    const auto found = state_.leases.find(id);
    if (found == state_.leases.end()) {
        send(responder, 404);
        return;
    }
    if (keep)
        found->second.ends = Clock::now() + found->second.lifetime;
    else
        endLease(id);
    sendJson(responder, {});
}

void StandinStore::endLease(std::uint64_t id)
{
    state_.leases.erase(id);
    std::vector<std::string> keys;
    for (const auto &[key, item] : state_.items) {
        if (item.lease == id)
            keys.push_back(key);
    }
    for (const auto &key : keys)
        write(key, {}, true);
}

void StandinStore::expireLeases()
{
    const auto now = Clock::now();
    std::vector<std::uint64_t> ended;
    for (auto &[id, lease] : state_.leases) {
        if (down_ && leasesPause_)
            lease.ends += expiryPeriod;
        else if (lease.ends <= now)
            ended.push_back(id);
    }
    for (const auto id : ended)
        endLease(id);
}

void StandinStore::write(const std::string &key, Item item, bool removed)
{
    item.revision = ++state_.revision;
    state_.history.push_back({key, item, removed});
    if (removed)
        state_.items.erase(key);
    else
        state_.items[key] = std::move(item);
    const std::lock_guard lock(mutex_);
    changed_.notify_all();
}

} // namespace jy::platform::test
