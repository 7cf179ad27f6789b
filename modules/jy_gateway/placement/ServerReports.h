#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/adapter/CallerProtocol.h"
#include "jy_gateway/placement/FirstEventEstimate.h"
#include "jy_gateway/placement/MovingAverage.h"

#include <chrono>
#include <optional>
#include <unordered_map>

namespace jy {

/** How long work currently takes at a server, relative to the usual time. */
struct ServerPace
{
    /** 1 is usual, 2.5 means that work takes 2.5 times as long. */
    double factor = 1;

    /** Stated by the server; otherwise estimated from its response times. */
    bool reported = false;
};

/** Requests at a server as stated in its last response. */
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
    TimePoint time;
};

/**
 * The loads and paces that backend servers state in their responses, and the response times from
 * which the pace of the others is estimated.
 *
 * All values are untrusted: paces are clamped, and counts only add to those that LoadTable has.
 */
class ServerReports
{
public:
    /** Time for which a reported pace is valid; servers change it about as often. */
    static constexpr std::chrono::milliseconds paceLifetime{600};

    /** Time for which reported numbers of requests are valid. */
    static constexpr std::chrono::milliseconds loadLifetime{1000};

    /** Time after its last response after which a server without a report has the usual pace. It
     * may have recovered, which only new requests can show. */
    static constexpr std::chrono::milliseconds estimateLifetime{5000};

    /** Limits of the pace in percent, for reported and estimated values. */
    static constexpr int minPacePercent = 50;
    static constexpr int maxPacePercent = 400;

    /** Records what a response states; replaces the earlier report of the server. */
    void observe(const ServerId &server, const ServerLoad &load, TimePoint now);

    /** Records that a response has started @p wait after its request was sent. */
    void responseStarted(const ServiceId &service, const ServerId &server, Duration wait,
                         TimePoint now);

    /** Records that a request with a response has ended @p duration after it was sent. */
    void requestEnded(const ServiceId &service, Duration duration);

    ServerPace pace(const ServerId &server, TimePoint now) const;

    /** Whether any server has stated its pace within paceLifetime. */
    bool anyPaceReported(TimePoint now) const;

    /** @returns the last report without negative counts; nothing if it is too old */
    std::optional<ReportedLoad> load(const ServerId &server, TimePoint now) const;

    /** @returns the mean time that requests of the service occupy a slot; nothing if none ended */
    std::optional<Milliseconds> meanDuration(const ServiceId &service) const;

    void forget(const ServerId &server) { servers_.erase(server); }

    /** Drops the servers of which nothing valid is known. */
    void expire(TimePoint now);

    std::size_t size() const { return servers_.size(); }

private:
    // Weights of a new sample. The usual time follows slowly, so that the servers that have just
    // become slow differ from it.
    static constexpr double serverWeight = 0.2;
    static constexpr double serviceWeight = 0.02;

    struct Server
    {
        std::optional<ServerLoad> report;
        TimePoint reported;

        /** Response time relative to the usual one. Starts at 1, so that a single response that was
         * not usual has little effect. */
        double ratio = 1;
        TimePoint lastResponse;
        bool responded = false;
    };

    struct Service
    {
        MovingAverage usualWait{serviceWeight};
        MovingAverage duration{serviceWeight};
    };

    static bool hasPace(const Server &server, TimePoint now);
    const Server *find(const ServerId &server) const;

    std::unordered_map<ServerId, Server> servers_;
    std::unordered_map<ServiceId, Service> services_;

    /** When a server last stated its pace. */
    std::optional<TimePoint> lastPace_;
};

} // namespace jy
