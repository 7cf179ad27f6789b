#include "Engine.h"

#include "common/Samples.h"

#include <algorithm>

namespace jy::standins {

namespace {

using boost::json::array;
using boost::json::object;

constexpr std::size_t keptSamples = 200;
constexpr std::uint64_t bytesPerPrefix = 1 << 20;

std::string textOf(const object &json, const char *name)
{
    return boost::json::value_to<std::string>(json.at(name));
}

} // namespace

void Engine::handle(const HttpRequest &request, HttpResponder &responder)
{
    constexpr std::string_view requests = "/v1/requests/";
    const std::string_view path = request.path();
    if (path == "/v1/chat/completions")
        chat(request, responder);
    else if (path == "/v1/load")
        loadReport(responder);
    else if (path == "/v1/cache-events")
        cacheEvents(request, responder);
    else if (path == "/v1/orders")
        order(request, responder);
    else if (path.starts_with(requests))
        cancel(percentDecode(path.substr(requests.size())), responder);
    else if (path == "/v1/kv/export")
        exportKv(request, responder);
    else if (path == "/v1/kv/import")
        importKv(request, responder);
    else if (path == "/healthz")
        responder.send(200, {}, "");
    else
        responder.send(404, {}, "no such path");
}

void Engine::sampleLoad()
{
    samples_.push_back({std::chrono::steady_clock::now(), slots_.running(), slots_.waiting()});
    if (samples_.size() > keptSamples)
        samples_.pop_front();
}

void Engine::loadReport(HttpResponder &responder) const
{
    const TimePoint latest = std::chrono::steady_clock::now() - knobs.loadLag;
    LoadSample shown;
    for (const LoadSample &sample : samples_) {
        if (sample.time <= latest)
            shown = sample;
    }
    Samples recent;
    for (const double firstToken : firstTokens_)
        recent.add(firstToken);
    array loaded;
    const auto add = [&](const std::string &version, bool ready) {
        if (!version.empty())
            loaded.push_back(object{{"model", model_}, {"version", version}, {"ready", ready}});
    };
    add(version_, true);
    add(loading_, false);
    const double hits = allPrefixes_ == 0
        ? 0.0
        : static_cast<double>(cachedPrefixes_) / static_cast<double>(allPrefixes_);
    sendJson(responder,
             object{{"start_identity", startIdentity_},
                    {"in_flight", shown.running},
                    {"queued", shown.waiting},
                    {"cache_hit_rate", hits},
                    {"first_token_ms", recent.quantile(0.5)},
                    {"loaded", loaded}});
}

void Engine::cacheEvents(const HttpRequest &request, HttpResponder &responder) const
{
    const std::uint64_t since = std::stoull(request.queryParameter("since").value_or("0"));
    array events;
    for (const CacheEvent &event : cache_.eventsSince(since)) {
        events.push_back(object{{"sequence", event.sequence},
                                {"type", event.stored ? "stored" : "evicted"},
                                {"chat", event.chat}});
    }
    sendJson(responder,
             object{{"next", cache_.nextSequence()},
                    {"truncated", since < cache_.firstKept()},
                    {"events", events}});
}

void Engine::exportKv(const HttpRequest &request, HttpResponder &responder)
{
    array prefixes;
    const std::string chat = request.method == "GET" ? request.queryParameter("chat").value_or("")
                                                     : textOf(bodyObject(request), "chat");
    for (const std::uint64_t prefix : cache_.prefixesOfChat(chat))
        prefixes.push_back(prefix);
    if (prefixes.empty()) {
        responder.send(404, {}, "chat is not cached");
        return;
    }
    // Only another engine reads the entry itself.
    if (request.method == "GET")
        sendJson(responder, prefixes);
    else
        sendJson(responder, object{{"handle", chat}, {"bytes", prefixes.size() * bytesPerPrefix}});
}

void Engine::importKv(const HttpRequest &request, HttpResponder &responder)
{
    const object body = bodyObject(request);
    const std::string entry = fetch(textOf(body, "source"),
                                    "/v1/kv/export?chat=" + percentEncode(textOf(body, "handle")));
    std::vector<std::uint64_t> prefixes;
    const auto list = boost::json::parse(entry);
    for (const auto &prefix : list.as_array())
        prefixes.push_back(prefix.to_number<std::uint64_t>());
    cache_.store(textOf(body, "chat"), prefixes, knobs.cacheEntries);
    sendJson(responder, object{});
}

void Engine::order(const HttpRequest &request, HttpResponder &responder)
{
    const object body = bodyObject(request);
    const auto token = body.at("fencing_token").to_number<std::uint64_t>();
    ++orders_;
    if (token < highestToken_) {
        ++staleOrders_;
        if (knobs.checkFencing) {
            responder.send(409, {}, "stale fencing token");
            return;
        }
    }
    highestToken_ = std::max(highestToken_, token);
    const std::string version = textOf(body, "version");
    if (textOf(body, "model") != model_) {
        responder.send(422, {}, "this engine runs another model");
        return;
    }
    const bool load = textOf(body, "action") == "load";
    if (load && version != version_ && version != loading_)
        EventLoop::spawn([this, version] { this->load(version); });
    if (!load && version == loading_)
        loading_.clear();
    responder.send(202, {}, "");
}

void Engine::load(const std::string &version)
{
    loading_ = version;
    if (fetchWeights ? !fetchWeights(version) : false) {
        loading_.clear();
        return;
    }
    EventLoop::sleepFor(knobs.loadTime);
    // A later order may have replaced this one meanwhile.
    if (loading_ != version)
        return;
    loading_.clear();
    version_ = version;
    makeCold();
    versionChanged();
}

} // namespace jy::standins
