// Stand-in for the platform's metadata store, by PROTOCOL.md.
#pragma once

#include "Http.h"

#include <condition_variable>
#include <deque>
#include <set>

namespace review {

class Store
{
public:
    /** @param links number of addresses at which the store can be reached, one for each machine */
    explicit Store(int links);
    ~Store();

    std::string address(int link) const { return servers_[link]->address(); }

    /** Writes of the operator and the replicas. @returns when the store has acknowledged it */
    Clock::time_point put(const std::string &key, const std::string &value);
    Clock::time_point remove(const std::string &key);

    /** From now on ends waiting watches without a response: of each link at most @p most, at least
     * @p period apart. */
    void cutWatches(milliseconds period, int most);

    /** Number of watches cut so far. */
    int cuts() const { return cuts_; }

    /** Links whose machine has called a watch since the last call. */
    std::set<int> takeWatchers();

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change
    {
        std::string key;
        Item item;
        bool removed;
        Clock::time_point time;
    };
    struct Lease
    {
        milliseconds lifetime;
        Clock::time_point ends;
    };

    Response handle(int link, const Request &request);
    Response range(const Request &request);
    Response watch(int link, const Request &request);
    Response transaction(const Request &request);
    Response lease(const Request &request);
    void write(const std::string &key, Item item, bool removed);
    void endLease(std::uint64_t id);
    void expire();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::deque<Change> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t historyStart_ = 100;
    std::uint64_t nextLease_ = 1000;
    milliseconds cutPeriod_{0};
    int mostCuts_ = 0;
    std::map<int, Clock::time_point> lastCut_;
    std::map<int, int> cutsOfLink_;
    std::atomic<int> cuts_{0};
    std::set<int> watchers_;
    std::atomic<bool> stopped_{false};
    std::vector<std::unique_ptr<Server>> servers_;
    std::thread expirer_;
};

} // namespace review
