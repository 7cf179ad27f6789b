#include "jy_gateway/registry/StoreSync.h"

#include "jy_runtime/logging/Log.h"

#include <algorithm>

namespace jy {

namespace {

// All keys: one waiting call covers configuration, backend servers and instances.
const std::string everything;

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
    auto pause = settings_.firstPause;
    while (!stop.stopRequested()) {
        const auto result = needsList_ ? list() : watch();
        if (result) {
            pause = settings_.firstPause;
            if (result.value() && !stop.sleepFor(settings_.gatherPause))
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
        pause = std::min(2 * pause, settings_.longestPause);
    }
}

Result<bool> StoreSync::list()
{
    std::vector<StoreItem> items;
    std::string after;
    std::uint64_t asOf = 0;
    while (true) {
        BOOST_OUTCOME_TRY(auto page, store_.list(everything, after));
        // Pages are not a snapshot: changes after the first page are read again by the watch.
        if (asOf == 0)
            asOf = page.asOf;
        items.insert(items.end(), page.items.begin(), page.items.end());
        if (!page.truncated || page.items.empty())
            break;
        after = page.items.back().key;
    }
    noteAnswer();
    mirror_.applyList(items, asOf);
    needsList_ = false;
    hooks_.merged();
    return false;
}

Result<bool> StoreSync::watch()
{
    BOOST_OUTCOME_TRY(const auto page,
                      store_.watch(everything, mirror_.revision(), settings_.watchWait));
    noteAnswer();
    mirror_.applyChanges(page.items, page.asOf);
    if (!page.items.empty())
        hooks_.merged();
    return !page.items.empty();
}

Duration StoreSync::age(TimePoint now) const
{
    return now - answered_;
}

void StoreSync::noteAnswer()
{
    answered_ = std::chrono::steady_clock::now();
    if (!lost_)
        return;
    lost_ = false;
    hooks_.returned();
}

} // namespace jy
