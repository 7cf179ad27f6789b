#pragma once

#include "Disturbances.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jy::soak {

enum class CallKind { Safe, Unsafe, ResumableStream, PlainStream };

constexpr bool mayRepeat(CallKind kind)
{
    return kind == CallKind::Safe || kind == CallKind::ResumableStream;
}

constexpr bool isStream(CallKind kind)
{
    return kind == CallKind::ResumableStream || kind == CallKind::PlainStream;
}

/** A request as its caller sent it. */
struct Call
{
    std::string id;
    CallKind kind = CallKind::Safe;
    std::string instance;
    std::string path;
    std::string body;
    std::string workspace;
    TimePoint sent;

    /** The shorter of the caller's and the route's timeout. */
    std::chrono::milliseconds allowed{0};

    /** Maximum number of servers that may run the request. */
    int maxServers = 1;

    /** Checks whether the newest configuration is applied; may be refused. */
    bool probe = false;
};

/** A request as it reached a backend server. */
struct Arrival
{
    std::string id;
    std::string server;
    std::string path;
    std::string body;
    std::string workspace;
    bool hasKey = false;
    TimePoint at;
};

/** Outcome of a request as its caller saw it. */
struct CallResult
{
    /** HTTP status; 0 when there was no complete response. */
    int status = 0;

    /** Whether the connection was closed; false when the caller timed out. */
    bool closed = false;

    /** Id of the run from the backend server's seal header; empty without one. */
    std::string seal;
    std::string text;
    TimePoint at;
};

/** A violation of one of the checked rules. */
struct Finding
{
    std::string_view rule;
    std::string text;
};

/** Time and rate limits that the checked deployment must keep. */
struct Bounds
{
    /** Time without disturbance after which the limits apply. */
    std::chrono::milliseconds stableWindow{4000};

    /** Time after a server's entry is marked draining or removed in which requests may reach it. */
    std::chrono::milliseconds drain{2000};

    /** Time within which a new configuration must be applied. */
    std::chrono::milliseconds configApply{2000};

    /** Time past the allowed time after which a response counts as late. */
    std::chrono::milliseconds answerSlack{500};

    /** Time within which a server must be told that the caller disconnected. */
    std::chrono::milliseconds leaveSlack{500};

    /** Maximum requests per second at a cold server: 1.5 x its rate of 4, + 5. */
    int coldRequests = 11;

    /** Maximum repeated arrivals in ten seconds: this share of the requests + this number. */
    double repeatShare = 0.2;
    int repeatSlack = 56;
    std::chrono::seconds repeatWindow{10};
};

/**
 * Checks what callers and backend servers observed against the guarantees of the fleet. Uses no
 * internal state of the gateways.
 */
class Ledger
{
public:
    using Report = std::function<void(const Finding &)>;

    Ledger(const Disturbances &disturbances, Bounds bounds, Report report);

    void sent(const Call &call);
    void callerLeft(const std::string &id, TimePoint at);
    void answered(const std::string &id, const CallResult &result);

    void arrived(const Arrival &arrival);

    /** The server starts to process the request; @p seal identifies this run and its response. */
    void runs(const Arrival &arrival, const std::string &seal);

    /** The server has sent the whole response or has given up on it (@p status 0). */
    void finished(const std::string &id, const std::string &seal, int status,
                  const std::string &text, TimePoint at);

    /** The server's entry was removed or marked draining, or its domain is being evacuated. */
    void withdrawn(const std::string &server, TimePoint at) { withdrawn_[server] = at; }
    void returned(const std::string &server) { withdrawn_.erase(server); }

    /** The server is cold until the given time. */
    void cold(const std::string &server, TimePoint until) { coldUntil_[server] = until; }

    /** Reports a violation that belongs to no recorded request. */
    void note(std::string_view rule, const std::string &text) { report_({rule, text}); }

    struct Counts
    {
        std::uint64_t calls = 0;
        std::uint64_t served = 0;
        std::uint64_t refused = 0;
        std::uint64_t failed = 0;
        std::uint64_t runs = 0;
    };
    const Counts &counts() const { return counts_; }
    const Bounds &bounds() const { return bounds_; }

private:
    struct Run
    {
        std::string server;
        int status = 0;
        std::string text;
    };

    struct Record
    {
        Call call;
        std::map<std::string, Run> runs;
        std::set<std::string> servers;
        std::optional<TimePoint> callerLeftAt;
        bool refused = false;
        bool arrived = false;
    };

    void checkResult(const Record &record, const CallResult &result);
    void checkTime(const Record &record, const CallResult &result);
    void checkLost(const Record &record);
    void checkServed(const Record &record, const CallResult &result);
    void checkCold(const Arrival &arrival);
    void checkRepeats(TimePoint now);
    bool isUndisturbed(const Record &record, TimePoint at) const;
    void reportViolation(std::string_view rule, const Record &record,
                         const std::string &text) const;

    const Disturbances &disturbances_;
    Bounds bounds_;
    Report report_;
    Counts counts_;
    std::map<std::string, Record> records_;
    std::map<std::string, TimePoint> withdrawn_;
    std::map<std::string, TimePoint> coldUntil_;
    std::map<std::string, std::deque<TimePoint>> coldArrivals_;
    std::deque<TimePoint> calls_;
    std::deque<TimePoint> repeats_;
};

} // namespace jy::soak
