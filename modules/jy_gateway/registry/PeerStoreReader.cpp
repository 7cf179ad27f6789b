#include "jy_gateway/registry/PeerStoreReader.h"

#include "jy_gateway/registry/InstanceRanking.h"
#include "jy_runtime/logging/Log.h"

#include <algorithm>

namespace jy {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Two readers may fail at the same time before followers have to call the store themselves.
constexpr std::size_t readerCount = 3;

} // namespace

std::vector<RegisteredInstance> storeReadersFor(const InstanceId &self,
                                                const std::vector<RegisteredInstance> &live)
{
    auto readers = widestInstances("store-readers", live, readerCount);
    if (std::ranges::find(readers, self, &RegisteredInstance::id) != readers.end())
        return {};
    sortByRank(self.value(), readers);
    return readers;
}

PeerStoreReader::PeerStoreReader(const SharedStore &direct, HttpClient &client,
                                 StoreEraTracker &era, Readers readers,
                                 PeerStoreReaderSettings settings)
    : directStore_(direct)
    , client_(client)
    , era_(era)
    , readers_(std::move(readers))
    , settings_(settings)
{ }

SharedStore PeerStoreReader::store()
{
    auto store = directStore_;
    store.list = [this](const std::string &prefix, const std::string &after) {
        return list(prefix, after);
    };
    store.watch = [this](const std::string &prefix, StorePosition after, milliseconds wait) {
        return watch(prefix, after, wait);
    };
    return store;
}

Result<StorePage> PeerStoreReader::list(const std::string &prefix, const std::string &after)
{
    const auto readers = readers_();
    for (const auto &reader : readers) {
        auto page = fetchPage(reader, std::string(storeCopyPath), settings_.margin);
        if (page) {
            direct_ = false;
            return page;
        }
    }
    const auto call = [&] { return directStore_.list(prefix, after); };
    if (readers.empty()) {
        direct_ = true;
        return call();
    }
    return callStore(call);
}

Result<StorePage> PeerStoreReader::watch(const std::string &prefix, StorePosition after,
                                         milliseconds wait)
{
    const auto target = std::string(storeChangesPath) + '?' + std::string(afterParameter) + '='
        + std::to_string(after.revision) + '&' + std::string(eraParameter) + '='
        + std::to_string(after.era) + '&' + std::string(waitParameter) + '='
        + std::to_string(settings_.wait.count());
    const auto readers = readers_();
    for (const auto &reader : readers) {
        auto page = fetchPage(reader, target, settings_.wait + settings_.margin);
        if (page || page.error().kind == ErrorKind::KvHistoryLost) {
            direct_ = false;
            return page;
        }
    }
    const auto call = [&] { return directStore_.watch(prefix, after, wait); };
    if (readers.empty()) {
        direct_ = true;
        return call();
    }
    return callStore(call);
}

Result<StorePage> PeerStoreReader::callStore(const std::function<Result<StorePage>()> &call)
{
    direct_ = true;
    const auto now = Clock::now();
    if (storeFailed_ && now - *storeFailed_ < settings_.directPause)
        return failure(ErrorKind::KvUnavailable,
                       "no reader is available, and the last call to the store failed");
    auto page = call();
    const bool failed = !page && page.error().kind != ErrorKind::KvHistoryLost;
    storeFailed_ = failed ? std::optional(Clock::now()) : std::nullopt;
    return page;
}

Result<StorePage> PeerStoreReader::fetchPage(const Endpoint &reader, const std::string &target,
                                             milliseconds timeout)
{
    const auto response = client_.request(reader, {.target = target}, timeout);
    const auto reject = [&](const std::string &reason) {
        logEvent(LogLevel::Info, "reader-passed-over",
                 {{"reader", toString(reader)}, {"reason", reason}});
        return failure(ErrorKind::PeerUnreachable, reason);
    };
    if (!response)
        return reject(response.error().message);
    if (response.value().status == historyLostStatus)
        return failure(ErrorKind::KvHistoryLost,
                       "the reader no longer has the history after this revision");
    if (response.value().status != 200)
        return reject("status " + std::to_string(response.value().status));
    auto copy = decodeStoreCopy(response.value().body);
    if (!copy)
        return reject(copy.error().message);
    if (copy.value().age > settings_.maxAge)
        return reject("its copy is " + std::to_string(copy.value().age.count()) + " ms old");
    auto page = std::move(copy.value().page);
    if (!era_.admit(page))
        return reject("its copy is of era " + std::to_string(page.era));
    return page;
}

} // namespace jy
