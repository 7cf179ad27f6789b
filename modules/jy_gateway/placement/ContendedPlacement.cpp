// The part of ServerChooser that places prompts while a service is contended.

#include "jy_gateway/placement/ServerChooser.h"

#include <algorithm>

namespace jy {

namespace {

// A lower rank gets a prompt only if its expected time is less than this part of that of a higher
// one; otherwise they are tied. Paces vary by more from one report to the next.
constexpr double improvementNeeded = 0.9;

// The same for a server that lacks the prefix. Instances that know different reports would process
// a prefix at different servers: with 0.9, a simulated fleet of 20 instances processed 1.6 times as
// many tokens again.
constexpr double improvementNeededWithoutPrefix = 0.5;

// Estimated paces count only above this, because the response times that they come from vary with
// the length of prompts and of the queue, which the estimate of the first event contains already.
constexpr double minEstimatedPace = 2;

// Weight of a new prompt in the mean prefill time.
constexpr double prefillWeight = 0.05;

} // namespace

bool ServerChooser::isContended(const PlacementQuery &query, TimePoint now) const
{
    return query.affinity != 0 && contended_ && contended_(query.service, now);
}

bool ServerChooser::isCopyWorthwhile(const PlacementQuery &query, TimePoint now) const
{
    const auto *policy = fleet_.config() ? fleet_.config()->findService(query.service) : nullptr;
    return policy && isCopyFaster(query)
        && copyTime(query.sharedTokens, *policy) < prefillTime(query.sharedTokens)
        && copies_.isShared(query.affinity, query.holders.size(), now);
}

PromptWork ServerChooser::promptWork(const PlacementQuery &query, bool mayCopy) const
{
    PromptWork work;
    work.obtainPrefix = prefillTime(query.sharedTokens);
    if (mayCopy)
        work.obtainPrefix =
            copyTime(query.sharedTokens, *fleet_.config()->findService(query.service));
    const auto mean = meanPrefill_.find(query.service);
    work.meanPrefill = mean != meanPrefill_.end() && mean->second.value()
        ? Milliseconds(*mean->second.value())
        : prefillTime(query.sharedTokens + query.ownTokens);
    work.meanDuration = reports_.meanDuration(query.service).value_or(work.meanPrefill);
    return work;
}

ServerWork ServerChooser::serverWork(const Candidate &candidate, bool cached,
                                     const PromptWork &prompt) const
{
    ServerWork work{
        .inFlight = candidate.load, .slots = candidate.server->entry.slots, .cached = cached};
    if (candidate.waiting > 0) {
        const int own = loads_.own(candidate.server->entry.id).waiting;
        work.waiting = own + stillWaiting(candidate.waiting - own, reportAge_, prompt.meanPrefill);
    }
    return work;
}

void ServerChooser::addReports(const ServerState &server, const PromptWork &prompt, TimePoint now,
                               ServerWork &work) const
{
    const auto &entry = server.entry;
    const auto pace = reports_.pace(entry.id, now);
    if (pace.reported || pace.factor >= minEstimatedPace)
        work.pace = pace.factor;
    if (const auto report = reports_.load(entry.id, now)) {
        const int most = static_cast<int>(entry.slots * (1 + maxQueuedPerSlot));
        const int waiting = std::min(report->waiting, most);
        // Without the waiting ones, which LoadTable has too. Adding them made a simulated fleet
        // process 1.8 times as many tokens again.
        work.inFlight = std::max(work.inFlight, std::min(report->running, most));
        work.waiting =
            std::max(work.waiting, stillWaiting(waiting, now - report->time, prompt.meanPrefill));
    }
}

Placement ServerChooser::chooseByExpectedTime(std::vector<Candidate> &candidates,
                                              const PlacementQuery &query, TimePoint now) const
{
    const bool worthwhile = isCopyWorthwhile(query, now);
    rank(candidates, worthwhile);
    const auto pending = copies_.pendingServer(query.affinity, now);
    const auto isCached = [&](const Candidate &candidate) {
        const auto &server = *candidate.server;
        return candidate.hasCachedPrefix
            || (server.entry.id == pending
                && now - server.since > PromptCopyLimit::pendingLifetime);
    };
    // Without other knowledge the home counts as caching the prefix, as it does for copies. A
    // prefix that is new goes there from all instances and is processed once.
    const auto &home = candidates.front();
    const bool homeHasIt =
        !isWarmingUp(*home.server, now) && std::ranges::none_of(candidates, isCached);
    const bool mayCopy =
        worthwhile && std::ranges::any_of(candidates, [&](const Candidate &candidate) {
            return (candidate.hasCachedPrefix || (homeHasIt && &candidate == &home))
                && copies_.mayCopyFrom(candidate.server->entry.id, now);
        });
    const auto prompt = promptWork(query, mayCopy);
    const double bound = spillBound(meanLoad(query.service, now));
    constexpr double fastest = ServerReports::minPacePercent / 100.0;
    const Candidate *best = nullptr;
    Milliseconds least{0};
    double pace = 1;
    for (const auto &candidate : candidates) {
        if (candidate.load + candidate.penalty + 1 > bound)
            continue;
        const bool cached = isCached(candidate) || (homeHasIt && &candidate == &home);
        const double needed = cached ? improvementNeeded : improvementNeededWithoutPrefix;
        auto work = serverWork(candidate, cached, prompt);
        // Most servers can't be better at any pace, which saves reading their reports.
        work.pace = fastest;
        if (best && expectedFirstEvent(work, prompt) >= least * needed)
            continue;
        work.pace = 1;
        addReports(*candidate.server, prompt, now, work);
        const auto expected = expectedFirstEvent(work, prompt);
        if (best && expected >= least * needed)
            continue;
        best = &candidate;
        least = expected;
        pace = work.pace;
    }
    if (!best)
        return leastLoaded(candidates);
    return {.server = best->server->entry.id,
            .reason = best == &home ? PlacementReason::Home : PlacementReason::Spilled,
            .load = best->load,
            .expected = std::chrono::ceil<std::chrono::milliseconds>(least),
            .pacePercent = percentOf(pace)};
}

void ServerChooser::recordPrompt(const PlacementQuery &query, const Placement &placement,
                                 TimePoint now)
{
    const bool isHolder = std::ranges::any_of(
        query.holders, [&](const auto &holder) { return holder.server == placement.server; });
    const bool cached = isHolder || !placement.copySource.empty()
        || copies_.pendingServer(query.affinity, now) == placement.server;
    const auto tokens = query.ownTokens + (cached ? 0 : query.sharedTokens);
    meanPrefill_.try_emplace(query.service, prefillWeight)
        .first->second.add(prefillTime(tokens).count());
    copies_.recordUse(query.affinity, placement.server, now);
    if (placement.copySource.empty())
        return;
    const auto *policy = fleet_.config()->findService(query.service);
    const auto lasts =
        std::max(Milliseconds(placement.expected), copyTime(query.sharedTokens, *policy));
    copies_.copyStarted(placement.copySource, now + std::chrono::ceil<Duration>(lasts), now);
}

} // namespace jy
