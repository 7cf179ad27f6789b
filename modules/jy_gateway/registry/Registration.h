#pragma once

#include "jy_gateway/adapter/SharedStore.h"
#include "jy_runtime/supervision/StopToken.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace jy {

struct RegistrationSettings
{
    /**
     * Lifetime of the entry without renewal. May be long, because heartbeats detect a dead instance
     * sooner; the entry only announces an instance to others that got no heartbeat of it yet.
     * Renewals are most of the calls to the store in a large fleet.
     */
    std::chrono::milliseconds lifetime{8000};

    /** Time between two renewals; two may fail before the entry expires. */
    std::chrono::milliseconds renewal{2600};

    /** Pause after a failed registration; doubles up to maxRetryPause. */
    std::chrono::milliseconds retryPause{300};
    std::chrono::milliseconds maxRetryPause{1200};

    /** After a restore of the store, instances register again within this time, each at its own
     * moment, because a large fleet would exceed the rate limit of the store otherwise. */
    std::chrono::milliseconds restoreSpread{2000};
};

/**
 * Keeps the entry of this instance in the store under a lease, so that others can find it.
 *
 * The lease belongs to the era in which it was granted. Once a later era is known, the instance
 * registers again, and the identifier, which may be that of another lease then, is used no more.
 */
class Registration
{
public:
    /** @param storeEra latest known era, updated before any response of the store is returned */
    Registration(const SharedStore &store, std::string key, std::string value,
                 RegistrationSettings settings, std::function<StoreEra()> storeEra);

    /** Registers and renews the lease until a stop is requested. Runs as a child of the supervisor.
     */
    void run(StopToken &stop);

    /** Removes the entry. Calls of run() have no effect afterwards. */
    void withdraw();

private:
    Result<void> createEntry();
    bool registered() const { return lease_ != 0 && era_ == storeEra_(); }

    /** Waits for the next renewal, or for less if the store was restored. */
    void sleepUntilRenewal(StopToken &stop);
    void logFailure(std::string_view event, const Error &error);

    const SharedStore &store_;
    std::string key_;
    std::string value_;
    RegistrationSettings settings_;
    std::function<StoreEra()> storeEra_;
    std::uint64_t lease_ = 0;

    /** Era in which the lease was granted. */
    StoreEra era_ = 0;
    bool withdrawn_ = false;
    bool failing_ = false;
};

} // namespace jy
