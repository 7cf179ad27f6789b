#include "jy_gateway/placement/ServerChooser.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>

namespace jy {

namespace {

// Failure rate above that of the other servers of the service that is taken for noise.
constexpr double ignoredFailureRate = 0.18;

// Requests in flight that a server with only failures seems to have in addition.
constexpr double penaltyScale = 60;

// Decrease of the spill bound for each second of the age of reports, and its lowest values. At
// 0.7 s, the age in a fleet of 90 instances, the bound is 1.4 x mean + 1.5.
constexpr double factorPerSecond = 0.23;
constexpr double slackPerSecond = 0.75;
constexpr double leastSpillFactor = 1.25;
constexpr double leastSpillSlack = 1.0;

// Servers that started within this time of each other started together.
constexpr std::chrono::milliseconds sameStart{1000};

// Requests that a plain service may queue beyond its slots before it is taken for full.
constexpr double queuedPerSlot = 2.0;

// Failures that all servers share, such as those of a broken route, raise the median too.
double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

ServerChooser::ServerChooser(const FleetView &fleet, const LoadTable &loads,
                             const ServerHealth &health, const ServerBackoff &backoff,
                             const StallDetector &stalls, ColdAllowance &cold)
    : fleet_(fleet)
    , loads_(loads)
    , health_(health)
    , backoff_(backoff)
    , stalls_(stalls)
    , cold_(cold)
{ }

Placement ServerChooser::choose(const PlacementQuery &query, double draw, TimePoint now)
{
    Placement result;
    auto candidates = usable(query, now, result);
    if (candidates.empty())
        return result;
    auto chosen =
        query.affinity != 0 ? chooseHome(candidates, query) : chooseLeastLoaded(candidates, draw);
    chosen.candidates = candidates.size();
    if (copyPays(query))
        findCachedCopy(candidates, query, now, chosen);
    const auto *server = fleet_.findServer(chosen.server);
    if (server && server->coldUntil > now)
        cold_.spend(chosen.server, now);
    return chosen;
}

std::vector<ServerChooser::Candidate> ServerChooser::usable(const PlacementQuery &query,
                                                            TimePoint now, Placement &why)
{
    const auto available = fleet_.candidates(query.service, now);
    const auto *policy = fleet_.config() ? fleet_.config()->findService(query.service) : nullptr;
    const auto failureRates = this->failureRates(available, now);
    const double usualRate = median(failureRates);
    std::vector<Candidate> all;
    std::vector<Candidate> lastResort;
    bool backingOff = false;
    bool coldSpent = false;
    bool full = false;
    for (std::size_t i = 0; i < available.size(); ++i) {
        const auto *server = available[i];
        const auto &id = server->entry.id;
        const auto requests = query.affinity != 0 ? loads_.total(id) : loads_.own(id);
        if (query.tried.contains(id))
            continue;
        if (backoff_.until(id, now)) {
            backingOff = true;
            continue;
        }
        Candidate candidate{.server = server};
        candidate.load = requests.inFlight;
        candidate.waiting = requests.waiting;
        candidate.cold = server->coldUntil > now;
        if (candidate.cold && policy && policy->coldRequestsPerSecond > 0
            && !cold_.available(id, policy->coldRequestsPerSecond, now)) {
            coldSpent = true;
            continue;
        }
        if (candidate.load >= server->entry.slots * (1 + queuedPerSlot)) {
            full = true;
            continue;
        }
        const double excess = failureRates[i] - usualRate - ignoredFailureRate;
        candidate.penalty = std::max(0.0, excess) * penaltyScale;
        candidate.rank = rendezvousScore(query.affinity, id.value());
        candidate.holds = holds(*server, query);
        const bool silent = health_.paused(id, now) || stalls_.stalled(id, now);
        (silent ? lastResort : all).push_back(candidate);
    }
    if (all.empty())
        all = std::move(lastResort);
    if (available.empty())
        why.reason = PlacementReason::NoServer;
    else if (full)
        why.reason = PlacementReason::AllFull;
    else if (backingOff)
        why.reason = PlacementReason::AllBackingOff;
    else
        why.reason = coldSpent ? PlacementReason::AllCold : PlacementReason::AllTried;
    return all;
}

double ServerChooser::meanLoad(const ServiceId &service) const
{
    const auto servers = fleet_.serversOf(service);
    int total = 1;
    for (const auto *server : servers)
        total += loads_.total(server->entry.id).inFlight;
    return total / static_cast<double>(std::max<std::size_t>(1, servers.size()));
}

std::optional<TimePoint> ServerChooser::allBackingOffUntil(const ServiceId &service,
                                                           TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto *server : fleet_.candidates(service, now)) {
        const auto until = backoff_.until(server->entry.id, now);
        if (!until)
            return std::nullopt;
        first = std::min(first.value_or(*until), *until);
    }
    return first;
}

std::vector<double> ServerChooser::failureRates(const std::vector<const ServerState *> &servers,
                                                TimePoint now) const
{
    std::vector<double> rates;
    rates.reserve(servers.size());
    for (const auto *server : servers)
        rates.push_back(health_.failureRate(server->entry.id, now));
    return rates;
}

bool ServerChooser::holds(const ServerState &server, const PlacementQuery &query)
{
    // What a server had cached before it started again is gone.
    return std::ranges::any_of(query.holders, [&](const PromptCacheLocation &holder) {
        return holder.server == server.entry.id && holder.used >= server.since;
    });
}

void ServerChooser::rank(std::vector<Candidate> &candidates, bool homeFirst)
{
    std::ranges::sort(candidates, std::ranges::greater(), [](const Candidate &candidate) {
        return std::pair(candidate.holds, candidate.rank);
    });
    if (!homeFirst)
        return;
    const auto home = std::ranges::max_element(candidates, {}, &Candidate::rank);
    std::rotate(candidates.begin(), home, home + 1);
}

Placement ServerChooser::chooseHome(std::vector<Candidate> &candidates,
                                    const PlacementQuery &query) const
{
    rank(candidates, copyPays(query));
    const double bound = spillBound(meanLoad(query.service));
    for (const auto &candidate : candidates) {
        if (candidate.load + candidate.penalty + 1 > bound || candidate.waiting >= waitingLimit)
            continue;
        const bool first = &candidate == &candidates.front();
        return {.server = candidate.server->entry.id,
                .reason = first ? PlacementReason::Home : PlacementReason::Spilled,
                .load = candidate.load};
    }
    const auto least = std::ranges::min_element(
        candidates, {}, [](const Candidate &c) { return c.load + c.penalty; });
    return {.server = least->server->entry.id,
            .reason = PlacementReason::LeastLoaded,
            .load = least->load};
}

bool ServerChooser::copyPays(const PlacementQuery &query) const
{
    const auto *policy = fleet_.config() ? fleet_.config()->findService(query.service) : nullptr;
    if (query.affinity == 0 || query.sharedTokens < shortestCopy || !policy
        || policy->cacheLinkMbps <= 0)
        return false;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAndMbps = 1000;
    const double copyPerToken = static_cast<double>(policy->cacheTokenBytes) * bitsPerByte
        / (policy->cacheLinkMbps * bitsPerMsAndMbps);
    return copyPerToken * tokensReadPerMs < 1;
}

const ServerChooser::Candidate *
ServerChooser::nearestHolder(const std::vector<Candidate> &candidates, const DomainId &domain)
{
    const Candidate *nearest = nullptr;
    for (const auto &candidate : candidates) {
        if (!candidate.holds || candidate.penalty > 0)
            continue;
        if (candidate.server->entry.domain == domain)
            return &candidate;
        if (!nearest)
            nearest = &candidate;
    }
    return nearest;
}

void ServerChooser::findCachedCopy(std::vector<Candidate> &candidates, const PlacementQuery &query,
                                   TimePoint now, Placement &placement) const
{
    for (const auto *server : fleet_.leaving(query.service)) {
        if (!query.tried.contains(server->entry.id))
            candidates.push_back({.server = server,
                                  .rank = rendezvousScore(query.affinity, server->entry.id.value()),
                                  .holds = holds(*server, query)});
    }
    rank(candidates, true);
    const auto *chosen = fleet_.findServer(placement.server);
    if (!chosen || holds(*chosen, query))
        return;
    if (const auto *holder = nearestHolder(candidates, chosen->entry.domain)) {
        placement.cachedAt = holder->server->entry.id;
        return;
    }
    const auto young = [&](const ServerState &server) { return now - server.since < youngTime; };
    const auto joinedAfter = [](const ServerState &server, const ServerState &other) {
        return server.entry.startTimeMs > other.entry.startTimeMs + sameStart.count()
            || server.since > other.since + sameStart;
    };
    bool before = true;
    for (const auto &candidate : candidates) {
        const auto &server = *candidate.server;
        if (&server == chosen) {
            before = false;
            // A server in its place for long has cached the prefix itself.
            if (!young(server))
                return;
            continue;
        }
        // A server that has just joined became the home of prefixes that the ones behind it have.
        const bool hasCopy =
            before ? !young(server) || !joinedAfter(server, *chosen) : joinedAfter(*chosen, server);
        if (hasCopy && candidate.penalty == 0) {
            placement.cachedAt = server.entry.id;
            return;
        }
    }
}

double ServerChooser::spillBound(double meanLoad) const
{
    const double age = std::chrono::duration<double>(reportAge_).count();
    const double factor = std::max(leastSpillFactor, spillFactor - age * factorPerSecond);
    const double slack = std::max(leastSpillSlack, spillSlack - age * slackPerSecond);
    return meanLoad * factor + slack;
}

Placement ServerChooser::chooseLeastLoaded(const std::vector<Candidate> &candidates, double draw)
{
    const auto cost = [](const Candidate &candidate) { return candidate.load + candidate.penalty; };
    double least = cost(candidates.front());
    for (const auto &candidate : candidates)
        least = std::min(least, cost(candidate));
    std::vector<const Candidate *> equals;
    for (const auto &candidate : candidates) {
        if (cost(candidate) <= least)
            equals.push_back(&candidate);
    }
    const auto index = static_cast<std::size_t>(draw * static_cast<double>(equals.size()));
    const auto &chosen = *equals[std::min(index, equals.size() - 1)];
    return {.server = chosen.server->entry.id,
            .reason = PlacementReason::LeastLoaded,
            .load = chosen.load};
}

std::string_view toString(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::Home:
        return "home";
    case PlacementReason::Spilled:
        return "spilled";
    case PlacementReason::LeastLoaded:
        return "least-loaded";
    case PlacementReason::NoServer:
        return "no-server";
    case PlacementReason::AllTried:
        return "all-tried";
    case PlacementReason::AllCold:
        return "all-cold";
    case PlacementReason::AllFull:
        return "all-full";
    case PlacementReason::AllBackingOff:
        return "all-backing-off";
    }
    return "no-server";
}

} // namespace jy
