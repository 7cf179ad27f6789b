#include "jy_gateway/registry/StoreSync.h"

#include "jy_runtime/logging/Log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jy {

namespace {

// Prefix of all keys: one watch covers configuration, backend servers and instances.
const std::string allKeys;

} // namespace

StoreSync::StoreSync(const SharedStore &store, StoreMirror &mirror, StoreSyncSettings settings,
                     Hooks hooks)
    : store_(store)
    , mirror_(mirror)
    , settings_(settings)
    , hooks_(std::move(hooks))
{ }

void StoreSync::run(StopToken &stop)
{
    auto pause = settings_.initialRetryPause;
    const auto sleep = [&] {
        return stop.sleepFor(std::exchange(pause, std::min(2 * pause, settings_.maxRetryPause)));
    };
    bool listed = false; // whether the last response was a list
    while (!stop.stopRequested()) {
        const bool listing = needsList();
        if (listing && listed && !sleep())
            return;
        const auto result = listing ? list() : watch();
        if (result) {
            listed = listing;
            if (!listing)
                pause = settings_.initialRetryPause;
            if (hooks_.readsStore() && changed_ && !stop.sleepFor(settings_.batchPause))
                return;
            continue;
        }
        if (result.error().kind == ErrorKind::KvHistoryLost) {
            const auto position = mirror_.position();
            logEvent(LogLevel::Info, "store-history-lost",
                     {{"revision", position.revision}, {"era", position.era}});
            historyLost_ = true;
            continue;
        }
        if (!lost_) {
            lost_ = true;
            hooks_.lost(result.error());
        }
        if (!sleep())
            return;
    }
}

bool StoreSync::needsList() const
{
    const auto position = mirror_.position();
    return historyLost_ || position.revision == 0 || position.era < hooks_.latestEra();
}

Result<void> StoreSync::list()
{
    BOOST_OUTCOME_TRY(const auto list, readList());
    noteResponse();
    changed_ = false;
    const auto position = mirror_.position();
    if (position.revision != 0 && list.era > position.era && hooks_.restored)
        hooks_.restored();
    if (!mirror_.applyList(list)) {
        logEvent(LogLevel::Info, "store-list-ignored",
                 {{"era", list.era}, {"latest", mirror_.position().era}});
        return success();
    }
    historyLost_ = false;
    hooks_.merged();
    return success();
}

Result<StorePage> StoreSync::readList() const
{
    BOOST_OUTCOME_TRY(auto list, store_.list(allKeys, {}));
    while (list.truncated && !list.items.empty()) {
        BOOST_OUTCOME_TRY(auto page, store_.list(allKeys, list.items.back().key));
        if (page.era != list.era)
            return failure(ErrorKind::KvHistoryLost, "the store was restored during the list");
        // The pages are no snapshot: the watch reads again what changed after the first page.
        list.items.insert(list.items.end(), std::make_move_iterator(page.items.begin()),
                          std::make_move_iterator(page.items.end()));
        list.truncated = page.truncated && !page.items.empty();
    }
    return list;
}

Result<void> StoreSync::watch()
{
    const auto after = mirror_.position();
    BOOST_OUTCOME_TRY(const auto page, store_.watch(allKeys, after, settings_.watchWait));
    noteResponse();
    changed_ = false;
    // A copy of a peer may have replaced the mirror meanwhile.
    if (page.era != after.era || !mirror_.applyChanges(page))
        return failure(ErrorKind::KvHistoryLost, "the changes are of another era");
    changed_ = !page.items.empty();
    if (changed_)
        hooks_.merged();
    return success();
}

Duration StoreSync::age(TimePoint now) const
{
    return now - lastResponse_;
}

void StoreSync::noteResponse()
{
    lastResponse_ = std::chrono::steady_clock::now();
    if (!lost_)
        return;
    lost_ = false;
    hooks_.returned();
}

} // namespace jy
