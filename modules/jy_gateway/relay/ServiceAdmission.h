#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_core/limits/AdmissionQueue.h"
#include "jy_gateway/limits/DemandTable.h"
#include "jy_http/messages/Cancellation.h"
#include "jy_runtime/fibers/EventLoop.h"
#include "jy_runtime/metrics/Metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace jy {

class ServiceAdmission;

/** The place of an admitted request, which is given back when this object ends. */
class AdmissionPlace
{
public:
    AdmissionPlace() = default;
    AdmissionPlace(ServiceAdmission &admission, ServiceId service, WorkspaceId workspace,
                   TimePoint taken);
    AdmissionPlace(AdmissionPlace &&other) noexcept;
    AdmissionPlace &operator=(AdmissionPlace &&other) noexcept;
    ~AdmissionPlace();

    /** Records that a server has begun to run the request. */
    void noteRun() { ran_ = true; }

    /** Gives the place back now. */
    void release() noexcept;

private:
    /** Null if there is no place to give back. */
    ServiceAdmission *admission_ = nullptr;
    ServiceId service_;
    WorkspaceId workspace_;
    TimePoint taken_;
    bool ran_ = false;
};

/**
 * Lets the requests of callers wait for places at the servers of their service, see AdmissionQueue.
 *
 * Waiting suspends the fiber of the request. It ends with a place, a refusal or the departure of
 * the caller.
 */
class ServiceAdmission
{
public:
    struct Query
    {
        ServiceId service;
        std::string route;
        WorkspaceId workspace;

        /** 0 is the most urgent. */
        int priority = 0;

        std::chrono::milliseconds latencyTarget{0};
        TimePoint deadline;
        std::size_t bytes = 0;
    };

    /** Maximum number of routes for which the time to the start of a response is kept. */
    static constexpr std::size_t maxRoutes = 4096;

    /** @param limits of the waiting requests of each service */
    ServiceAdmission(EventLoop &loop, Metrics &metrics, AdmissionQueue::Limits limits,
                     std::uint64_t seed);
    ServiceAdmission(const ServiceAdmission &) = delete;
    ServiceAdmission &operator=(const ServiceAdmission &) = delete;

    /**
     * Waits for a place.
     *
     * Errors: Overloaded with a time to return, Cancelled if the caller left.
     */
    Result<AdmissionPlace> admit(const Query &query,
                                 const std::shared_ptr<Cancellation> &callerLeaves);

    /** Takes a place for a second attempt of an admitted request, if one is available. */
    std::optional<AdmissionPlace> tryExtra(const ServiceId &service, const WorkspaceId &workspace);

    /** Whether a request may be sent to another server. @see AdmissionQueue::mayRetry() */
    bool mayRetry(const ServiceId &service, int priority, TimePoint now) const;

    /** Records that a server had no room for a request. */
    void serverFull(const ServiceId &service, TimePoint now);

    /** Assigns the time after which a request that servers refused may return. */
    std::chrono::milliseconds returnAfter(const ServiceId &service, TimePoint now);

    /** Records the time that a server took until its response started. */
    void responseStarted(const std::string &route, Duration time);

    /** Replaces what is known of the use of a service by the fleet. */
    void update(const ServiceId &service, const FleetUse &use, TimePoint now);

    bool contended(const ServiceId &service, TimePoint now) const;

    /** Demand of the callers of this instance. */
    double demand(const ServiceId &service, TimePoint now) const;
    DemandByService demands(TimePoint now) const;

    /** Drops the services that the configuration no longer has and that no request uses. */
    void retain(const std::function<bool(const ServiceId &)> &isKnown);

private:
    friend class AdmissionPlace;

    struct Service
    {
        Service(EventLoop &loop, AdmissionQueue::Limits limits, std::function<double()> draw,
                double phase)
            : queue(limits, std::move(draw), phase)
            , timer(loop.io())
        { }

        AdmissionQueue queue;
        boost::asio::steady_timer timer;
        bool wasContended = false;
    };

    using Decided = boost::fibers::promise<std::optional<Error>>;

    Service &serviceFor(const ServiceId &service);
    const Service *find(const ServiceId &service) const;

    /** Wakes the requests that were decided on, and sets the timer for the next decisions. */
    void apply(const ServiceId &id, Service &service,
               const std::vector<AdmissionDecision> &decisions, TimePoint now);
    void setTimer(const ServiceId &id, Service &service, TimePoint now);
    void finish(const ServiceId &id, const WorkspaceId &workspace, Duration atServers);
    void showWaiting(const ServiceId &id, const Service &service);

    EventLoop &loop_;
    Metrics &metrics_;
    AdmissionQueue::Limits limits_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_{0.0, 1.0};
    std::map<ServiceId, std::unique_ptr<Service>> services_;
    std::unordered_map<std::uint64_t, Decided *> waiting_;
    std::uint64_t nextTicket_ = 1;

    /** Moving averages in seconds. */
    std::unordered_map<std::string, double> startSeconds_;

    /** Expires with this object; handlers of its timers may run later. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace jy
