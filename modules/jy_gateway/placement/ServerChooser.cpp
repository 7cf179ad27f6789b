#include "jy_gateway/placement/ServerChooser.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace jy {

namespace {

// Failure rates above the median of the service by no more than this are regarded as noise.
constexpr double toleratedExcessRate = 0.18;

// Load that is added to a server per unit of its excess failure rate, in requests in flight.
constexpr double penaltyScale = 60;

// Decrease of the spill bound per second of report age, and its lower limits. At 0.7 s, the report
// age in a fleet of 90 instances, the bound is 1.4 x mean + 1.5.
constexpr double factorPerSecond = 0.23;
constexpr double slackPerSecond = 0.75;
constexpr double minSpillFactor = 1.25;
constexpr double minSpillSlack = 1.0;

// Servers whose starts are no further apart than this count as started at the same time.
constexpr std::chrono::milliseconds sameStartTolerance{1000};

// Failure rates are compared with the median: failures that all servers share, such as those of a
// broken route, raise it too and penalize no server.
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
                             const StallDetector &stalls, ColdAllowance &cold,
                             ServerRateLimits &rateLimits, const ServerReports &reports)
    : fleet_(fleet)
    , loads_(loads)
    , health_(health)
    , backoff_(backoff)
    , stalls_(stalls)
    , cold_(cold)
    , rateLimits_(rateLimits)
    , reports_(reports)
{ }

Placement ServerChooser::choose(const PlacementQuery &query, double draw, TimePoint now)
{
    Placement result;
    auto candidates = findCandidates(query, now, result);
    if (candidates.empty())
        return result;
    const bool contended = isContended(query, now);
    auto chosen = query.affinity == 0 ? chooseLeastLoaded(candidates, draw, now)
        : contended                   ? chooseByExpectedTime(candidates, query, now)
                                      : chooseByPrefix(candidates, query, now);
    chosen.candidates = candidates.size();
    if (isCopyFaster(query)) {
        const bool worthwhile = !contended || isCopyWorthwhile(query, now);
        const auto permitted = [&](const ServerId &source) {
            const bool may = worthwhile && (!contended || copies_.mayCopyFrom(source, now));
            chosen.copyAvoided |= !may;
            return may;
        };
        findCopySource(candidates, query, now, permitted, chosen);
        chosen.copyAvoided &= chosen.copySource.empty();
    }
    if (query.affinity != 0)
        recordPrompt(query, chosen, now);
    const auto *server = fleet_.findServer(chosen.server);
    if (server && server->coldUntil > now)
        cold_.spend(chosen.server, now);
    rateLimits_.spend(chosen.server, now);
    return chosen;
}

std::vector<ServerChooser::Candidate>
ServerChooser::findCandidates(const PlacementQuery &query, TimePoint now, Placement &result)
{
    const auto available = permittedServers(query, now);
    const auto *policy = fleet_.config() ? fleet_.config()->findService(query.service) : nullptr;
    const auto failureRates = this->failureRates(available, now);
    const double usualRate = median(failureRates);
    std::vector<Candidate> all;
    std::vector<Candidate> lastResort;
    bool backingOff = false;
    bool coldSpent = false;
    bool full = false;
    bool limited = false;
    std::optional<TimePoint> limitedUntil;
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
        if (candidate.load >= server->entry.slots * (1 + maxQueuedPerSlot)) {
            full = true;
            continue;
        }
        if (!rateLimits_.available(id, now)) {
            limited = true;
            if (const auto next = rateLimits_.nextAt(id))
                limitedUntil = std::min(limitedUntil.value_or(*next), *next);
            continue;
        }
        const double excess = failureRates[i] - usualRate - toleratedExcessRate;
        candidate.penalty = std::max(0.0, excess) * penaltyScale;
        candidate.rank = rendezvousScore(query.affinity, id.value());
        candidate.hasCachedPrefix = holdsPrefix(*server, query);
        candidate.limited = rateLimits_.limitOf(id, now).has_value();
        const bool silent = health_.isExcluded(id, now) || stalls_.isStalled(id, now);
        (silent ? lastResort : all).push_back(candidate);
    }
    if (all.empty() && !query.responsiveOnly)
        all = std::move(lastResort);
    if (available.empty())
        result.reason = PlacementReason::NoServer;
    else if (full)
        result.reason = PlacementReason::AllFull;
    else if (backingOff)
        result.reason = PlacementReason::AllBackingOff;
    else if (limited) {
        result.reason = PlacementReason::AllLimited;
        if (limitedUntil)
            result.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*limitedUntil - now);
    } else
        result.reason = coldSpent ? PlacementReason::AllCold : PlacementReason::AllTried;
    return all;
}

std::vector<const ServerState *> ServerChooser::permittedServers(const PlacementQuery &query,
                                                                 TimePoint now) const
{
    auto servers = fleet_.candidates(query.service, now, query.versions);
    if (query.mostServers == 0 || servers.size() <= query.mostServers)
        return servers;
    std::ranges::sort(servers, {}, [](const ServerState *server) {
        return std::pair(stableHash(server->entry.id.value()), server->entry.id);
    });
    servers.resize(query.mostServers);
    return servers;
}

double ServerChooser::meanLoad(const ServiceId &service, TimePoint now) const
{
    int total = 1;
    std::size_t count = 0;
    for (const auto *server : fleet_.serversOf(service)) {
        if (rateLimits_.limitOf(server->entry.id, now))
            continue;
        total += loads_.total(server->entry.id).inFlight;
        ++count;
    }
    return total / static_cast<double>(std::max<std::size_t>(1, count));
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

bool ServerChooser::holdsPrefix(const ServerState &server, const PlacementQuery &query)
{
    // A restart empties the cache of a server.
    return std::ranges::any_of(query.holders, [&](const PromptCacheLocation &holder) {
        return holder.server == server.entry.id && holder.lastUsed >= server.since;
    });
}

void ServerChooser::rank(std::vector<Candidate> &candidates, bool homeFirst)
{
    std::ranges::sort(candidates, std::ranges::greater(), [](const Candidate &candidate) {
        return std::tuple(candidate.hasCachedPrefix, !candidate.limited, candidate.rank);
    });
    if (!homeFirst)
        return;
    const auto home = std::ranges::max_element(candidates, {}, [](const Candidate &candidate) {
        return std::pair(candidate.hasCachedPrefix || !candidate.limited, candidate.rank);
    });
    std::rotate(candidates.begin(), home, home + 1);
}

Placement ServerChooser::chooseByPrefix(std::vector<Candidate> &candidates,
                                        const PlacementQuery &query, TimePoint now) const
{
    rank(candidates, isCopyFaster(query));
    const double bound = spillBound(meanLoad(query.service, now));
    for (const auto &candidate : candidates) {
        if (candidate.load + candidate.penalty + 1 > bound || candidate.waiting >= maxWaiting)
            continue;
        const bool first = &candidate == &candidates.front();
        return {.server = candidate.server->entry.id,
                .reason = first ? PlacementReason::Home : PlacementReason::Spilled,
                .load = candidate.load};
    }
    return leastLoaded(candidates);
}

Placement ServerChooser::leastLoaded(const std::vector<Candidate> &candidates)
{
    const auto least = std::ranges::min_element(
        candidates, {}, [](const Candidate &c) { return c.load + c.penalty; });
    return {.server = least->server->entry.id,
            .reason = PlacementReason::LeastLoaded,
            .load = least->load};
}

bool ServerChooser::isCopyFaster(const PlacementQuery &query) const
{
    const auto *policy = fleet_.config() ? fleet_.config()->findService(query.service) : nullptr;
    if (query.affinity == 0 || query.sharedTokens < minTokensToCopy || !policy
        || policy->cacheLinkMbps <= 0)
        return false;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAndMbps = 1000;
    const double copyPerToken = static_cast<double>(policy->cacheTokenBytes) * bitsPerByte
        / (policy->cacheLinkMbps * bitsPerMsAndMbps);
    return copyPerToken * prefillTokensPerMs < 1;
}

const ServerChooser::Candidate *
ServerChooser::nearestHolder(const std::vector<Candidate> &candidates, const DomainId &domain,
                             const SourceFilter &permitted)
{
    const Candidate *nearest = nullptr;
    for (const auto &candidate : candidates) {
        if (!candidate.hasCachedPrefix || candidate.penalty > 0
            || !permitted(candidate.server->entry.id))
            continue;
        if (candidate.server->entry.domain == domain)
            return &candidate;
        if (!nearest)
            nearest = &candidate;
    }
    return nearest;
}

void ServerChooser::findCopySource(std::vector<Candidate> &candidates, const PlacementQuery &query,
                                   TimePoint now, const SourceFilter &permitted,
                                   Placement &placement) const
{
    for (const auto *server : fleet_.leaving(query.service)) {
        if (!query.tried.contains(server->entry.id))
            candidates.push_back({.server = server,
                                  .rank = rendezvousScore(query.affinity, server->entry.id.value()),
                                  .hasCachedPrefix = holdsPrefix(*server, query)});
    }
    // A limit is on requests of callers, so a server that has used it up can still be copied from.
    for (const auto &holder : query.holders) {
        const auto *server = fleet_.findServer(holder.server);
        const bool isCandidate = std::ranges::any_of(
            candidates, [&](const Candidate &candidate) { return candidate.server == server; });
        if (server && !isCandidate && !query.tried.contains(holder.server)
            && fleet_.isEligible(*server, now) && rateLimits_.limitOf(holder.server, now))
            candidates.push_back({.server = server,
                                  .rank = rendezvousScore(query.affinity, holder.server.value()),
                                  .hasCachedPrefix = holdsPrefix(*server, query)});
    }
    rank(candidates, true);
    const auto *chosen = fleet_.findServer(placement.server);
    if (!chosen || holdsPrefix(*chosen, query))
        return;
    if (const auto *holder = nearestHolder(candidates, chosen->entry.domain, permitted)) {
        placement.copySource = holder->server->entry.id;
        return;
    }
    const auto joinedAfter = [](const ServerState &server, const ServerState &other) {
        return server.entry.startTimeMs > other.entry.startTimeMs + sameStartTolerance.count()
            || server.since > other.since + sameStartTolerance;
    };
    bool before = true;
    for (const auto &candidate : candidates) {
        const auto &server = *candidate.server;
        if (&server == chosen) {
            before = false;
            // A server that has not joined recently has the prefix cached itself.
            if (!isWarmingUp(server, now))
                return;
            continue;
        }
        // A server that has just joined is the new home of prefixes that lower ranks have cached.
        const bool hasCopy = before ? !isWarmingUp(server, now) || !joinedAfter(server, *chosen)
                                    : joinedAfter(*chosen, server);
        if (hasCopy && candidate.penalty == 0 && permitted(server.entry.id)) {
            placement.copySource = server.entry.id;
            return;
        }
    }
}

double ServerChooser::spillBound(double meanLoad) const
{
    const double age = std::chrono::duration<double>(reportAge_).count();
    const double factor = std::max(minSpillFactor, spillFactor - age * factorPerSecond);
    const double slack = std::max(minSpillSlack, spillSlack - age * slackPerSecond);
    return meanLoad * factor + slack;
}

Placement ServerChooser::chooseLeastLoaded(std::vector<Candidate> &candidates, double draw,
                                           TimePoint now) const
{
    if (reports_.anyPaceReported(now)) {
        const auto reported = [&](const Candidate &candidate) {
            return reports_.pace(candidate.server->entry.id, now).reported;
        };
        if (std::ranges::any_of(candidates, reported)) {
            for (auto &candidate : candidates)
                candidate.pace = reports_.pace(candidate.server->entry.id, now).factor;
        }
    }
    const auto load = [](const Candidate &candidate) { return candidate.load + candidate.penalty; };
    const auto least = std::ranges::min_element(candidates, {}, [&](const Candidate &candidate) {
        return (load(candidate) + 1) * candidate.pace;
    });
    // Equally loaded servers are chosen in proportion to their speed. All instances have the same
    // reports, so they would all choose the fastest one, however small the difference is.
    std::vector<const Candidate *> equals;
    double speeds = 0;
    for (const auto &candidate : candidates) {
        if (load(candidate) == load(*least)) {
            equals.push_back(&candidate);
            speeds += 1 / candidate.pace;
        }
    }
    const Candidate *chosen = equals.back();
    double sum = 0;
    for (const auto *candidate : equals) {
        sum += 1 / candidate->pace;
        if (draw * speeds < sum) {
            chosen = candidate;
            break;
        }
    }
    return {.server = chosen->server->entry.id,
            .reason = PlacementReason::LeastLoaded,
            .load = chosen->load,
            .pacePercent = percentOf(chosen->pace)};
}

int ServerChooser::percentOf(double pace)
{
    constexpr double percent = 100;
    return static_cast<int>(std::lround(pace * percent));
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
    case PlacementReason::AllLimited:
        return "all-limited";
    case PlacementReason::AllBackingOff:
        return "all-backing-off";
    }
    return "no-server";
}

} // namespace jy
