#pragma once

#include "jy_router/caller/CallerDependencies.h"

#include <string_view>

namespace jy {

/**
 * The caller interface: lookup, chat completions, service calls, health and metrics.
 *
 * handle() is an HttpHandler; it serves each request in the fiber of its connection.
 * @see section 9 of the design page
 */
class CallerApi
{
public:
    CallerApi(CallerDependencies dependencies, CallerSettings settings)
        : dependencies_(std::move(dependencies))
        , settings_(settings)
    { }

    /** Answers one request. The object must outlive the server that calls this. */
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    bool handleProbe(const HttpRequest &request, HttpResponder &responder);
    void lookup(const HttpRequest &request, HttpResponder &responder);
    void work(const HttpRequest &request, HttpResponder &responder);
    std::optional<Error> dispatch(const HttpRequest &request, const CallContext &context,
                                  HttpResponder &responder, CallRecord &record);
    void redirect(const HttpRequest &request, const CallContext &context, HttpResponder &responder);
    void refuse(HttpResponder &responder, Error error, std::string_view requestId);

    CallerDependencies dependencies_;
    CallerSettings settings_;
};

} // namespace jy
