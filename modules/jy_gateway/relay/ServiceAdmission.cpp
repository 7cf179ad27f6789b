#include "jy_gateway/relay/ServiceAdmission.h"

#include "jy_runtime/logging/Log.h"

#include <algorithm>
#include <utility>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

// Weight of one response in the mean time until responses start: about the last 20.
constexpr double startTimeWeight = 0.05;

MetricLabels labels(const ServiceId &service)
{
    return {{"service", service.value()}};
}

} // namespace

AdmissionPlace::AdmissionPlace(ServiceAdmission &admission, ServiceId service,
                               WorkspaceId workspace, TimePoint taken)
    : admission_(&admission)
    , service_(std::move(service))
    , workspace_(std::move(workspace))
    , taken_(taken)
{ }

AdmissionPlace::AdmissionPlace(AdmissionPlace &&other) noexcept
    : admission_(std::exchange(other.admission_, nullptr))
    , service_(std::move(other.service_))
    , workspace_(std::move(other.workspace_))
    , taken_(other.taken_)
    , ran_(other.ran_)
{ }

AdmissionPlace &AdmissionPlace::operator=(AdmissionPlace &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    admission_ = std::exchange(other.admission_, nullptr);
    service_ = std::move(other.service_);
    workspace_ = std::move(other.workspace_);
    taken_ = other.taken_;
    ran_ = other.ran_;
    return *this;
}

AdmissionPlace::~AdmissionPlace()
{
    release();
}

void AdmissionPlace::release() noexcept
{
    if (auto *admission = std::exchange(admission_, nullptr))
        admission->finish(service_, workspace_, ran_ ? Clock::now() - taken_ : Duration::zero());
}

ServiceAdmission::ServiceAdmission(EventLoop &loop, Metrics &metrics, AdmissionQueue::Limits limits,
                                   std::uint64_t seed)
    : loop_(loop)
    , metrics_(metrics)
    , limits_(limits)
    , random_(seed)
{ }

ServiceAdmission::Service &ServiceAdmission::serviceFor(const ServiceId &service)
{
    auto &found = services_[service];
    if (!found)
        found = std::make_unique<Service>(
            loop_, limits_, [this] { return uniform_(random_); }, uniform_(random_));
    return *found;
}

const ServiceAdmission::Service *ServiceAdmission::find(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second.get();
}

Result<AdmissionPlace> ServiceAdmission::admit(const Query &query,
                                               const std::shared_ptr<Cancellation> &callerLeaves)
{
    const auto arrived = Clock::now();
    auto &service = serviceFor(query.service);
    const auto ticket = nextTicket_++;
    const auto start = startSeconds_.find(query.route);
    Decided decided;
    auto decision = decided.get_future();
    waiting_[ticket] = &decided;
    const auto decisions =
        service.queue.enter({.ticket = ticket,
                             .workspace = query.workspace,
                             .priority = query.priority,
                             .expectedStart = start == startSeconds_.end()
                                 ? Duration::zero()
                                 : std::chrono::duration_cast<Duration>(Seconds(start->second)),
                             .latencyTarget = query.latencyTarget,
                             .deadline = query.deadline,
                             .bytes = query.bytes},
                            arrived);
    apply(query.service, service, decisions, arrived);
    const auto left = callerLeaves->onCancel([&] {
        if (waiting_.erase(ticket) == 0)
            return;
        service.queue.leave(ticket);
        showWaiting(query.service, service);
        decided.set_value(Error{ErrorKind::Cancelled, "the caller left while waiting", {}});
    });
    const auto refusal = decision.get();
    const auto now = Clock::now();
    metrics_
        .histogram("jy_admission_wait_seconds", "Time for which requests waited for a place.",
                   labels(query.service))
        .observe(now - arrived);
    if (!refusal)
        return AdmissionPlace(*this, query.service, query.workspace, now);
    if (refusal->kind == ErrorKind::Overloaded)
        metrics_
            .counter(
                "jy_admission_refused_total", "Requests refused for lack of places.",
                {{"service", query.service.value()}, {"priority", std::to_string(query.priority)}})
            .add();
    return *refusal;
}

void ServiceAdmission::apply(const ServiceId &id, Service &service,
                             const std::vector<AdmissionDecision> &decisions, TimePoint now)
{
    for (const auto &decision : decisions) {
        const auto found = waiting_.find(decision.ticket);
        if (found == waiting_.end())
            continue;
        auto *waiter = found->second;
        waiting_.erase(found);
        waiter->set_value(decision.refusal);
    }
    showWaiting(id, service);
    setTimer(id, service, now);
}

void ServiceAdmission::setTimer(const ServiceId &id, Service &service, TimePoint now)
{
    const auto next = service.queue.nextAt(now);
    if (!next) {
        service.timer.cancel();
        return;
    }
    service.timer.expires_at(*next);
    service.timer.async_wait(
        [this, id, alive = std::weak_ptr(alive_)](boost::system::error_code error) {
            if (error || alive.expired())
                return;
            const auto found = services_.find(id);
            if (found == services_.end())
                return;
            const auto expired = Clock::now();
            apply(id, *found->second, found->second->queue.advance(expired), expired);
        });
}

void ServiceAdmission::showWaiting(const ServiceId &id, const Service &service)
{
    metrics_.gauge("jy_admission_waiting", "Requests that wait for a place.", labels(id))
        .set(static_cast<double>(service.queue.waiting()));
}

std::optional<AdmissionPlace> ServiceAdmission::tryExtra(const ServiceId &service,
                                                         const WorkspaceId &workspace)
{
    const auto now = Clock::now();
    if (!serviceFor(service).queue.tryExtra(workspace, now))
        return std::nullopt;
    return AdmissionPlace(*this, service, workspace, now);
}

void ServiceAdmission::finish(const ServiceId &id, const WorkspaceId &workspace, Duration atServers)
{
    auto &service = serviceFor(id);
    const auto now = Clock::now();
    apply(id, service, service.queue.finish(workspace, atServers, now), now);
}

bool ServiceAdmission::mayRetry(const ServiceId &service, int priority, TimePoint now) const
{
    const auto *found = find(service);
    return !found || !found->queue.share().contended(now) || found->queue.mayRetry(priority);
}

void ServiceAdmission::serverFull(const ServiceId &service, TimePoint now)
{
    serviceFor(service).queue.share().serverFull(now);
}

std::chrono::milliseconds ServiceAdmission::returnAfter(const ServiceId &service, TimePoint now)
{
    return serviceFor(service).queue.returnAfter(now);
}

void ServiceAdmission::responseStarted(const std::string &route, Duration time)
{
    if (startSeconds_.size() >= maxRoutes && !startSeconds_.contains(route))
        startSeconds_.clear();
    const double seconds = Seconds(time).count();
    auto &mean = startSeconds_.try_emplace(route, seconds).first->second;
    mean += startTimeWeight * (seconds - mean);
}

void ServiceAdmission::update(const ServiceId &id, const FleetUse &use, TimePoint now)
{
    auto &service = serviceFor(id);
    auto &share = service.queue.share();
    share.update(use, now);
    apply(id, service, service.queue.advance(now), now);
    const bool contended = share.contended(now);
    const auto setGauge = [&](const char *name, const char *help, double value) {
        metrics_.gauge(name, help, labels(id)).set(value);
    };
    setGauge("jy_capacity_share", "Places of this instance at the servers.", share.share());
    setGauge("jy_capacity_in_flight", "Places in use by this instance.", share.inFlight());
    setGauge("jy_service_contended", "Whether the demand exceeds what the servers take.",
             contended ? 1 : 0);
    if (std::exchange(service.wasContended, contended) == contended)
        return;
    logEvent(LogLevel::Info, contended ? "service-contended" : "service-calm",
             {{"service", id},
              {"share", share.share()},
              {"places", use.places},
              {"demand", share.demand(now)},
              {"fleet_demand", share.demand(now) + use.otherDemand},
              {"fleet_in_flight", use.inFlight},
              {"service_ms", share.serviceTime()},
              {"waiting", service.queue.waiting()}});
}

bool ServiceAdmission::contended(const ServiceId &service, TimePoint now) const
{
    const auto *found = find(service);
    return found && found->queue.share().contended(now);
}

double ServiceAdmission::demand(const ServiceId &service, TimePoint now) const
{
    const auto *found = find(service);
    return found ? found->queue.share().demand(now) : 0;
}

DemandByService ServiceAdmission::demands(TimePoint now) const
{
    DemandByService result;
    for (const auto &[id, service] : services_)
        result[serviceHash(id)] = service->queue.share().demand(now);
    return result;
}

void ServiceAdmission::retain(const std::function<bool(const ServiceId &)> &isKnown)
{
    std::erase_if(services_, [&](const auto &entry) {
        const auto &queue = entry.second->queue;
        return !isKnown(entry.first) && queue.waiting() == 0 && queue.share().inFlight() == 0;
    });
}

} // namespace jy
