#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_http/messages/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jy {

/** A part of a prompt that requests may share. */
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;
};

/** What a caller states about its request. */
struct RequestMetadata
{
    RequestId id;

    /** Longest time that the caller waits; nothing when it states none. */
    std::optional<std::chrono::milliseconds> callerTimeout;

    /** Key of a workspace; empty when there is none. */
    std::string credential;

    /** Parts of the prompt in order; empty for plain requests. */
    std::vector<PromptPart> prompt;

    /** Largest number of tokens to generate. */
    std::int64_t outputTokens = 0;

    /** The last event of a stream that the caller has; empty when there is none. */
    std::string lastEventId;
};

/** What this system states about a request that it forwards. */
struct ForwardMetadata
{
    /** Another backend server at the same address must refuse the request. */
    ServerId server;

    /** Time after which nobody waits for the answer. */
    std::chrono::milliseconds timeLeft{0};

    /** Empty when the route needs no key. */
    WorkspaceId workspace;

    /** Event after which a stream continues; empty at its start. */
    std::string lastEventId;

    /** Engine from whose cache the shared parts of the prompt are copied, if it has them. */
    std::optional<Endpoint> cacheSource;

    /** Rank at model engines; 0 is the most urgent. */
    std::optional<int> priority;
};

/** Load that a backend server states. */
struct ServerLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

/** What a backend server states in the head of an answer. */
struct ResponseMetadata
{
    /** Request that the answer belongs to; empty when it names none. */
    std::string requestId;

    /** The server vouches for the answer. */
    bool sealed = false;

    /** The server states that the request did not run and will not. */
    bool notRun = false;

    /** The body is not in the form that the request asked for. */
    bool reencoded = false;

    /** Another server has the address now. */
    bool otherServer = false;

    /** The server is about to leave and takes no new requests. */
    bool leaving = false;

    /** Time for which the server asks this instance to send it nothing, with a refusal. */
    std::optional<std::chrono::milliseconds> retryAfter;

    bool eventStream = false;
    std::optional<ServerLoad> load;
    std::optional<std::chrono::milliseconds> coldLeft;
};

/** A question of a caller for addresses. */
struct DirectoryQuery
{
    std::string host;
    DomainId domain;
};

/** The platform's manner of speaking HTTP to callers and backend servers, without decisions. */
struct CallerProtocol
{
    std::function<RequestMetadata(const HttpHeaders &)> readRequestMetadata;

    /** The caller's header fields without those that only this system may set, and its own. */
    std::function<HttpHeaders(const HttpHeaders &, const ForwardMetadata &)> headersForServer;

    std::function<ResponseMetadata(int status, const HttpHeaders &)> readResponseMetadata;

    /** Adds the time after which a refused caller should return. */
    std::function<void(HttpHeaders &, std::chrono::milliseconds)> setRetryAfter;

    /** @returns nothing when the request is not a question for addresses. */
    std::function<std::optional<DirectoryQuery>(const HttpRequest &)> readDirectoryQuery;
    std::function<HttpResponse(const std::vector<Endpoint> &, std::chrono::seconds lifetime)>
        directoryResponse;
};

} // namespace jy
