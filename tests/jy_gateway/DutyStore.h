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

    /** Era and identifier of the leases that were ended or renewed by calls. */
    std::vector<std::pair<StoreEra, std::uint64_t>> ended;
    std::vector<std::pair<StoreEra, std::uint64_t>> renewed;

    /** Stated in all responses; 0 for a store that states no era. */
    StoreEra era = 1;

    /** Keeps a copy of the content to which restore() can return. */
    void saveCopy() { copies_.push_back({items, revision_, lastLease_, leases_, now}); }

    /** Comes back from the copy that was saved @p age copies before the latest one. Its leases go
     * on with the time that they had left. */
    void restore(std::size_t age)
    {
        const auto &copy = copies_.at(copies_.size() > age ? copies_.size() - 1 - age : 0);
        items = copy.items;
        revision_ = copy.revision;
        lastLease_ = copy.lastLease;
        leases_ = copy.leases;
        for (auto &[lease, ends] : leases_)
            ends += now - copy.taken;
        if (era > 0)
            ++era;
    }

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

    /** Drops the writes that have not been applied yet, as an outage does. */
    void dropDelayed() { delayed_.clear(); }

    void applyDelayed()
    {
        for (const auto &transaction : std::exchange(delayed_, {}))
            (void)apply(transaction);
    }

    /**
     * @param fault read at each call; must outlive the result
     * @param eraSeen called with the era of each response
     */
    SharedStore open(
        const StoreFault &fault, const std::function<void(StoreEra)> &eraSeen = [](StoreEra) {})
    {
        SharedStore store;
        const auto outcome = [this, &fault, eraSeen]() -> Result<void> {
            if (fault == StoreFault::Unavailable)
                return failure(ErrorKind::KvUnavailable, "down");
            if (fault == StoreFault::None) {
                eraSeen(era);
                return success();
            }
            return failure(ErrorKind::KvOutcomeUnknown, "no response");
        };
        store.list = [this, outcome](const std::string &prefix,
                                     const std::string &) -> Result<StorePage> {
            if (!outcome())
                return failure(ErrorKind::KvUnavailable, "no response");
            StorePage page{.era = era};
            for (const auto &[key, item] : items) {
                if (key.starts_with(prefix))
                    page.items.push_back({key, item.value, item.revision, false});
            }
            return page;
        };
        store.commit = [this, outcome, &fault,
                        eraSeen](const StoreTransaction &transaction) -> Result<std::uint64_t> {
            if (fault == StoreFault::AppliedLate)
                delayed_.push_back(transaction);
            else if (fault != StoreFault::Unavailable) {
                auto applied = apply(transaction);
                if (fault == StoreFault::None) {
                    eraSeen(era);
                    return applied;
                }
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
            if (!leases_.contains(lease)) {
                (void)outcome();
                return failure(ErrorKind::LeaseLost, "no such lease");
            }
            renewed.push_back({era, lease});
            leases_[lease] = now + lifetimes_[lease];
            return outcome();
        };
        store.endLease = [this](std::uint64_t lease) -> Result<void> {
            ended.push_back({era, lease});
            leases_.erase(lease);
            std::erase_if(items, [&](const auto &item) { return item.second.lease == lease; });
            return success();
        };
        return store;
    }

private:
    struct Copy
    {
        std::map<std::string, Item> items;
        std::uint64_t revision = 0;
        std::uint64_t lastLease = 0;
        std::map<std::uint64_t, TimePoint> leases;
        TimePoint taken;
    };

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
    std::vector<Copy> copies_;
};

} // namespace jy::test
