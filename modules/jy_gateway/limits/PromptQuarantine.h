#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/limits/RequestKeys.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace jy {

/** How strongly the end of a server's connection indicates that a request crashed the server. */
enum class CrashEvidence {
    BeforeResponse, /**< nothing of a response had arrived; most such requests are bystanders */
    ResponseBegun, /**< the head had arrived, but no event or part of the body */
};

/** What a key identifies. */
enum class KeyScope { Part, WholeRequest };

/** A server that ended its connection while it ran a request with a prompt part, or one that is the
 * same as a whole. */
struct PartCrash
{
    PromptPartKey part = 0;

    /** Hash of the server's id. */
    std::uint32_t server = 0;
    CrashEvidence evidence = CrashEvidence::BeforeResponse;

    /** Time since the crash. */
    std::chrono::milliseconds age{0};
};

/** A prompt part or a request that is refused. */
struct QuarantinedPart
{
    PromptPartKey part = 0;

    /** Number of requests that were let through since to try the part again. */
    int probes = 0;

    /** Time until the next one may be let through; negative if it is overdue. */
    std::chrono::milliseconds untilProbe{0};
};

/** A suspected part or request to which a server has recently completed a response. */
struct SoundPart
{
    PromptPartKey part = 0;

    /** Time since the response. */
    std::chrono::milliseconds age{0};
};

/** What instances tell each other about prompt parts and requests that may crash servers. */
struct PartReport
{
    std::vector<PartCrash> crashes;
    std::vector<QuarantinedPart> quarantined;
    std::vector<SoundPart> sound;

    std::size_t size() const { return crashes.size() + quarantined.size() + sound.size(); }
};

/**
 * Finds prompt parts and whole requests that crash the servers which process them, and refuses
 * them. What holds for a part below holds for a whole request too.
 *
 * Each request with such a part ends one more server and the other requests there, whichever
 * server and instance it reaches. A part is quarantined once several servers have ended their
 * connections at the start of a response to it, at different times, and no server has recently
 * completed one. The other parts of these requests are cleared by the responses to sound requests
 * that share them.
 *
 * Instances tell each other of crashes, and object if they have recently seen a suspected part
 * answered. A part is quarantined only after others had the time to object. Quarantines are passed
 * on too, so that an instance that has just started learns of them. One of the instances lets a
 * request through after growing intervals; if it is answered, the quarantine ends everywhere.
 *
 * Fewer crashes are enough for a whole request than for a part, as other requests rarely share its
 * key. It is refused from then on, also while others may still object. A crash under the repeat of
 * a request that has already ended another server is weak evidence against its parts.
 *
 * The load that this answers: any rate of requests with a crashing part, while other requests share
 * all of its other parts; and any rate of one crashing request, sent by any number of callers.
 */
class PromptQuarantine
{
public:
    /** Sum of the weights of crashes from which a part or a request is quarantined. */
    static constexpr int thresholdOf(KeyScope scope) { return scope == KeyScope::Part ? 6 : 4; }

    /** Weight of a crash by its evidence: three begun responses or six requests are enough for a
     * part, two or four for a whole request. */
    static constexpr int weightOf(CrashEvidence evidence)
    {
        return evidence == CrashEvidence::ResponseBegun ? 2 : 1;
    }

    /** Crashes closer to each other than this count once: the loss of a rack or a failure domain
     * ends many servers at the same moment. */
    static constexpr std::chrono::milliseconds incidentGap{150};

    /** Time after which a crash no longer counts. */
    static constexpr std::chrono::seconds crashLifetime{30};

    /** Time for which a completed response shows that a part is sound. */
    static constexpr std::chrono::seconds soundTime{10};

    /** Time until the first request is let through, and its growth with each one that follows. */
    static constexpr std::chrono::seconds firstProbeInterval{15};
    static constexpr int probeGrowth = 3;
    static constexpr std::chrono::minutes longestProbeInterval{10};

    /** Maximum number of entries of a kind that wait to be sent. */
    static constexpr std::size_t maxPending = 16;

    /** Maximum number of quarantines; callers may make up any number of crashing requests. */
    static constexpr std::size_t maxQuarantines = 256;

    /** Number of quarantines that a complete heartbeat repeats. */
    static constexpr std::size_t repeatedQuarantines = 2;

    /** Number of heartbeats that carry an entry, so that one lost datagram does no harm. */
    static constexpr int sendsPerEntry = 2;

    /** A part or request whose quarantine began or ended. */
    struct Change
    {
        PromptPartKey part = 0;
        bool quarantined = false;

        /** Number of servers that ended under the part, as far as this instance knows. */
        std::size_t servers = 0;
    };

    explicit PromptQuarantine(InstanceId self);

    /** Sets the live instances, including this one; one of them probes quarantined parts. */
    void setInstances(const std::set<InstanceId> &live);

    /** Sets the time that others get to object: that of a report and of the response to it. */
    void setObjectionTime(std::chrono::milliseconds time) { objectionTime_ = time; }

    /** A server completed its response to a request with these keys. */
    void responseCompleted(const RequestKeys &keys, TimePoint now);

    /** A server ended its connection while it ran a request with these keys. */
    void connectionEnded(const RequestKeys &keys, const ServerId &server, CrashEvidence evidence,
                         TimePoint now);

    /**
     * Whether a request with these keys may be sent to a server. Lets one request through when a
     * probe is due.
     *
     * @returns nothing if it may, otherwise the time after which it may be tried again
     */
    std::optional<std::chrono::milliseconds> check(const RequestKeys &keys, TimePoint now);

    /** Takes what the next heartbeat says about parts; nothing while none is suspected.
     *
     * @param maxEntries limit of each list
     * @param complete repeats quarantines by turns, for instances that have just started
     */
    PartReport takeReport(std::size_t maxEntries, bool complete, TimePoint now);

    /** Takes what the next report to the other groups says about parts. */
    PartReport takeGroupReport(std::size_t maxEntries, TimePoint now);

    /** Adds what another instance of the same group reported, which is passed on to the other
     * groups. */
    void receive(const PartReport &report, TimePoint now);

    /** Adds what another group reported. */
    void receiveFromGroup(const PartReport &report, TimePoint now);

    /** Quarantines the parts that nobody objected to, and drops what has expired. @returns the
     * changes since the last call */
    std::vector<Change> update(TimePoint now);

private:
    struct Crash
    {
        CrashEvidence evidence = CrashEvidence::BeforeResponse;
        TimePoint time;
    };

    struct Suspect
    {
        /** That of a key that others reported is known from the first request with it. */
        KeyScope scope = KeyScope::Part;

        /** By the hash of the server's id: a server that fails repeatedly counts once. */
        std::map<std::uint32_t, Crash> crashes;

        /** When the crashes reached the threshold. */
        std::optional<TimePoint> suspectedSince;
    };

    struct Quarantine
    {
        int probes = 0;
        TimePoint nextProbe;
    };

    struct PendingCrash
    {
        PromptPartKey part = 0;
        std::uint32_t server = 0;
        Crash crash;
        int sends = sendsPerEntry;
    };

    /** Entries that wait to be sent. Parts are sent with their latest state. */
    struct Outbox
    {
        std::vector<PendingCrash> crashes;
        std::map<PromptPartKey, int> sound;
        std::map<PromptPartKey, int> quarantined;
    };

    static void queueCrash(Outbox &outbox, const PendingCrash &crash);
    static void queuePart(std::map<PromptPartKey, int> &parts, PromptPartKey part);
    PartReport take(Outbox &outbox, std::size_t maxEntries, TimePoint now);
    QuarantinedPart describe(PromptPartKey part, TimePoint now) const;

    /** Last completed response by key, in two periods, so that old ones are dropped without a
     * search. */
    struct Completions
    {
        std::unordered_map<PromptPartKey, TimePoint> latest;
        std::unordered_map<PromptPartKey, TimePoint> before;
        TimePoint since;
    };

    void noteCrash(PromptPartKey key, std::uint32_t server, const Crash &crash);

    /** Sets the scope of a request's suspected key, and evaluates the key. */
    void evaluateRequest(PromptPartKey request, TimePoint now);

    /** Whether another server than this one ended under the whole request before. */
    bool hasEndedAnother(PromptPartKey request, std::uint32_t server) const;

    /** Time for which a whole request is refused while others may object to its quarantine. */
    std::optional<std::chrono::milliseconds> objectionWait(PromptPartKey request,
                                                           TimePoint now) const;

    /** Another instance suspects the part: objects if this one knows better. */
    void answerSuspicion(PromptPartKey part, TimePoint now);

    /** @returns whether the crash was not known and the part is not known to be sound */
    bool addCrash(PromptPartKey key, std::uint32_t server, const Crash &crash);
    void noteCompleted(PromptPartKey key, KeyScope scope, TimePoint time);
    std::optional<TimePoint> lastCompleted(PromptPartKey part) const;
    bool isSound(PromptPartKey part, TimePoint now) const;
    static int totalWeight(const Suspect &suspect);

    /** Quarantines a suspected part if nobody objected in time. */
    void evaluate(PromptPartKey part, TimePoint now);
    void startQuarantine(PromptPartKey part, const Quarantine &quarantine);

    InstanceId self_;
    bool isProber_ = true;
    std::chrono::milliseconds objectionTime_{300};
    std::map<PromptPartKey, Suspect> suspects_;
    std::map<PromptPartKey, Quarantine> quarantined_;

    Outbox heartbeats_;

    /** The part whose quarantine was repeated last. */
    PromptPartKey lastRepeated_ = 0;
    Outbox groupReports_;

    /** When this instance or another one last objected to the suspicion of a part. */
    std::map<PromptPartKey, TimePoint> objections_;

    /** Apart, because whole requests are many and would displace the parts. */
    Completions completedParts_;
    Completions completedRequests_;

    std::vector<Change> changes_;
};

} // namespace jy
