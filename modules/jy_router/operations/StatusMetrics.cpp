#include "jy_router/operations/StatusMetrics.h"

#include <utility>

namespace jy {

namespace {

/** Replaces all series of one gauge. */
class GaugeFamily
{
public:
    GaugeFamily(Metrics &metrics, std::string name, std::string help)
        : metrics_(metrics)
        , name_(std::move(name))
        , help_(std::move(help))
    {
        metrics_.removeSeries(name_);
    }

    void set(double value, const MetricLabels &labels = {})
    {
        metrics_.gauge(name_, help_, labels).set(value);
    }

private:
    Metrics &metrics_;
    std::string name_;
    std::string help_;
};

void updateRouter(Metrics &metrics, const FleetStatus &status)
{
    GaugeFamily(metrics, "jy_ready", "1 when this router serves.").set(status.ready ? 1 : 0);
    GaugeFamily(metrics, "jy_kv_reachable", "1 when the KV service answers this router.")
        .set(status.kvReachable ? 1 : 0);
    GaugeFamily(metrics, "jy_config_revision", "Configuration revision in force on this router.")
        .set(static_cast<double>(status.revision));
    GaugeFamily(metrics, "jy_config_head_revision", "Highest configuration revision heard of.")
        .set(static_cast<double>(status.headRevision));
    GaugeFamily(metrics, "jy_stop_marks", "Stop marks in force.")
        .set(static_cast<double>(status.stopMarks.size()));
    GaugeFamily(metrics, "jy_warnings", "Conditions that need an operator; see jyctl status.")
        .set(static_cast<double>(status.warnings.size()));
}

void updateMembers(Metrics &metrics, const FleetStatus &status)
{
    GaugeFamily routers(metrics, "jy_routers", "Routers by state in the member table.");
    std::map<std::string, int> byState;
    for (const auto &router : status.routers)
        ++byState[router.state];
    for (const auto &[state, count] : byState)
        routers.set(count, {{"state", state}});

    GaugeFamily shares(metrics, "jy_domain_admitted_share",
                       "Share of its chats that a failure domain serves.");
    GaugeFamily inService(metrics, "jy_domain_in_service",
                          "1 unless the failure domain is out of service.");
    for (const auto &domain : status.domains) {
        const MetricLabels labels{{"domain", domain.id.value()}};
        shares.set(domain.admittedShare, labels);
        inService.set(domain.state == DomainState::Out ? 0 : 1, labels);
    }
}

void updateServers(Metrics &metrics, const FleetStatus &status)
{
    GaugeFamily inFlight(metrics, "jy_server_in_flight", "Requests in flight at an owned server.");
    GaugeFamily limit(metrics, "jy_server_limit", "Concurrency limit of an owned server.");
    GaugeFamily queued(metrics, "jy_server_queued", "Requests queued for an owned server.");
    for (const auto &server : status.ownedServers) {
        const MetricLabels labels{{"server", server.id.value()}, {"target", server.target}};
        inFlight.set(server.inFlight, labels);
        limit.set(server.limit, labels);
        queued.set(server.queued, labels);
    }
}

void updateMoves(Metrics &metrics, const FleetStatus &status)
{
    GaugeFamily shares(metrics, "jy_move_share", "Share of chats at the new version of a move.");
    for (const auto &move : status.moves)
        shares.set(move.share, {{"move", move.id.value()}, {"state", move.state}});
}

} // namespace

void updateStatusMetrics(Metrics &metrics, const FleetStatus &status, const EventBuffer &events)
{
    updateRouter(metrics, status);
    updateMembers(metrics, status);
    updateServers(metrics, status);
    updateMoves(metrics, status);
    for (const auto &[kind, count] : events.recordedByKind()) {
        auto &counter = metrics.counter("jy_events_total", "Timeline events recorded, by kind.",
                                        {{"kind", kind}});
        counter.add(count - counter.value());
    }
}

void collectStatusMetrics(Metrics &metrics, std::function<FleetStatus()> status,
                          const EventBuffer &events)
{
    metrics.addCollector([&metrics, &events, status = std::move(status)] {
        updateStatusMetrics(metrics, status(), events);
    });
}

} // namespace jy
