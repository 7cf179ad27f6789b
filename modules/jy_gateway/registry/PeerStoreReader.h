#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/model/FleetChange.h"
#include "jy_gateway/registry/StoreCopy.h"
#include "jy_http/client/HttpClient.h"

#include <functional>
#include <optional>
#include <vector>

namespace jy {

/**
 * Instances that read the store themselves, best first for @p self.
 *
 * The readers are those with the widest links among @p live, by rendezvous hashing among equals:
 * after a gap in the history, a reader sends complete copies to all that follow it. Each other
 * instance prefers another one of them, so that they share the load.
 *
 * @param live instances that answer, with the own one
 * @returns an empty list when @p self is a reader
 */
std::vector<RegisteredInstance> readersFor(const InstanceId &self,
                                           const std::vector<RegisteredInstance> &live);

struct PeerStoreReaderSettings
{
    /** Longest wait of one call to a reader. */
    std::chrono::milliseconds wait{600};

    /** Time for a call besides its wait; a reader answers within a few milliseconds. */
    std::chrono::milliseconds margin{350};

    /** A reader whose last word from the store is older than this is not followed. */
    std::chrono::milliseconds longestAge{1100};

    /**
     * Time after a failed call to the store in which a follower asks readers only. They notice the
     * end of an outage within 0.4 s; without this pause the whole fleet calls the store meanwhile.
     */
    std::chrono::milliseconds directPause{1500};
};

/**
 * Reads the store through a few instances instead of directly, so that calls to the store do not
 * grow with the fleet. Falls back to the store when no reader gives a fresh copy.
 */
class PeerStoreReader
{
public:
    /** Control addresses of the readers to follow; empty: read the store. */
    using Readers = std::function<std::vector<Endpoint>()>;

    /** @param direct and @p client must outlive this object */
    PeerStoreReader(const SharedStore &direct, HttpClient &client, Readers readers,
                    PeerStoreReaderSettings settings);

    /** A store whose reading calls go through this object, which must outlive it. */
    SharedStore store();

    /** Whether the last answer came from the store itself. */
    bool readsDirectly() const { return direct_; }

private:
    Result<StorePage> list(const std::string &prefix, const std::string &after);
    Result<StorePage> watch(const std::string &prefix, std::uint64_t revision,
                            std::chrono::milliseconds wait);
    /** Calls the store, unless that has just failed. */
    Result<StorePage> callStore(const std::function<Result<StorePage>()> &call);
    Result<StorePage> ask(const Endpoint &reader, const std::string &target,
                          std::chrono::milliseconds timeout);

    const SharedStore &directStore_;
    HttpClient &client_;
    Readers readers_;
    PeerStoreReaderSettings settings_;
    bool direct_ = true;
    std::optional<TimePoint> storeFailed_;
};

} // namespace jy
