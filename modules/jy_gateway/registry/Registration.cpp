#include "jy_gateway/registry/Registration.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_base/hashing/StableHash.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>

namespace jy {

namespace {

using std::chrono::milliseconds;

// Period of looking for a restore of the store between two renewals.
constexpr milliseconds eraCheckPeriod{200};

} // namespace

Registration::Registration(const SharedStore &store, std::string key, std::string value,
                           RegistrationSettings settings, std::function<StoreEra()> storeEra)
    : store_(store)
    , key_(std::move(key))
    , value_(std::move(value))
    , settings_(settings)
    , storeEra_(std::move(storeEra))
{ }

void Registration::run(StopToken &stop)
{
    auto pause = settings_.retryPause;
    while (!stop.stopRequested() && !withdrawn_) {
        if (!registered()) {
            const auto created = createEntry();
            if (!created) {
                logFailure("registration-failed", created.error());
                stop.sleepFor(pause);
                pause = std::min(2 * pause, settings_.maxRetryPause);
                continue;
            }
            pause = settings_.retryPause;
        }
        sleepUntilRenewal(stop);
        if (stop.stopRequested() || withdrawn_)
            return;
        if (!registered())
            continue;
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

void Registration::sleepUntilRenewal(StopToken &stop)
{
    for (auto left = settings_.renewal; left > milliseconds(0); left -= eraCheckPeriod) {
        if (!stop.sleepFor(std::min(left, eraCheckPeriod)))
            return;
        if (!registered()) {
            stop.sleepFor(milliseconds(stableHash(key_) % settings_.restoreSpread.count()));
            return;
        }
    }
}

void Registration::withdraw()
{
    withdrawn_ = true;
    if (!registered())
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
    const auto eraBefore = storeEra_();
    BOOST_OUTCOME_TRY(const auto lease, store_.grantLease(settings_.lifetime));
    const auto era = storeEra_();
    // Before the first response no era is known.
    if (eraBefore != 0 && era != eraBefore)
        return failure(ErrorKind::KvUnavailable, "the store was restored");
    StoreTransaction transaction;
    transaction.writes.push_back({key_, value_, lease.id});
    BOOST_OUTCOME_TRY(const auto revision, store_.commit(transaction));
    if (storeEra_() != era)
        return failure(ErrorKind::KvOutcomeUnknown, "the store was restored during the write");
    lease_ = lease.id;
    era_ = era;
    failing_ = false;
    logEvent(LogLevel::Info, "registered",
             {{"lease", lease.id}, {"revision", revision}, {"era", era}});
    return success();
}

} // namespace jy
