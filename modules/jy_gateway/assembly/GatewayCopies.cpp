// The parts of Gateway that serve copies of the store to other instances and read theirs.

#include "jy_gateway/assembly/Gateway.h"
#include "jy_gateway/registry/StoreCopy.h"
#include "jy_runtime/logging/Log.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <mutex>

namespace jy {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Interval at which an instance without a configuration asks its peers for a copy of the store;
// also the delay of the first attempt.
constexpr milliseconds peerCopyInterval{1000};
constexpr milliseconds peerCopyTimeout{700};

// Longest long poll of an instance that reads the store through this one.
constexpr milliseconds maxStoreChangesWait{5000};

// Time for which a request for a complete copy waits for the list that follows a restore of the
// store; shorter than the time that the caller allows.
constexpr milliseconds copyWait{250};

void refuse(HttpResponder &responder, ErrorKind kind, std::string reason)
{
    responder.send(errorResponse({kind, std::move(reason)}));
}

void sendCopy(HttpResponder &responder, const StoreCopy &copy)
{
    responder.send(200, {{"Content-Type", "application/zstd"}}, encodeStoreCopy(copy));
}

} // namespace

std::vector<Endpoint> Gateway::storeReaderEndpoints() const
{
    std::vector<Endpoint> endpoints;
    for (const auto &reader : storeReadersFor(self_.id, liveInstances()))
        endpoints.push_back(reader.control);
    return endpoints;
}

StoreCopy Gateway::makeStoreCopy(std::vector<StoreItem> items) const
{
    const auto age = sync_.age(Clock::now());
    const auto position = mirror_.position();
    return {{.items = std::move(items), .asOf = position.revision, .era = position.era},
            std::chrono::duration_cast<milliseconds>(age)};
}

bool Gateway::copyIsOutdated() const
{
    return mirror_.position().era < era_.current();
}

void Gateway::handleStoreCopy(HttpResponder &responder)
{
    {
        std::unique_lock lock(mirrorChangedMutex_);
        mirrorChanged_.wait_for(lock, copyWait,
                                [this] { return !copyIsOutdated() || sync_.lost(); });
    }
    if (copyIsOutdated()) {
        refuse(responder, ErrorKind::KvUnavailable, "the copy is of an earlier era");
        return;
    }
    sendCopy(responder, makeStoreCopy(mirror_.items()));
}

void Gateway::handleStoreChanges(const HttpRequest &request, HttpResponder &responder)
{
    std::uint64_t after = 0;
    std::int64_t wait = 0;
    if (!absl::SimpleAtoi(request.queryParameter(afterParameter).value_or(""), &after)
        || !absl::SimpleAtoi(request.queryParameter(waitParameter).value_or(""), &wait)) {
        refuse(responder, ErrorKind::BadRequest, "a query parameter is missing");
        return;
    }
    // Earlier builds state no era. They ignore revisions below the ones that they know, so a list
    // would not help them after a restore.
    StoreEra followed = 0;
    const bool statesEra =
        absl::SimpleAtoi(request.queryParameter(eraParameter).value_or(""), &followed);
    const auto deadline = Clock::now() + std::clamp(milliseconds(wait), {}, maxStoreChangesWait);
    // Serves only data read from the store directly: along a chain of copies the ages would add up.
    const auto hasContact = [this] {
        return !sync_.lost() && storeReader_.readsDirectly() && mirror_.position().revision != 0;
    };
    const auto upToDate = [&] { return sync_.inContact() && mirror_.position().era >= followed; };
    const auto continues = [&] { return !statesEra || followed == mirror_.position().era; };
    {
        std::unique_lock lock(mirrorChangedMutex_);
        // Followers wait for the list after a restore; refused ones would call the store.
        mirrorChanged_.wait_until(lock, deadline, [&] {
            return !hasContact()
                || (upToDate() && (!continues() || mirror_.position().revision > after));
        });
    }
    if (!hasContact() || !upToDate()) {
        refuse(responder, ErrorKind::KvUnavailable, "no contact with the store");
        return;
    }
    auto changes = continues() ? mirror_.changesAfter(after) : std::nullopt;
    if (!changes) {
        responder.send(historyLostStatus, {}, "");
        return;
    }
    sendCopy(responder, makeStoreCopy(std::move(*changes)));
}

void Gateway::runPeerCopies(StopToken &stop)
{
    while (stop.sleepFor(peerCopyInterval)) {
        if (!fleet_.config())
            fetchPeerCopy();
    }
}

void Gateway::fetchPeerCopy()
{
    // A copy, because a reload may replace the list while a seed is asked.
    const auto seeds = settings_.seeds;
    for (const auto &seed : seeds) {
        if (seed == settings_.listen.control)
            continue;
        const auto response =
            storeClient_->request(seed, {.target = std::string(storeCopyPath)}, peerCopyTimeout);
        if (!response || response.value().status != 200)
            continue;
        auto copy = decodeStoreCopy(response.value().body);
        if (!copy) {
            logEvent(LogLevel::Warn, "peer-copy-unreadable",
                     {{"peer", toString(seed)}, {"reason", copy.error().message}});
            continue;
        }
        if (!era_.admit(copy.value().page) || !mirror_.applyPeerCopy(copy.value().page)) {
            logEvent(LogLevel::Info, "peer-copy-ignored",
                     {{"peer", toString(seed)}, {"era", copy.value().page.era}});
            continue;
        }
        stateChanged();
        logEvent(LogLevel::Info, "peer-copy-merged",
                 {{"peer", toString(seed)}, {"items", copy.value().page.items.size()}});
        return;
    }
}

} // namespace jy
