#pragma once

#include "jy_gateway/adapter/SharedStore.h"
#include "jy_gateway/duties/DutyLease.h"

#include <map>
#include <vector>

namespace jy::test {

using std::chrono::milliseconds;

/** What becomes of the calls of one instance to the store. */
enum class StoreFault {
    None,
    Unavailable, /**< refused, nothing is done */
    ResponseLost, /**< done, but the caller does not learn of it */
    AppliedLate, /**< done at the next applyDelayed(), the caller does not learn of it */
};

/** Shared store in memory, on virtual time, with leases and faults. */
class DutyStore
{
public:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    TimePoint now{std::chrono::hours(1)};
    std::map<std::string, Item> items;

    void advance(milliseconds time)
    {
        now += time;
        endLeases([this](TimePoint ends) { return ends <= now; });
    }

    /** Ends all leases, as a store does that forgets them during an outage. */
    void endLeases()
    {
        for (const auto &lease : leases_)
            std::erase_if(items,
                          [&](const auto &item) { return item.second.lease == lease.first; });
        leases_.clear();
    }

    void applyDelayed()
    {
        for (const auto &transaction : std::exchange(delayed_, {}))
            (void)apply(transaction);
    }

    /** @param fault read at each call; must outlive the result */
    SharedStore open(const StoreFault &fault)
    {
        SharedStore store;
        const auto outcome = [&fault]() -> Result<void> {
            if (fault == StoreFault::Unavailable)
                return failure(ErrorKind::KvUnavailable, "down");
            if (fault == StoreFault::None)
                return success();
            return failure(ErrorKind::KvOutcomeUnknown, "no response");
        };
        store.list = [this, outcome](const std::string &prefix,
                                     const std::string &) -> Result<StorePage> {
            if (!outcome())
                return failure(ErrorKind::KvUnavailable, "no response");
            StorePage page;
            for (const auto &[key, item] : items) {
                if (key.starts_with(prefix))
                    page.items.push_back({key, item.value, item.revision, false});
            }
            return page;
        };
        store.commit = [this, outcome,
                        &fault](const StoreTransaction &transaction) -> Result<std::uint64_t> {
            if (fault == StoreFault::AppliedLate)
                delayed_.push_back(transaction);
            else if (fault != StoreFault::Unavailable) {
                auto applied = apply(transaction);
                if (fault == StoreFault::None)
                    return applied;
            }
            return outcome().error();
        };
        store.grantLease = [this, outcome](milliseconds lifetime) -> Result<StoreLease> {
            BOOST_OUTCOME_TRYV(outcome());
            leases_[++lastLease_] = now + lifetime;
            lifetimes_[lastLease_] = lifetime;
            return StoreLease{lastLease_, lifetime};
        };
        store.renewLease = [this, outcome, &fault](std::uint64_t lease) -> Result<void> {
            if (fault == StoreFault::Unavailable)
                return outcome();
            if (!leases_.contains(lease))
                return failure(ErrorKind::LeaseLost, "no such lease");
            leases_[lease] = now + lifetimes_[lease];
            return outcome();
        };
        store.endLease = [this](std::uint64_t lease) -> Result<void> {
            leases_.erase(lease);
            std::erase_if(items, [&](const auto &item) { return item.second.lease == lease; });
            return success();
        };
        return store;
    }

private:
    void endLeases(const std::function<bool(TimePoint ends)> &condition)
    {
        std::erase_if(leases_, [&](const auto &lease) { return condition(lease.second); });
        std::erase_if(items, [this](const auto &item) {
            return item.second.lease != 0 && !leases_.contains(item.second.lease);
        });
    }

    Result<std::uint64_t> apply(const StoreTransaction &transaction)
    {
        for (const auto &condition : transaction.conditions) {
            const auto found = items.find(condition.key);
            if ((found == items.end() ? 0 : found->second.revision) != condition.revision)
                return failure(ErrorKind::KvConflict, "a condition does not hold");
        }
        for (const auto &write : transaction.writes) {
            if (write.lease != 0 && !leases_.contains(write.lease))
                return failure(ErrorKind::LeaseLost, "no such lease");
            items[write.key] = {write.value, ++revision_, write.lease};
        }
        return revision_;
    }

    std::uint64_t revision_ = 100;
    std::uint64_t lastLease_ = 0;
    std::map<std::uint64_t, TimePoint> leases_;
    std::map<std::uint64_t, milliseconds> lifetimes_;
    std::vector<StoreTransaction> delayed_;
};

} // namespace jy::test
