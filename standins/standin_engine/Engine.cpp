#include "Engine.h"

#include "Generation.h"

#include "common/ReplyText.h"

#include <algorithm>

namespace jy::standins {

namespace {

using boost::json::array;
using boost::json::object;

constexpr std::size_t keptGenerations = 256;
constexpr std::size_t knownRequests = 100000;
constexpr std::size_t firstTokenSamples = 32;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

int priorityOf(const HttpRequest &request)
{
    const std::string_view priority = request.headers.value("X-Priority", "normal");
    return priority == "high" ? 2 : priority == "low" ? 0 : 1;
}

} // namespace

Engine::Engine(std::string id, std::string model, std::string version, const EngineKnobs &defaults)
    : knobs(defaults)
    , id_(std::move(id))
    , model_(std::move(model))
    , version_(std::move(version))
{
    restart();
}

void Engine::restart()
{
    startIdentity_ = id_ + '@' + std::to_string(unixMs());
    makeCold();
}

void Engine::makeCold()
{
    cache_.clear();
    warmSuccesses_ = 0;
    cold_ = true;
}

bool Engine::bearsOneMore()
{
    if (!cold_)
        return true;
    return slots_.running() + slots_.waiting() < knobs.coldLimit + warmSuccesses_;
}

bool Engine::turnedBad(const Generation &generation)
{
    const BadVersion &bad = knobs.bad;
    if (bad.version != generation.version || bad.version.empty())
        return false;
    const TimePoint first = firstUse_.try_emplace(generation.version, now()).first->second;
    if (now() - first < bad.after || slots_.running() < bad.minRunning)
        return false;
    if (!bad.route.empty() && bad.route != (generation.stream ? "stream" : "json"))
        return false;
    return std::uniform_real_distribution<>(0, 1)(random_) < bad.share;
}

void Engine::chat(const HttpRequest &request, HttpResponder &responder)
{
    const std::string requestId(request.headers.value("X-Request-Id"));
    if (const auto last = request.headers.find("Last-Event-ID")) {
        resume(requestId, std::stoi(std::string(*last)), responder);
        return;
    }
    const object body = bodyObject(request);
    const array &messages = body.at("messages").as_array();
    auto generation = std::make_shared<Generation>();
    generation->id = "chatcmpl-" + std::to_string(nextGeneration_++);
    generation->requestId = requestId;
    generation->chat = request.headers.value("X-Chat-Id");
    generation->prompt = messages.back().as_object().at("content").as_string();
    generation->version = version_;
    generation->prefixes = PrefixCache::prefixesOf(messages);
    generation->tokens = 16;
    generation->priority = priorityOf(request);
    readField(body, "max_tokens", generation->tokens);
    readField(body, "stream", generation->stream);

    ++started_;
    ++startedByVersion_[version_];
    lastStartUnixMs_ = unixMs();
    if (runs_.size() < knownRequests)
        ++runs_[generation->requestId];
    if (!bearsOneMore()) {
        ++coldOverloads_;
        sendJson(responder,
                 object{{"error", object{{"message", "out of memory"}, {"type", "server_error"}}}},
                 500);
        return;
    }
    generations_.push_back(generation);
    if (generations_.size() > keptGenerations)
        generations_.pop_front();
    generate(*generation, responder);
}

void Engine::resume(const std::string &requestId, int lastEvent, HttpResponder &responder)
{
    const auto known = std::find_if(generations_.rbegin(), generations_.rend(),
                                    [&](const auto &g) { return g->requestId == requestId; });
    if (!knobs.supportsResume || known == generations_.rend() || (*known)->ended) {
        sendJson(responder, object{{"error", object{{"message", "stream cannot be resumed"}}}},
                 410);
        return;
    }
    ++resumed_;
    const auto generation = *known;
    generation->resumedFrom = lastEvent;
    generate(*generation, responder);
}

void Engine::cancel(const std::string &requestId, HttpResponder &responder)
{
    bool found = false;
    for (const auto &generation : generations_) {
        if (generation->requestId != requestId || generation->ended)
            continue;
        found = true;
        generation->ended = true;
        ++cancelled_;
    }
    responder.send(found ? 204 : 404, {}, "");
}

void Engine::generate(Generation &generation, HttpResponder &responder)
{
    if (!slots_.acquire(knobs.slots, generation.priority, responder)) {
        finish(generation, false);
        return;
    }
    struct Place
    {
        SlotQueue &slots;
        ~Place() { slots.release(); }
    } const place{slots_};
    maxRunning_ = std::max(maxRunning_, slots_.running());

    generation.cached = cache_.cachedCount(generation.prefixes);
    cachedPrefixes_ += generation.cached;
    allPrefixes_ += generation.prefixes.size();
    const double missing = 1.0
        - static_cast<double>(generation.cached) / static_cast<double>(generation.prefixes.size());
    auto firstToken = std::chrono::duration_cast<std::chrono::milliseconds>(
        knobs.hitTime + (knobs.missTime - knobs.hitTime) * missing);
    const bool bad = turnedBad(generation);
    if (bad && knobs.bad.mode == "slow")
        firstToken = std::chrono::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(firstToken.count()) * knobs.bad.slowFactor));
    EventLoop::sleepFor(firstToken);
    firstTokens_.push_back(static_cast<double>(firstToken.count()));
    if (firstTokens_.size() > firstTokenSamples)
        firstTokens_.pop_front();
    if (bad && knobs.bad.mode == "fail") {
        generation.ended = true;
        sendJson(responder, object{{"error", object{{"message", "internal error"}}}}, 500);
        return;
    }
    cache_.eventLoss = knobs.cacheEventLoss;
    cache_.store(generation.chat, generation.prefixes, knobs.cacheEntries);
    generation.stream ? sendStream(generation, responder) : sendWhole(generation, responder);
}

object Engine::usage(const Generation &generation) const
{
    return object{{"prompt_tokens", generation.prefixes.size()},
                  {"completion_tokens", generation.tokens},
                  {"prompt_tokens_details", object{{"cached_tokens", generation.cached}}}};
}

object Engine::chunk(const Generation &generation, const std::string &content) const
{
    return object{
        {"id", generation.id},
        {"object", "chat.completion.chunk"},
        {"model", model_},
        {"system_fingerprint", id_ + '/' + generation.version},
        {"choices",
         array{object{
             {"index", 0}, {"delta", object{{"content", content}}}, {"finish_reason", nullptr}}}}};
}

void Engine::sendStream(Generation &generation, HttpResponder &responder)
{
    HttpHeaders headers{{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
    headers.set("X-Cache-Hit", generation.cached > 0 ? "true" : "false");
    const bool resumed = generation.resumedFrom >= 0;
    if (resumed)
        headers.set("X-Resumed-From", std::to_string(generation.resumedFrom));
    responder.startStream(200, headers);
    const auto send = [&](int number, const std::string &data) {
        const std::string id = knobs.supportsResume ? std::to_string(number) : std::string();
        return responder.write(formatEvent({id, "", data}));
    };
    const int first = resumed ? generation.resumedFrom : 0;
    for (int i = first; i < generation.tokens; ++i) {
        if (i > first)
            EventLoop::sleepFor(knobs.tokenInterval);
        const bool breaks = knobs.breakStreamAfter > 0 && !resumed && i >= knobs.breakStreamAfter;
        if (breaks || generation.ended || responder.callerGone()
            || !send(i + 1, serialize(chunk(generation, replyPart(generation.prompt, i))))) {
            finish(generation, false);
            return;
        }
    }
    object last = chunk(generation, "");
    last["choices"].as_array()[0].as_object()["finish_reason"] = "stop";
    last["usage"] = usage(generation);
    const int count = generation.tokens;
    const bool sent = (first > count || send(count + 1, serialize(last)))
        && send(count + 2, "[DONE]") && responder.endStream();
    finish(generation, sent);
}

void Engine::sendWhole(const Generation &generation, HttpResponder &responder)
{
    std::string content;
    for (int i = 0; i < generation.tokens; ++i) {
        if (i > 0)
            EventLoop::sleepFor(knobs.tokenInterval);
        if (generation.ended || responder.callerGone()) {
            finish(generation, false);
            return;
        }
        content += replyPart(generation.prompt, i);
    }
    const object message{{"role", "assistant"}, {"content", content}};
    const bool sent = sendJson(
        responder,
        object{{"id", generation.id},
               {"object", "chat.completion"},
               {"model", model_},
               {"system_fingerprint", id_ + '/' + generation.version},
               {"choices",
                array{object{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
               {"usage", usage(generation)}});
    finish(generation, sent);
}

void Engine::finish(const Generation &generation, bool complete)
{
    if (!complete) {
        cancelled_ += generation.ended ? 0 : 1;
        return;
    }
    ++completed_;
    if (cold_ && ++warmSuccesses_ >= knobs.warmAfter)
        cold_ = false;
}

object Engine::counts() const
{
    int repeated = 0;
    for (const auto &[id, count] : runs_)
        repeated += count > 1 ? 1 : 0;
    return object{{"id", id_},
                  {"version", version_},
                  {"running", slots_.running()},
                  {"waiting", slots_.waiting()},
                  {"started", started_},
                  {"started_by_version", boost::json::value_from(startedByVersion_)},
                  {"completed", completed_},
                  {"cancelled", cancelled_},
                  {"resumed", resumed_},
                  {"repeated_requests", repeated},
                  {"cold", cold_},
                  {"cold_overloads", coldOverloads_},
                  {"orders", orders_},
                  {"stale_orders", staleOrders_},
                  {"max_running", maxRunning_},
                  {"last_start_unix_ms", lastStartUnixMs_},
                  {"cached_prefixes", cachedPrefixes_},
                  {"prefixes", allPrefixes_}};
}

} // namespace jy::standins
