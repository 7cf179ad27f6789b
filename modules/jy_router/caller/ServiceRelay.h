#pragma once

#include "jy_router/caller/AttemptLoop.h"

#include <string>
#include <string_view>

namespace jy {

/** Name of the service and the target below it. */
struct ServiceTarget
{
    ServiceId service;

    /** Path and query as the service receives them. */
    std::string target;

    /** Decoded path with single slashes; protected calls are recognised by it. */
    std::string path;
};

/**
 * Divides the target `/v1/services/NAME/PATH?QUERY`.
 *
 * @returns BadRequest for paths that a service may read differently than the router, which could
 *          hide a protected call: dot segments, encoded slashes, backslashes, control characters
 */
Result<ServiceTarget> readServiceTarget(std::string_view target);

/** Whether the call must not be repeated. Case is ignored, because some services ignore it. */
bool isProtected(const ServiceSpec &service, std::string_view method, std::string_view path);

/** Serves one call to an ordinary service. */
class ServiceRelay
{
public:
    ServiceRelay(const CallerDependencies &dependencies, const CallerSettings &settings,
                 CallContext context, HttpResponder &responder)
        : dependencies_(dependencies)
        , loop_(dependencies, settings)
        , context_(std::move(context))
        , responder_(responder)
    { }

    /** @returns the error that the caller has not been told of yet. */
    std::optional<Error> run(const HttpRequest &request);

    int attempts() const { return loop_.attempts(); }

private:
    Result<const ServiceSpec *> findService(const DesiredState &state, const ServiceId &id) const;
    Result<HttpResponse> callProtected(HttpRequest &forwarded, const ServiceTarget &target);

    /** @param forwarded gets the time left at each attempt */
    Result<HttpResponse> call(HttpRequest &forwarded, const ServiceId &service, bool isProtected);

    /** The request for the service, without its body. */
    HttpRequest forwarded(const HttpRequest &request, const ServiceTarget &target) const;

    const CallerDependencies &dependencies_;
    AttemptLoop loop_;
    CallContext context_;
    HttpResponder &responder_;

    /** Body of the request that run() serves. */
    std::string_view body_;
};

} // namespace jy
