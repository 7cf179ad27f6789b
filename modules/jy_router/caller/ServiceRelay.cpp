#include "jy_router/caller/ServiceRelay.h"

#include "jy_router/caller/RequestContext.h"
#include "jy_router/protected/ProtectedCallDriver.h"

#include <algorithm>
#include <array>

namespace jy {

using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view servicePrefix = "/v1/services/";

// The body has already been received, and a service that honours a method override would run
// another method than the one that was checked.
constexpr std::array<std::string_view, 4> droppedHeaders = {"Expect", "X-HTTP-Method-Override",
                                                            "X-HTTP-Method", "X-Method-Override"};

bool isDropped(std::string_view name)
{
    return std::ranges::any_of(droppedHeaders, [name](std::string_view dropped) {
        return equalsIgnoringCase(dropped, name);
    });
}

bool isIdempotentMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 5> methods = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    return std::ranges::find(methods, method) != methods.end();
}

bool startsWithIgnoringCase(std::string_view text, std::string_view prefix)
{
    return text.size() >= prefix.size()
        && equalsIgnoringCase(text.substr(0, prefix.size()), prefix);
}

std::string withSingleSlashes(std::string_view path)
{
    std::string out = "/";
    for (const char c : path) {
        if (c != '/' || out.back() != '/')
            out += c;
    }
    return out;
}

bool isUnsafe(std::string_view encoded, std::string_view decoded)
{
    const bool control = std::ranges::any_of(decoded, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7F || c == '\\' || c == '%' || c == ';';
    });
    // An encoded slash changes the number of slashes.
    if (control || std::ranges::count(encoded, '/') != std::ranges::count(decoded, '/'))
        return true;
    std::string_view rest = decoded;
    while (true) {
        const auto segment = rest.substr(0, rest.find('/'));
        if (segment == "." || segment == "..")
            return true;
        if (segment.size() == rest.size())
            return false;
        rest.remove_prefix(segment.size() + 1);
    }
}

} // namespace

Result<ServiceTarget> readServiceTarget(std::string_view target)
{
    if (!target.starts_with(servicePrefix))
        return failure(ErrorKind::UnknownTarget, "not a service path");
    target.remove_prefix(servicePrefix.size());
    const auto question = target.find('?');
    const auto path = target.substr(0, question);
    const auto slash = path.find('/');
    const auto name = path.substr(0, slash);
    const auto below = slash == std::string_view::npos ? std::string_view("/") : path.substr(slash);
    const auto decoded = percentDecode(below);
    if (name.empty() || isUnsafe(below, decoded))
        return failure(ErrorKind::BadRequest, "the service path is ambiguous");
    ServiceTarget out{ServiceId(percentDecode(name)), std::string(below),
                      withSingleSlashes(decoded)};
    if (question != std::string_view::npos)
        out.target += target.substr(question);
    return out;
}

bool isProtected(const ServiceSpec &service, std::string_view method, std::string_view path)
{
    return std::ranges::any_of(service.protectedCalls, [&](const ProtectedCall &call) {
        return equalsIgnoringCase(call.method, method)
            && startsWithIgnoringCase(path, withSingleSlashes(call.pathPrefix));
    });
}

std::optional<Error> ServiceRelay::run(const HttpRequest &request)
{
    const auto target = readServiceTarget(request.target);
    if (!target)
        return target.error();
    const auto state = dependencies_.desiredState();
    const auto service = findService(*state, target.value().service);
    if (!service)
        return service.error();
    auto outgoing = forwarded(request, target.value());
    body_ = request.body;
    const bool once = isProtected(*service.value(), request.method, target.value().path);
    const auto response = once ? callProtected(outgoing, target.value())
                               : call(outgoing, target.value().service, false);
    if (!response)
        return response.error();
    auto headers = response.value().headers;
    headers.set("X-Request-Id", context_.requestId.value());
    if (!responder_.send(response.value().status, headers, response.value().body))
        return Error{ErrorKind::Cancelled, "the caller disconnected"};
    return std::nullopt;
}

Result<const ServiceSpec *> ServiceRelay::findService(const DesiredState &state,
                                                      const ServiceId &id) const
{
    const auto workspace = state.workspaces.find(context_.workspace);
    if (workspace == state.workspaces.end())
        return failure(ErrorKind::UnknownWorkspace, "no workspace " + context_.workspace.value());
    const auto &allowed = workspace->second.services;
    const auto service = state.services.find(id);
    if (service == state.services.end() || std::ranges::find(allowed, id) == allowed.end())
        return failure(ErrorKind::UnknownService,
                       "no service " + id.value() + " in workspace " + context_.workspace.value());
    return &service->second;
}

HttpRequest ServiceRelay::forwarded(const HttpRequest &request, const ServiceTarget &target) const
{
    HttpRequest out{.method = request.method, .target = target.target};
    for (const auto &[name, value] : request.headers) {
        if (!isDropped(name))
            out.headers.add(name, value);
    }
    out.headers.set("X-Request-Id", context_.requestId.value());
    return out;
}

Result<HttpResponse> ServiceRelay::callProtected(HttpRequest &forwarded,
                                                 const ServiceTarget &target)
{
    if (forwarded.headers.count("Idempotency-Key") != 1)
        return failure(ErrorKind::KeyInvalid, "the call needs one Idempotency-Key header");
    const ProtectedCallInput input{
        .service = target.service,
        .key = std::string(forwarded.headers.value("Idempotency-Key")),
        .digest = protectedCallDigest(target.service, forwarded.method, forwarded.target, body_),
        .deadline = context_.deadline};
    return dependencies_.protectedCall(input,
                                       [&] { return call(forwarded, target.service, true); });
}

Result<HttpResponse> ServiceRelay::call(HttpRequest &forwarded, const ServiceId &service,
                                        bool isProtected)
{
    BOOST_OUTCOME_TRY(auto servers, dependencies_.rankServices(context_, service));
    AttemptPlan plan{.context = context_,
                     .route = service.value(),
                     .servers = std::move(servers),
                     .idempotent = !isProtected && isIdempotentMethod(forwarded.method),
                     .cancellation = isProtected ? nullptr : responder_.cancellation()};
    // A protected call goes on when its caller leaves, so that its outcome is recorded. It uses a
    // new connection, because a reused one may be closed by the service while the call is on its
    // way.
    const HttpCallOptions options{
        .freshConnection = isProtected, .cancellation = plan.cancellation, .body = body_};
    std::optional<HttpResponse> response;
    const auto error = loop_.run(plan, [&](const BackendServer &server) {
        const auto left = timeLeft(context_.deadline, Clock::now());
        forwarded.headers.set("X-Deadline-Ms", std::to_string(left.count()));
        auto result = dependencies_.client->request(server.endpoint, forwarded, left, options);
        Attempt attempt;
        if (!result) {
            attempt.error = result.error();
            return attempt;
        }
        response = std::move(result.value());
        if (response->status >= 500 || response->status == 429)
            attempt.outcome.error = ErrorKind::BackendFailed;
        return attempt;
    });
    if (error)
        return *error;
    return std::move(*response);
}

} // namespace jy
