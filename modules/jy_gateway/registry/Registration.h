#pragma once

#include "jy_gateway/adapter/SharedStore.h"
#include "jy_runtime/supervision/StopToken.h"

#include <chrono>
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
};

/** Keeps the entry of this instance in the store under a lease, so that others can find it. */
class Registration
{
public:
    Registration(const SharedStore &store, std::string key, std::string value,
                 RegistrationSettings settings);

    /** Registers and renews the lease until a stop is requested. Runs as a child of the supervisor.
     */
    void run(StopToken &stop);

    /** Removes the entry. Calls of run() have no effect afterwards. */
    void withdraw();

private:
    Result<void> createEntry();
    void logFailure(std::string_view event, const Error &error);

    const SharedStore &store_;
    std::string key_;
    std::string value_;
    RegistrationSettings settings_;
    std::uint64_t lease_ = 0;
    bool withdrawn_ = false;
    bool failing_ = false;
};

} // namespace jy
