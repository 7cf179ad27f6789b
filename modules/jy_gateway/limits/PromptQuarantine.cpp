#include "jy_gateway/limits/PromptQuarantine.h"

#include "jy_base/hashing/StableHash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jy {

namespace {

using std::chrono::milliseconds;

// A mass failure makes suspects of all prompts that were in progress; the strongest are kept.
constexpr std::size_t maxSuspects = 256;

// Bounds the parts remembered within soundTime; an instance completes fewer responses in that time.
constexpr std::size_t maxCompleted = 16384;

// Retry-After while another instance is to let the next request through.
constexpr milliseconds probeOverdueWait{1000};

// The same on all instances, so that all quarantined parts of a request have the same prober.
constexpr std::uint64_t proberKey = 0x70726f62;

milliseconds probeInterval(int probes)
{
    milliseconds interval = PromptQuarantine::firstProbeInterval;
    for (int i = 0; i < probes && interval < PromptQuarantine::longestProbeInterval; ++i)
        interval *= PromptQuarantine::probeGrowth;
    return std::min<milliseconds>(interval, PromptQuarantine::longestProbeInterval);
}

milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace

PromptQuarantine::PromptQuarantine(InstanceId self)
    : self_(std::move(self))
{ }

void PromptQuarantine::setInstances(const std::set<InstanceId> &live)
{
    const auto own = rendezvousScore(proberKey, self_.value());
    isProber_ = std::ranges::none_of(live, [&](const InstanceId &other) {
        return other != self_ && rendezvousScore(proberKey, other.value()) > own;
    });
}

void PromptQuarantine::responseCompleted(const RequestKeys &keys, TimePoint now)
{
    for (const auto part : keys.parts)
        noteCompleted(part, KeyScope::Part, now);
    if (keys.request)
        noteCompleted(*keys.request, KeyScope::WholeRequest, now);
}

void PromptQuarantine::noteCompleted(PromptPartKey key, KeyScope scope, TimePoint time)
{
    auto &completed = scope == KeyScope::Part ? completedParts_ : completedRequests_;
    if (time - completed.since > soundTime || completed.latest.size() >= maxCompleted) {
        completed.before = std::exchange(completed.latest, {});
        completed.since = time;
    }
    auto &latest = completed.latest[key];
    latest = std::max(latest, time);
    suspects_.erase(key);
    if (quarantined_.erase(key) > 0)
        changes_.push_back({.part = key, .quarantined = false});
}

std::optional<TimePoint> PromptQuarantine::lastCompleted(PromptPartKey part) const
{
    std::optional<TimePoint> latest;
    for (const auto *times : {&completedParts_.latest, &completedParts_.before,
                              &completedRequests_.latest, &completedRequests_.before}) {
        const auto found = times->find(part);
        if (found != times->end())
            latest = std::max(latest.value_or(found->second), found->second);
    }
    return latest;
}

bool PromptQuarantine::isSound(PromptPartKey part, TimePoint now) const
{
    const auto completed = lastCompleted(part);
    return completed && now - *completed <= soundTime;
}

void PromptQuarantine::connectionEnded(const RequestKeys &keys, const ServerId &server,
                                       CrashEvidence evidence, TimePoint now)
{
    const auto serverHash = static_cast<std::uint32_t>(stableHash(server.value()));
    auto partEvidence = evidence;
    if (keys.request) {
        if (hasEndedAnother(*keys.request, serverHash))
            partEvidence = CrashEvidence::BeforeResponse;
        noteCrash(*keys.request, serverHash, {evidence, now});
        evaluateRequest(*keys.request, now);
    }
    for (const auto part : keys.parts)
        noteCrash(part, serverHash, {partEvidence, now});
}

void PromptQuarantine::noteCrash(PromptPartKey key, std::uint32_t server, const Crash &crash)
{
    if (!addCrash(key, server, crash))
        return;
    queueCrash(heartbeats_, {key, server, crash});
    queueCrash(groupReports_, {key, server, crash, 1});
}

bool PromptQuarantine::hasEndedAnother(PromptPartKey request, std::uint32_t server) const
{
    const auto found = suspects_.find(request);
    return quarantined_.contains(request)
        || (found != suspects_.end()
            && std::ranges::any_of(found->second.crashes,
                                   [&](const auto &entry) { return entry.first != server; }));
}

bool PromptQuarantine::addCrash(PromptPartKey key, std::uint32_t server, const Crash &crash)
{
    const auto completed = lastCompleted(key);
    if (completed && *completed >= crash.time)
        return false;
    if (suspects_.size() >= maxSuspects && !suspects_.contains(key))
        suspects_.erase(std::ranges::min_element(
            suspects_, {}, [](const auto &entry) { return totalWeight(entry.second); }));
    auto [known, added] = suspects_[key].crashes.try_emplace(server, crash);
    if (!added)
        known->second.evidence = std::max(known->second.evidence, crash.evidence);
    return added && !isSound(key, crash.time);
}

int PromptQuarantine::totalWeight(const Suspect &suspect)
{
    std::vector<Crash> crashes;
    for (const auto &[server, crash] : suspect.crashes)
        crashes.push_back(crash);
    std::ranges::sort(crashes, {}, &Crash::time);
    int total = 0;
    int heaviest = 0;
    std::optional<TimePoint> incident;
    for (const auto &crash : crashes) {
        if (!incident || crash.time - *incident >= incidentGap) {
            incident = crash.time;
            total += std::exchange(heaviest, 0);
        }
        heaviest = std::max(heaviest, weightOf(crash.evidence));
    }
    return total + heaviest;
}

void PromptQuarantine::evaluate(PromptPartKey part, TimePoint now)
{
    const auto found = suspects_.find(part);
    if (found == suspects_.end() || quarantined_.contains(part))
        return;
    auto &suspect = found->second;
    if (isSound(part, now) || totalWeight(suspect) < thresholdOf(suspect.scope)) {
        suspect.suspectedSince.reset();
        return;
    }
    if (!suspect.suspectedSince)
        suspect.suspectedSince = now;
    if (now - *suspect.suspectedSince >= objectionTime_)
        startQuarantine(part, {.nextProbe = now + probeInterval(0)});
}

void PromptQuarantine::evaluateRequest(PromptPartKey request, TimePoint now)
{
    const auto found = suspects_.find(request);
    if (found != suspects_.end())
        found->second.scope = KeyScope::WholeRequest;
    evaluate(request, now);
}

std::optional<milliseconds> PromptQuarantine::objectionWait(PromptPartKey request,
                                                            TimePoint now) const
{
    const auto found = suspects_.find(request);
    if (found == suspects_.end() || !found->second.suspectedSince)
        return std::nullopt;
    return toMilliseconds(*found->second.suspectedSince + objectionTime_ - now);
}

void PromptQuarantine::startQuarantine(PromptPartKey part, const Quarantine &quarantine)
{
    if (quarantined_.size() >= maxQuarantines && !quarantined_.contains(part))
        quarantined_.erase(std::ranges::min_element(
            quarantined_, {}, [](const auto &entry) { return entry.second.nextProbe; }));
    quarantined_[part] = quarantine;
    queuePart(heartbeats_.quarantined, part);
    queuePart(groupReports_.quarantined, part);
    const auto suspect = suspects_.find(part);
    changes_.push_back(
        {.part = part,
         .quarantined = true,
         .servers = suspect == suspects_.end() ? 0 : suspect->second.crashes.size()});
}

std::optional<milliseconds> PromptQuarantine::check(const RequestKeys &keys, TimePoint now)
{
    if (suspects_.empty() && quarantined_.empty())
        return std::nullopt;
    std::vector<std::pair<PromptPartKey, Quarantine *>> matches;
    std::optional<milliseconds> wait;
    auto all = keys.parts;
    for (const auto part : keys.parts)
        evaluate(part, now);
    if (keys.request) {
        evaluateRequest(*keys.request, now);
        if (!quarantined_.contains(*keys.request))
            wait = objectionWait(*keys.request, now);
        all.push_back(*keys.request);
    }
    for (const auto part : all) {
        const auto found = quarantined_.find(part);
        if (found == quarantined_.end())
            continue;
        auto &quarantine = found->second;
        matches.emplace_back(part, &quarantine);
        if (now < quarantine.nextProbe)
            wait = std::max(wait.value_or(milliseconds(0)),
                            toMilliseconds(quarantine.nextProbe - now));
        else if (!isProber_)
            wait = std::max(wait.value_or(milliseconds(0)), probeOverdueWait);
    }
    if (wait)
        return wait;
    for (auto &[part, quarantine] : matches) {
        quarantine->nextProbe = now + probeInterval(++quarantine->probes);
        queuePart(heartbeats_.quarantined, part);
        queuePart(groupReports_.quarantined, part);
    }
    return std::nullopt;
}

void PromptQuarantine::queueCrash(Outbox &outbox, const PendingCrash &crash)
{
    outbox.crashes.push_back(crash);
    if (outbox.crashes.size() <= maxPending)
        return;
    const auto weakest = std::ranges::min_element(
        outbox.crashes, {}, [](const PendingCrash &pending) { return pending.crash.evidence; });
    outbox.crashes.erase(weakest);
}

void PromptQuarantine::queuePart(std::map<PromptPartKey, int> &parts, PromptPartKey part)
{
    if (parts.size() < maxPending || parts.contains(part))
        parts[part] = sendsPerEntry;
}

QuarantinedPart PromptQuarantine::describe(PromptPartKey part, TimePoint now) const
{
    const auto &quarantine = quarantined_.at(part);
    return {part, quarantine.probes, toMilliseconds(quarantine.nextProbe - now)};
}

PartReport PromptQuarantine::take(Outbox &outbox, std::size_t maxEntries, TimePoint now)
{
    PartReport report;
    const auto forEachPart = [&](std::map<PromptPartKey, int> &parts, const auto &add) {
        auto entry = parts.begin();
        for (std::size_t i = 0; i < maxEntries && entry != parts.end(); ++i) {
            add(entry->first);
            entry = --entry->second <= 0 ? parts.erase(entry) : std::next(entry);
        }
    };
    forEachPart(outbox.sound, [&](PromptPartKey part) {
        if (isSound(part, now))
            report.sound.push_back({part, toMilliseconds(now - *lastCompleted(part))});
    });
    forEachPart(outbox.quarantined, [&](PromptPartKey part) {
        if (quarantined_.contains(part))
            report.quarantined.push_back(describe(part, now));
    });
    std::ranges::stable_sort(outbox.crashes, std::ranges::greater(),
                             [](const PendingCrash &pending) { return pending.crash.evidence; });
    const auto count = std::min(maxEntries, outbox.crashes.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto &pending = outbox.crashes[i];
        --pending.sends;
        report.crashes.push_back({pending.part, pending.server, pending.crash.evidence,
                                  toMilliseconds(now - pending.crash.time)});
    }
    std::erase_if(outbox.crashes, [](const PendingCrash &pending) { return pending.sends <= 0; });
    return report;
}

PartReport PromptQuarantine::takeReport(std::size_t maxEntries, bool complete, TimePoint now)
{
    auto report = take(heartbeats_, maxEntries, now);
    if (!complete)
        return report;
    report.quarantined.clear();
    const auto count = std::min(repeatedQuarantines, quarantined_.size());
    for (std::size_t i = 0; i < count; ++i) {
        auto next = quarantined_.upper_bound(lastRepeated_);
        if (next == quarantined_.end())
            next = quarantined_.begin();
        lastRepeated_ = next->first;
        report.quarantined.push_back(describe(lastRepeated_, now));
    }
    return report;
}

PartReport PromptQuarantine::takeGroupReport(std::size_t maxEntries, TimePoint now)
{
    return take(groupReports_, maxEntries, now);
}

void PromptQuarantine::answerSuspicion(PromptPartKey part, TimePoint now)
{
    const auto last = objections_.find(part);
    if (!isSound(part, now) || (last != objections_.end() && now - last->second < objectionTime_))
        return;
    objections_[part] = now;
    queuePart(heartbeats_.sound, part);
    queuePart(groupReports_.sound, part);
}

void PromptQuarantine::receive(const PartReport &report, TimePoint now)
{
    for (const auto &crash : report.crashes)
        queueCrash(groupReports_, {crash.part, crash.server, {crash.evidence, now - crash.age}, 1});
    for (const auto &sound : report.sound)
        queuePart(groupReports_.sound, sound.part);
    receiveFromGroup(report, now);
}

void PromptQuarantine::receiveFromGroup(const PartReport &report, TimePoint now)
{
    for (const auto &sound : report.sound) {
        objections_[sound.part] = now;
        if (sound.age <= soundTime)
            noteCompleted(sound.part, KeyScope::Part, now - sound.age);
    }
    for (const auto &crash : report.crashes) {
        answerSuspicion(crash.part, now);
        if (crash.age <= crashLifetime)
            addCrash(crash.part, crash.server, {crash.evidence, now - crash.age});
    }
    for (const auto &other : report.quarantined) {
        answerSuspicion(other.part, now);
        if (isSound(other.part, now) || other.untilProbe < -longestProbeInterval)
            continue;
        const Quarantine quarantine{other.probes, now + other.untilProbe};
        const auto known = quarantined_.find(other.part);
        if (known == quarantined_.end())
            startQuarantine(other.part, quarantine);
        else if (known->second.probes < other.probes)
            known->second = quarantine;
    }
}

std::vector<PromptQuarantine::Change> PromptQuarantine::update(TimePoint now)
{
    for (auto &[part, suspect] : suspects_) {
        std::erase_if(suspect.crashes,
                      [&](const auto &entry) { return now - entry.second.time > crashLifetime; });
        evaluate(part, now);
    }
    std::erase_if(suspects_, [](const auto &entry) { return entry.second.crashes.empty(); });
    std::erase_if(objections_, [&](const auto &entry) { return now - entry.second > soundTime; });
    // Nobody has sent a request with the part since the probe was due.
    std::erase_if(quarantined_, [&](const auto &entry) {
        return now - entry.second.nextProbe > longestProbeInterval;
    });
    return std::exchange(changes_, {});
}

} // namespace jy
