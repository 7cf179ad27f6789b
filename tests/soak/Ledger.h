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

    /** Time that the caller and the route allow, whichever is shorter. */
    std::chrono::milliseconds allowed{0};

    /** Number of servers that may run it. */
    int maxServers = 1;

    /** Sent to find out which configuration is in force; it may be refused. */
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

/** What a caller got. */
struct Answer
{
    /** 0 for none. */
    int status = 0;

    /** Whether the connection was closed, as against a time-out of the caller. */
    bool closed = false;

    /** Mark of the run, as the backend server sealed it; empty without one. */
    std::string seal;
    std::string text;
    TimePoint at;
};

/** A broken promise. */
struct Finding
{
    std::string_view rule;
    std::string text;
};

/** Bounds of the deployment. */
struct Bounds
{
    /** Time without disturbance after which the bounds hold. */
    std::chrono::milliseconds stableWindow{4000};

    /** Time after a server's announced or removed entry in which requests may still reach it. */
    std::chrono::milliseconds drain{2000};

    /** Time after which a new configuration is in force. */
    std::chrono::milliseconds configApply{2000};

    /** Time past the allowed one after which an answer counts as held back. */
    std::chrono::milliseconds answerSlack{500};

    /** Time after which a server must have learned that its caller left. */
    std::chrono::milliseconds leaveSlack{500};

    /** Requests in one second that a cold server bears: 1.5 x its rate of 4, + 5. */
    int coldRequests = 11;

    /** Repeated arrivals in ten seconds: this share of the requests + this number. */
    double repeatShare = 0.2;
    int repeatSlack = 56;
    std::chrono::seconds repeatWindow{10};
};

/**
 * Compares what callers and backend servers saw with what the fleet promises. Knows nothing of the
 * fleet's inside.
 */
class Ledger
{
public:
    using Report = std::function<void(const Finding &)>;

    Ledger(const Disturbances &disturbances, Bounds bounds, Report report);

    void sent(const Call &call);
    void left(const std::string &id, TimePoint at);
    void answered(const std::string &id, const Answer &answer);

    void arrived(const Arrival &arrival);

    /** The server works on the request; @p seal names this run and its answer. */
    void runs(const Arrival &arrival, const std::string &seal);

    /** The server has sent all of the answer. */
    void finished(const std::string &id, const std::string &seal, int status,
                  const std::string &text, TimePoint at);

    /** The entry of a server was removed or says that it leaves, while the store was calm. */
    void withdrawn(const std::string &server, TimePoint at) { withdrawn_[server] = at; }
    void returned(const std::string &server) { withdrawn_.erase(server); }

    /** The server is cold until then. */
    void cold(const std::string &server, TimePoint until) { coldUntil_[server] = until; }

    /** A check outside of requests has failed. */
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
        std::optional<TimePoint> leftAt;
        bool refused = false;
        bool arrived = false;
    };

    void checkAnswer(const Record &record, const Answer &answer);
    void checkTime(const Record &record, const Answer &answer);
    void checkLost(const Record &record);
    void checkServed(const Record &record, const Answer &answer);
    void checkCold(const Arrival &arrival);
    void checkRepeats(TimePoint now);
    bool inTouch(const Record &record, TimePoint at) const;
    void broken(std::string_view rule, const Record &record, const std::string &text) const;

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
