#include "RouterClient.h"

#include "jy_base/errors/ErrorTable.h"

#include <algorithm>
#include <stdexcept>

namespace jy::standins {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds lookupTimeout{1000};
constexpr milliseconds bodyTimeout{10000};
constexpr milliseconds shortestPause{20};
constexpr int maxRedirects = 5;

struct Refusal
{
    std::string kind;
    std::string effect;
    milliseconds retryAfter{0};
};

Refusal readRefusal(const CallResponse &response)
{
    Refusal refusal;
    if (response.failed) {
        const ErrorAnswer &answer = answerFor(response.failure);
        refusal.kind = answer.name;
        refusal.effect = toString(answer.effect);
        return refusal;
    }
    boost::system::error_code error;
    const auto body = boost::json::parse(response.body, error);
    const auto *details =
        !error && body.is_object() ? body.as_object().if_contains("error") : nullptr;
    if (details == nullptr || !details->is_object()) {
        refusal.kind = "status_" + std::to_string(response.status);
        refusal.effect = "unknown";
        return refusal;
    }
    const auto text = [&](const char *name) {
        const auto *value = details->as_object().if_contains(name);
        return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
    };
    refusal.kind = text("kind");
    refusal.effect = text("effect");
    if (const auto *wait = details->as_object().if_contains("retry_after_ms"))
        refusal.retryAfter = milliseconds(wait->to_number<std::int64_t>());
    return refusal;
}

} // namespace

Endpoint parseEndpoint(std::string_view text)
{
    if (const auto scheme = text.find("://"); scheme != std::string_view::npos)
        text.remove_prefix(scheme + 3);
    text = text.substr(0, text.find('/'));
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw std::invalid_argument("not an address: " + std::string(text));
    return {std::string(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(std::string(text.substr(colon + 1))))};
}

std::vector<Endpoint> RouterClient::addressesFor(const std::string &workspace,
                                                 const std::string &chat)
{
    if (settings_.direct)
        return settings_.routers;
    Lookup &lookup = lookups_[chat];
    const TimePoint now = std::chrono::steady_clock::now();
    if (now < lookup.expires && !lookup.addresses.empty())
        return lookup.addresses;
    HttpRequest request;
    request.target = "/v1/lookup?workspace=" + percentEncode(workspace)
        + "&model=" + percentEncode(settings_.model) + "&chat=" + percentEncode(chat);
    std::vector<Endpoint> routers = settings_.routers;
    std::shuffle(routers.begin(), routers.end(), random_);
    for (const Endpoint &router : routers) {
        const auto response = http_.request(router, request, lookupTimeout);
        if (!response || response.value().status != 200)
            continue;
        const auto body = boost::json::parse(response.value().body).as_object();
        lookup.addresses.clear();
        for (const auto &address : body.at("addresses").as_array())
            lookup.addresses.push_back(parseEndpoint(address.as_string()));
        lookup.expires = now + milliseconds(body.at("lifetime_ms").to_number<std::int64_t>());
        return lookup.addresses;
    }
    // Addresses past their lifetime are better than none.
    return lookup.addresses;
}

CallResponse RouterClient::attempt(const Endpoint &router, const HttpRequest &request,
                                   const BodySink &sink, TimePoint deadline)
{
    CallResponse result;
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
    auto stream = http_.open(router, request, std::max(left, shortestPause));
    if (!stream) {
        result.failed = true;
        result.failure = stream.error().kind;
        return result;
    }
    result.status = stream.value()->status();
    result.headers = stream.value()->headers();
    while (true) {
        auto part = stream.value()->readSome(bodyTimeout);
        if (!part) {
            result.failed = true;
            result.failure = part.error().kind;
            return result;
        }
        if (part.value().empty())
            return result;
        if (result.status == 200 && sink) {
            if (!sink(part.value()))
                return result;
        } else {
            result.body += part.value();
        }
    }
}

CallResponse RouterClient::call(const std::string &workspace, const std::string &chat,
                                const HttpRequest &request, bool repeatable,
                                const std::function<void()> &begin, const BodySink &sink,
                                CallRecord &record)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + settings_.deadline;
    std::vector<Endpoint> addresses = addressesFor(workspace, chat);
    CallResponse response;
    std::size_t next = 0;
    while (record.attempts < settings_.maxAttempts && std::chrono::steady_clock::now() < deadline) {
        if (addresses.empty()) {
            EventLoop::sleepFor(milliseconds(100));
            addresses = addressesFor(workspace, chat);
            ++record.attempts;
            continue;
        }
        const Endpoint router = addresses[next % addresses.size()];
        ++record.attempts;
        record.end = CallEnd::Refused;
        record.errorKind.clear();
        begin();
        response = attempt(router, request, sink, deadline);
        const bool started = response.status == 200 && response.failed;
        if (!response.failed && response.status < 300) {
            record.end = CallEnd::Complete;
            return response;
        }
        if (response.status == 307 && record.redirects < maxRedirects) {
            ++record.redirects;
            --record.attempts;
            addresses = {parseEndpoint(response.headers.value("Location"))};
            next = 0;
            continue;
        }
        const Refusal refusal = readRefusal(response);
        record.errorKind = refusal.kind;
        record.effect = refusal.effect;
        if (started) {
            record.end = CallEnd::Truncated;
            return response;
        }
        const auto kind = errorKindFromName(refusal.kind);
        if (kind && answerFor(*kind).advice == RetryAdvice::Never)
            return response;
        if (refusal.effect != "not_run" && !repeatable)
            return response;
        // The cached lookup may name a router that has gone.
        if (response.failed)
            lookups_[chat].expires = {};
        if (++next >= addresses.size())
            addresses = addressesFor(workspace, chat);
        if (refusal.retryAfter.count() > 0)
            EventLoop::sleepFor(refusal.retryAfter);
        else if (next > 1)
            EventLoop::sleepFor(shortestPause);
    }
    if (record.attempts == 0 || addresses.empty())
        record.end = CallEnd::NoRouter;
    return response;
}

} // namespace jy::standins
