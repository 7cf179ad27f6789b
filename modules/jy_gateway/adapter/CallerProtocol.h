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

/** A part of a prompt that several requests may share. */
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;
};

/** Metadata of a request as stated by its caller. */
struct RequestMetadata
{
    RequestId id;

    /** Longest time that the caller waits; empty if not stated. */
    std::optional<std::chrono::milliseconds> callerTimeout;

    /** Workspace key; empty if the request has none. */
    std::string credential;

    /** The last parts of the prompt in order; empty for requests without a prompt. */
    std::vector<PromptPart> prompt;

    /** Maximum number of tokens to generate. */
    std::int64_t outputTokens = 0;

    /** Id of the last stream event that the caller received; empty if there is none. */
    std::string lastEventId;
};

/** Metadata that this system adds to a forwarded request. */
struct ForwardMetadata
{
    /** Intended server; any other backend server at the address must refuse the request. */
    ServerId server;

    /** Time left until the caller stops waiting for the response. */
    std::chrono::milliseconds timeLeft{0};

    /** Empty if the route requires no key. */
    WorkspaceId workspace;

    /** Id of the event after which the stream continues; empty to start at the beginning. */
    std::string lastEventId;

    /** Engine from whose cache the shared parts of the prompt can be copied, if any. */
    std::optional<Endpoint> cacheSource;

    /** Priority at model engines; 0 is the most urgent. */
    std::optional<int> priority;
};

/** Load as reported by a backend server. */
struct ServerLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;

    /** How long work currently takes, in percent of the usual time; empty if not stated. */
    std::optional<int> pacePercent;
};

/** Metadata from the head of a backend server's response. */
struct ResponseMetadata
{
    /** Id of the request that the response belongs to; empty if not stated. */
    std::string requestId;

    /** The response carries the seal by which the backend server vouches for it. */
    bool sealed = false;

    /** The server states that the request did not and will not run. */
    bool notRun = false;

    /** The body is in another encoding than the request asked for. */
    bool reencoded = false;

    /** The request reached a server other than the intended one at the same address. */
    bool misdirected = false;

    /** The server is about to leave and accepts no new requests. */
    bool leaving = false;

    /** Time for which the refusing server asks this instance to send it nothing. */
    std::optional<std::chrono::milliseconds> retryAfter;

    /** Requests per second that the server takes from all instances together while its responses
     * say so. */
    std::optional<double> requestLimit;

    bool eventStream = false;
    std::optional<ServerLoad> load;
    std::optional<std::chrono::milliseconds> coldLeft;
};

/** A caller's query for addresses of instances. */
struct DirectoryQuery
{
    std::string host;
    DomainId domain;
};

/** Translates between the platform's HTTP fields and metadata; contains no routing decisions. */
struct CallerProtocol
{
    std::function<RequestMetadata(const HttpHeaders &, std::size_t maxPromptParts)>
        readRequestMetadata;

    /** The caller's header fields without those reserved for this system, plus the system's own. */
    std::function<HttpHeaders(const HttpHeaders &, const ForwardMetadata &)> headersForServer;

    std::function<ResponseMetadata(int status, const HttpHeaders &)> readResponseMetadata;

    /** Sets the time after which a refused caller should retry. */
    std::function<void(HttpHeaders &, std::chrono::milliseconds)> setRetryAfter;

    /** @returns nothing if the request is not a query for addresses. */
    std::function<std::optional<DirectoryQuery>(const HttpRequest &)> readDirectoryQuery;
    std::function<HttpResponse(const std::vector<Endpoint> &, std::chrono::seconds lifetime)>
        directoryResponse;
};

} // namespace jy
