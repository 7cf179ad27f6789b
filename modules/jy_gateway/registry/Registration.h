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
     * Lifetime of the entry without renewal. Heartbeats tell sooner that an instance died; the
     * entry only introduces it to those that have not heard it. Renewals are most of the calls to
     * the store in a large fleet.
     */
    std::chrono::milliseconds lifetime{8000};

    /** Time between two renewals; two may fail before the entry ends. */
    std::chrono::milliseconds renewal{2600};

    /** Pause after a failed registration; doubles up to the longest one. */
    std::chrono::milliseconds retryPause{300};
    std::chrono::milliseconds longestRetryPause{1200};
};

/** Keeps the own entry in the store under a lease, so that other instances find this one. */
class Registration
{
public:
    Registration(const SharedStore &store, std::string key, std::string value,
                 RegistrationSettings settings);

    /** Child of the supervisor: registers and renews until a stop is requested. */
    void run(StopToken &stop);

    /** Removes the entry. Later calls of run() have no effect. */
    void withdraw();

private:
    Result<void> enter();
    void noteFailure(std::string_view event, const Error &error);

    const SharedStore &store_;
    std::string key_;
    std::string value_;
    RegistrationSettings settings_;
    std::uint64_t lease_ = 0;
    bool withdrawn_ = false;
    bool failing_ = false;
};

} // namespace jy
