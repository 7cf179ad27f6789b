#include "jy_gateway/registry/StoreSync.h"

#include "jy_runtime/logging/Log.h"

#include <algorithm>

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
    while (!stop.stopRequested()) {
        const auto result = needsList_ ? list() : watch();
        if (result) {
            pause = settings_.initialRetryPause;
            if (hooks_.readsStore() && changed_ && !stop.sleepFor(settings_.batchPause))
                return;
            continue;
        }
        if (result.error().kind == ErrorKind::KvHistoryLost) {
            logEvent(LogLevel::Info, "store-history-lost", {{"revision", mirror_.revision()}});
            needsList_ = true;
            continue;
        }
        if (!lost_) {
            lost_ = true;
            hooks_.lost(result.error());
        }
        if (!stop.sleepFor(pause))
            return;
        pause = std::min(2 * pause, settings_.maxRetryPause);
    }
}

Result<void> StoreSync::list()
{
    std::vector<StoreItem> items;
    std::string after;
    std::uint64_t asOf = 0;
    while (true) {
        BOOST_OUTCOME_TRY(auto page, store_.list(allKeys, after));
        // The pages are no snapshot: the watch reads again what changed after the first page.
        if (asOf == 0)
            asOf = page.asOf;
        items.insert(items.end(), page.items.begin(), page.items.end());
        if (!page.truncated || page.items.empty())
            break;
        after = page.items.back().key;
    }
    noteResponse();
    mirror_.applyList(items, asOf);
    needsList_ = false;
    hooks_.merged();
    changed_ = false;
    return success();
}

Result<void> StoreSync::watch()
{
    BOOST_OUTCOME_TRY(const auto page,
                      store_.watch(allKeys, mirror_.revision(), settings_.watchWait));
    noteResponse();
    mirror_.applyChanges(page.items, page.asOf);
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
