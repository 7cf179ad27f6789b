#pragma once

#include "jy_core/config/ConfigApply.h"
#include "jy_core/config/ConfigReadiness.h"
#include "jy_core/config/ConfigReplica.h"
#include "jy_peer/generated/peer.pb.h"
#include "jy_runtime/events/Event.h"
#include "jy_runtime/supervision/StopToken.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jy {

/** Another live router as membership sees it. */
struct ConfigPeer
{
    InstanceId id;

    /** The revision in force there, as learned by gossip. */
    std::uint64_t appliedRevision = 0;
};

/** On which live routers the head revision is in force. */
struct ConfigStatus
{
    /** In force on this router. */
    std::uint64_t revision = 0;

    /** The highest revision that this router has learned of. */
    std::uint64_t headRevision = 0;

    /** Live routers, including this one, with the head revision. */
    std::size_t inForce = 0;

    /** Live routers with a lower one. */
    std::vector<InstanceId> lagging;

    bool ready = false;
    bool kvAvailable = true;
};

struct ConfigDriverSettings
{
    InstanceId self;

    /** Longest time that one watch of the head is pending. */
    std::chrono::milliseconds watchWait{30'000};

    /** Interval of the checks for a higher revision, a pause and readiness. */
    std::chrono::milliseconds checkInterval{250};

    /** Pause after a failed call to the KV service, doubled up to the maximum. */
    std::chrono::milliseconds kvPause{200};
    std::chrono::milliseconds kvPauseMax{5'000};

    std::chrono::milliseconds fetchTimeout{1'000};

    /**
     * A check that is late by this much means that the process was paused, and other routers may
     * have declared it dead; death is declared after 3 to 5 s.
     */
    std::chrono::milliseconds pauseLimit{2'500};

    /** Peers asked in one round while the KV service is down. */
    std::size_t roundPeers = 8;

    /** Largest sum of part sizes in one FetchConfig reply; gRPC limits a message to 4 MB. */
    std::size_t replyBytes = 3'000'000;

    ConfigApplySettings apply;

    /** Seed of the choice of peers. */
    std::uint64_t seed = 1;
};

/**
 * Keeps the desired state of this router current: watches the head in the KV service when chosen
 * for it, otherwise fetches changed parts from peers that hold a higher revision, and from the KV
 * service when no peer can deliver it. Serves its parts to peers and applies operators' files.
 */
class ConfigDriver
{
public:
    struct Dependencies
    {
        std::function<Result<std::optional<KvValue>>(const std::string &key)> readKey;

        /** Returns when the index differs from @p afterIndex or @p maxWait has passed. */
        std::function<Result<std::optional<KvValue>>(
            const std::string &key, std::uint64_t afterIndex, std::chrono::milliseconds maxWait)>
            watchKey;

        std::function<Result<std::uint64_t>(const std::string &key, const std::string &value,
                                            std::uint64_t expectedIndex)>
            swapKey;

        /** Whether this router is one of the watchers of its region. */
        std::function<bool()> watchesHead;

        /** All other live routers. */
        std::function<std::vector<ConfigPeer>()> peers;

        std::function<Result<peer::FetchConfigReply>(const InstanceId &peer,
                                                     const peer::FetchConfigRequest &request,
                                                     std::chrono::milliseconds timeout)>
            fetchConfig;

        /** Tells peers at once that a revision is in force here. */
        std::function<void(std::uint64_t revision)> announce;

        EventSink events;
        std::function<TimePoint()> now = std::chrono::steady_clock::now;
        std::function<WallTime()> wallNow = std::chrono::system_clock::now;
    };

    /** Must not suspend the fiber, so that subscribers see revisions in order. */
    using Subscriber = std::function<void(std::shared_ptr<const DesiredState>)>;

    ConfigDriver(ConfigDriverSettings settings, Dependencies dependencies);

    /** Fiber bodies, one supervised child each. */
    void watch(StopToken &stop);
    void follow(StopToken &stop);

    /** Calls @p subscriber for each revision, and at once if there is one. */
    void subscribe(Subscriber subscriber);

    /** A peer named a revision, for example in a datagram. */
    void onRevisionHeard(std::uint64_t revision);

    /** Answers FetchConfig of a peer. */
    peer::FetchConfigReply serve(const peer::FetchConfigRequest &request) const;

    /** Puts an operator's file in force; suspends the calling fiber. */
    Result<ConfigApplied> apply(ConfigApplyRequest request);

    std::shared_ptr<const DesiredState> current() const { return replica_.current(); }
    bool ready() const { return readiness_.ready(); }
    ConfigStatus status() const;

private:
    /** Where an offered revision came from, for the timeline. */
    using Source = std::string;

    bool offer(const std::string &head, std::vector<std::string> contents, const Source &source);
    void publish(const ConfigAdopted &adopted, const Source &source);
    Result<std::uint64_t> takeHead(const std::optional<KvValue> &head);
    Result<void> refreshFromKv();
    void setKvAvailable(bool available, const std::string &reason);
    bool refreshFromPeers();
    bool fetchFrom(const InstanceId &peer);
    void askPeersForReadiness();
    void updateReadiness();
    std::vector<ConfigPeer> shuffledPeers(std::uint64_t leastRevision);
    Result<ConfigApplied> runApply(ConfigApply &machine);
    void record(std::string kind, std::vector<EventField> fields);

    ConfigDriverSettings settings_;
    Dependencies dependencies_;
    ConfigReplica replica_;
    ConfigReadiness readiness_;
    std::vector<Subscriber> subscribers_;
    std::mt19937_64 random_;
    std::uint64_t highestHeard_ = 0;
    bool kvAvailable_ = true;
};

} // namespace jy
