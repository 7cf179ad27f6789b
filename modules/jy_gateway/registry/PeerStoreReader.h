#pragma once

#include "jy_base/ids/Ids.h"
#include "jy_base/net/Endpoint.h"
#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/model/FleetChange.h"
#include "jy_gateway/registry/StoreCopy.h"
#include "jy_gateway/registry/StoreEraTracker.h"
#include "jy_http/client/HttpClient.h"

#include <functional>
#include <optional>
#include <vector>

namespace jy {

/**
 * Selects the instances that read the store directly, in the order in which @p self should try
 * them.
 *
 * The readers are the instances of @p live with the most link bandwidth, because after a gap in the
 * history a reader sends complete copies to all its followers. Rendezvous hashing decides among
 * equals, and orders the readers differently for each follower, so that they share the load.
 *
 * @param live live instances, including @p self
 * @returns an empty list if @p self is a reader
 */
std::vector<RegisteredInstance> storeReadersFor(const InstanceId &self,
                                                const std::vector<RegisteredInstance> &live);

struct PeerStoreReaderSettings
{
    /** Time for which a reader may hold a watch call open until there are changes. */
    std::chrono::milliseconds wait{600};

    /** Time that a call may take in addition to its wait; readers respond within a few
     * milliseconds. */
    std::chrono::milliseconds margin{350};

    /** Maximum age of a reader's copy: the time since the store last responded to the reader. */
    std::chrono::milliseconds maxAge{1100};

    /**
     * Time after a failed call to the store during which a follower calls readers only. Readers
     * notice the end of an outage within 0.4 s; without this pause the whole fleet would call the
     * store during the outage.
     */
    std::chrono::milliseconds directPause{1500};
};

/**
 * Reads the shared store through a few instances, the readers, instead of directly, so that the
 * number of calls to the store does not grow with the fleet. Falls back to the store if no reader
 * provides a recent copy of the latest known era.
 */
class PeerStoreReader
{
public:
    /** Returns the control addresses of the readers, best first; empty to read the store directly.
     */
    using Readers = std::function<std::vector<Endpoint>()>;

    /** @p direct, @p client and @p era must outlive this object. */
    PeerStoreReader(const SharedStore &direct, HttpClient &client, StoreEraTracker &era,
                    Readers readers, PeerStoreReaderSettings settings);

    /** Returns a store whose read calls go through this object, which must outlive the store. */
    SharedStore store();

    /** Whether the last read call used the store itself rather than a reader. */
    bool readsDirectly() const { return direct_; }

private:
    Result<StorePage> list(const std::string &prefix, const std::string &after);
    Result<StorePage> watch(const std::string &prefix, StorePosition after,
                            std::chrono::milliseconds wait);
    /** Calls the store directly, unless the last such call failed within directPause. */
    Result<StorePage> callStore(const std::function<Result<StorePage>()> &call);
    Result<StorePage> fetchPage(const Endpoint &reader, const std::string &target,
                                std::chrono::milliseconds timeout);

    const SharedStore &directStore_;
    HttpClient &client_;
    StoreEraTracker &era_;
    Readers readers_;
    PeerStoreReaderSettings settings_;
    bool direct_ = true;
    std::optional<TimePoint> storeFailed_;
};

} // namespace jy
