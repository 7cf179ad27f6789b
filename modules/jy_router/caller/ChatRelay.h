#pragma once

#include "jy_router/caller/AttemptLoop.h"

#include <string>

namespace jy {

/** Serves one chat completions request. */
class ChatRelay
{
public:
    ChatRelay(const CallerDependencies &dependencies, const CallerSettings &settings,
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
    Attempt complete(const BackendServer &server);
    Attempt stream(const BackendServer &server);
    void relay(ChatStream &stream, std::optional<ServerSentEvent> event, Attempt &attempt);
    void endWithError(const Error &error);

    const CallerDependencies &dependencies_;
    AttemptLoop loop_;
    CallContext context_;
    HttpResponder &responder_;
    ChatCall call_;
};

} // namespace jy
