#include "jy_gateway/registry/Registration.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>

namespace jy {

Registration::Registration(const SharedStore &store, std::string key, std::string value,
                           RegistrationSettings settings)
    : store_(store)
    , key_(std::move(key))
    , value_(std::move(value))
    , settings_(settings)
{ }

void Registration::run(StopToken &stop)
{
    auto pause = settings_.retryPause;
    while (!stop.stopRequested() && !withdrawn_) {
        if (lease_ == 0) {
            const auto created = createEntry();
            if (!created) {
                logFailure("registration-failed", created.error());
                stop.sleepFor(pause);
                pause = std::min(2 * pause, settings_.maxRetryPause);
                continue;
            }
            pause = settings_.retryPause;
        }
        stop.sleepFor(settings_.renewal);
        if (stop.stopRequested() || withdrawn_)
            return;
        const auto renewed = store_.renewLease(lease_);
        if (renewed) {
            failing_ = false;
            continue;
        }
        logFailure("lease-not-renewed", renewed.error());
        if (renewed.error().kind == ErrorKind::LeaseLost)
            lease_ = 0;
    }
}

void Registration::withdraw()
{
    withdrawn_ = true;
    if (lease_ == 0)
        return;
    const auto ended = store_.endLease(lease_);
    if (!ended)
        logFailure("lease-not-ended", ended.error());
}

void Registration::logFailure(std::string_view event, const Error &error)
{
    // Logs only the first of consecutive failures.
    if (!failing_)
        logEvent(LogLevel::Warn, event,
                 {{"kind", answerFor(error.kind).name}, {"reason", error.message}});
    failing_ = true;
}

Result<void> Registration::createEntry()
{
    BOOST_OUTCOME_TRY(const auto lease, store_.grantLease(settings_.lifetime));
    StoreTransaction transaction;
    transaction.writes.push_back({key_, value_, lease.id});
    BOOST_OUTCOME_TRY(const auto revision, store_.commit(transaction));
    lease_ = lease.id;
    failing_ = false;
    logEvent(LogLevel::Info, "registered", {{"lease", lease.id}, {"revision", revision}});
    return success();
}

} // namespace jy
