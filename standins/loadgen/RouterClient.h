#pragma once

#include "Report.h"

#include "jy_base/jy_base.h"
#include "jy_http/jy_http.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace jy::standins {

/** What every caller of one run shares. */
struct LoadSettings
{
    /** Routers that may be asked for a lookup. */
    std::vector<Endpoint> routers;
    std::string model;
    std::chrono::milliseconds deadline{10000};
    int maxAttempts = 4;

    /** Sends requests to @ref routers without a lookup, to test against a stand-in alone. */
    bool direct = false;
};

/** A response and its body, or the parts of a stream that were received. */
struct CallResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;

    /** Set when the exchange ended early. */
    bool failed = false;
    ErrorKind failure = ErrorKind::Internal;
};

/** Receives the body of a 200 response as it arrives; returns false to stop reading. */
using BodySink = std::function<bool(std::string_view)>;

/** One caller: keeps its lookups for their lifetime, follows redirects, and retries as told. */
class RouterClient
{
public:
    RouterClient(HttpClient &http, const LoadSettings &settings, std::mt19937_64 &random)
        : http_(http)
        , settings_(settings)
        , random_(random)
    { }

    /**
     * Sends a request until it is answered, refused for good, or out of attempts.
     *
     * @param chat selects the lookup
     * @param repeatable whether a request of unknown effect may be sent again
     * @param begin called before each attempt, so that the sink can forget an earlier one
     */
    CallResponse call(const std::string &workspace, const std::string &chat,
                      const HttpRequest &request, bool repeatable,
                      const std::function<void()> &begin, const BodySink &sink, CallRecord &record);

private:
    struct Lookup
    {
        std::vector<Endpoint> addresses;
        TimePoint expires;
    };

    std::vector<Endpoint> addressesFor(const std::string &workspace, const std::string &chat);
    CallResponse attempt(const Endpoint &router, const HttpRequest &request, const BodySink &sink,
                         TimePoint deadline);

    HttpClient &http_;
    const LoadSettings &settings_;
    std::mt19937_64 &random_;
    std::map<std::string, Lookup> lookups_;
};

/** Reads "address:port", optionally within a URL. Throws on anything else. */
Endpoint parseEndpoint(std::string_view text);

} // namespace jy::standins
