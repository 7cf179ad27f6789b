#include "jy_gateway/placement/ServerReports.h"

#include <algorithm>

namespace jy {

namespace {

constexpr double percent = 100;

double clampedPace(double factor)
{
    return std::clamp(factor, ServerReports::minPacePercent / percent,
                      ServerReports::maxPacePercent / percent);
}

} // namespace

void ServerReports::observe(const ServerId &server, const ServerLoad &load, TimePoint now)
{
    auto &entry = servers_[server];
    entry.report = load;
    entry.report->running = std::max(0, load.running);
    entry.report->waiting = std::max(0, load.waiting);
    entry.reported = now;
    if (load.pacePercent)
        lastPace_ = now;
}

void ServerReports::responseStarted(const ServiceId &service, const ServerId &server, Duration wait,
                                    TimePoint now)
{
    const double sample = Milliseconds(wait).count();
    auto &usual = services_[service].usualWait;
    auto &entry = servers_[server];
    if (!entry.responded || now - entry.lastResponse > estimateLifetime)
        entry.ratio = 1;
    if (usual.value() && *usual.value() > 0)
        entry.ratio += serverWeight * (clampedPace(sample / *usual.value()) - entry.ratio);
    entry.responded = true;
    entry.lastResponse = now;
    usual.add(sample);
}

void ServerReports::requestEnded(const ServiceId &service, Duration duration)
{
    services_[service].duration.add(Milliseconds(duration).count());
}

ServerPace ServerReports::pace(const ServerId &server, TimePoint now) const
{
    const auto *entry = find(server);
    if (!entry)
        return {};
    if (hasPace(*entry, now))
        return {clampedPace(*entry->report->pacePercent / percent), true};
    if (!entry->responded || now - entry->lastResponse > estimateLifetime)
        return {};
    return {clampedPace(entry->ratio), false};
}

bool ServerReports::anyPaceReported(TimePoint now) const
{
    return lastPace_ && now - *lastPace_ <= paceLifetime;
}

std::optional<ReportedLoad> ServerReports::load(const ServerId &server, TimePoint now) const
{
    const auto *entry = find(server);
    if (!entry || !entry->report || now - entry->reported > loadLifetime)
        return std::nullopt;
    return ReportedLoad{entry->report->running, entry->report->waiting, entry->reported};
}

std::optional<Milliseconds> ServerReports::meanDuration(const ServiceId &service) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.duration.value())
        return std::nullopt;
    return Milliseconds(*found->second.duration.value());
}

void ServerReports::expire(TimePoint now)
{
    std::erase_if(servers_, [&](const auto &entry) {
        const auto &server = entry.second;
        const bool reported = server.report && now - server.reported <= loadLifetime;
        const bool responded = server.responded && now - server.lastResponse <= estimateLifetime;
        return !reported && !responded;
    });
}

bool ServerReports::hasPace(const Server &server, TimePoint now)
{
    return server.report && server.report->pacePercent && now - server.reported <= paceLifetime;
}

const ServerReports::Server *ServerReports::find(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

} // namespace jy
