#pragma once

#include "jy_base/time/TimeTypes.h"
#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/registry/StoreMirror.h"
#include "jy_runtime/supervision/StopToken.h"

#include <chrono>
#include <functional>

namespace jy {

struct StoreSyncSettings
{
    /**
     * Longest wait of one watch. Short, because a connection may fail without an error, which is
     * noticed only when the watch times out.
     */
    std::chrono::milliseconds watchWait{600};

    /**
     * Pause after a watch of the store itself that returned changes, so that one call reads all
     * changes that follow shortly: calls to the store are charged. A small part of the two seconds
     * within which a change must take effect. Instances that read a copy do not pause: it already
     * changes no more often than this.
     */
    std::chrono::milliseconds batchPause{400};

    /** Pause after a failed call, and between lists in a row; doubles up to maxRetryPause. */
    std::chrono::milliseconds initialRetryPause{100};
    std::chrono::milliseconds maxRetryPause{400};
};

/** Keeps a StoreMirror up to date: reads one complete list of each era, then watches from its
 * revision. */
class StoreSync
{
public:
    struct Hooks
    {
        /** A call to the store failed. Not called again before returned(). */
        std::function<void(const Error &)> lost;

        /** A call succeeded again after lost(). Called before its items are merged. */
        std::function<void()> returned;

        /** A list of a later era is about to replace the copy; may be empty. */
        std::function<void()> restored;

        /** A list or a change was merged. */
        std::function<void()> merged;

        /** Whether the last call read the store itself rather than a copy. */
        std::function<bool()> readsStore;

        /** Latest era that this process knows, also from other calls. */
        std::function<StoreEra()> latestEra;
    };

    StoreSync(const SharedStore &store, StoreMirror &mirror, StoreSyncSettings settings,
              Hooks hooks);

    /** Reads the store until a stop is requested. Runs as a child of the supervisor. */
    void run(StopToken &stop);

    /** Time since the last response of the store; before the first one, since the epoch of the
     * clock. */
    Duration age(TimePoint now) const;

    /** Whether the last call failed. */
    bool lost() const { return lost_; }

    /** Whether the last call succeeded and a complete list of the latest era has been read. */
    bool inContact() const { return !lost_ && !needsList(); }

private:
    bool needsList() const;
    Result<void> list();
    Result<StorePage> readList() const;
    Result<void> watch();
    void noteResponse();

    const SharedStore &store_;
    StoreMirror &mirror_;
    StoreSyncSettings settings_;
    Hooks hooks_;
    bool historyLost_ = false;

    /** Whether the last watch returned changes, so that more may follow shortly. */
    bool changed_ = false;
    TimePoint lastResponse_;
    bool lost_ = false;
};

} // namespace jy
