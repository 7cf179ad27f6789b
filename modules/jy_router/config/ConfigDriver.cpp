#include "jy_router/config/ConfigDriver.h"

#include "jy_base/errors/ErrorTable.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>

#include <algorithm>

namespace jy {

namespace {

// A revision may change while its parts are being fetched; the next check starts again.
constexpr int mostTransfers = 10;

// Peers tried per check before the KV service is read.
constexpr std::size_t peersPerCheck = 3;

// As for the fibers of EventLoop; JSON is parsed here.
constexpr std::size_t fetchStackBytes = 256 * 1024;

std::string toText(std::uint64_t number)
{
    return std::to_string(number);
}

} // namespace

ConfigDriver::ConfigDriver(ConfigDriverSettings settings, Dependencies dependencies)
    : settings_(std::move(settings))
    , dependencies_(std::move(dependencies))
    , random_(settings_.seed)
{ }

void ConfigDriver::record(std::string kind, std::vector<EventField> fields)
{
    if (dependencies_.events)
        dependencies_.events(Event{.kind = std::move(kind), .fields = std::move(fields)});
}

void ConfigDriver::subscribe(Subscriber subscriber)
{
    if (const auto state = replica_.current())
        subscriber(state);
    subscribers_.push_back(std::move(subscriber));
}

void ConfigDriver::onRevisionHeard(std::uint64_t revision)
{
    highestHeard_ = std::max(highestHeard_, revision);
    readiness_.onRevisionLearned(revision);
}

// ---- Adoption ------------------------------------------------------------------------------

// Returns whether nothing is missing: the revision is in force, or not to be adopted.
bool ConfigDriver::offer(const std::string &head, std::vector<std::string> contents,
                         const Source &source)
{
    const auto result = replica_.offer(head, std::move(contents));
    if (const auto *adopted = std::get_if<ConfigAdopted>(&result))
        publish(*adopted, source);
    if (const auto *rejected = std::get_if<ConfigRejected>(&result))
        record("config-rejected", {{"source", source}, {"reason", rejected->error.message}});
    if (const auto *ignored = std::get_if<ConfigIgnored>(&result)) {
        if (ignored->sameRevisionOtherHead)
            record("config-revision-clash",
                   {{"revision", toText(replica_.revision())}, {"source", source}});
    }
    return !std::holds_alternative<ConfigNeedParts>(result);
}

void ConfigDriver::publish(const ConfigAdopted &adopted, const Source &source)
{
    onRevisionHeard(adopted.revision);
    const auto snapshot = replica_.snapshot();
    record("config-adopted",
           {{"revision", toText(adopted.revision)},
            {"previous", toText(adopted.previousRevision)},
            {"author", snapshot->head.author},
            {"request", snapshot->head.requestId},
            {"source", source}});
    updateReadiness();
    for (const auto &subscriber : subscribers_)
        subscriber(snapshot->state);
    if (dependencies_.announce)
        dependencies_.announce(adopted.revision);
}

void ConfigDriver::updateReadiness()
{
    if (!readiness_.ready() && readiness_.update(replica_.revision()))
        record("config-ready", {{"revision", toText(replica_.revision())}});
}

// ---- KV service ----------------------------------------------------------------------------

void ConfigDriver::setKvAvailable(bool available, const std::string &reason)
{
    if (!available)
        readiness_.onKvUnavailable();
    if (available == kvAvailable_)
        return;
    kvAvailable_ = available;
    record(available ? "kv-available" : "kv-unavailable", {{"reason", reason}});
}

// Adopts the head with parts read from the KV service; returns its revision.
Result<std::uint64_t> ConfigDriver::takeHead(const std::optional<KvValue> &head)
{
    std::uint64_t revision = 0;
    if (head) {
        auto parsed = parseConfigHead(head->value);
        if (!parsed)
            return boost::outcome_v2::failure(parsed.error());
        revision = parsed.value().revision;
        if (revision > replica_.revision() && !offer(head->value, {}, "kv")) {
            std::vector<std::string> contents;
            for (const auto &[name, hash] :
                 missingParts(parsed.value(), {}, replica_.snapshot().get())) {
                auto part = dependencies_.readKey(configPartKey(hash));
                if (!part)
                    return boost::outcome_v2::failure(part.error());
                if (!part.value())
                    return failure(ErrorKind::KvUnavailable, "part " + name + " is missing");
                contents.push_back(std::move(part.value()->value));
            }
            offer(head->value, std::move(contents), "kv");
        }
    }
    if (revision < replica_.revision())
        record("config-kv-behind", {{"revision", toText(revision)}});
    onRevisionHeard(revision);
    readiness_.onKvResponse(revision);
    updateReadiness();
    return revision;
}

Result<void> ConfigDriver::refreshFromKv()
{
    const auto head = dependencies_.readKey(std::string(configHeadKey));
    setKvAvailable(head.has_value(), head ? "" : head.error().message);
    if (!head)
        return boost::outcome_v2::failure(head.error());
    const auto taken = takeHead(head.value());
    if (!taken)
        return boost::outcome_v2::failure(taken.error());
    return success();
}

void ConfigDriver::watch(StopToken &stop)
{
    std::uint64_t index = 0;
    auto pause = settings_.kvPause;
    while (!stop.stopRequested()) {
        if (!dependencies_.watchesHead()) {
            index = 0;
            stop.sleepFor(settings_.checkInterval);
            continue;
        }
        const auto head =
            dependencies_.watchKey(std::string(configHeadKey), index, settings_.watchWait);
        setKvAvailable(head.has_value(), head ? "" : head.error().message);
        const auto found = head && head.value() ? head.value()->index : 0;
        const bool unchanged = head && found == index && index != 0;
        if (unchanged || (head && takeHead(head.value()))) {
            // An absent head has no index to wait for, so the watch may return at once.
            if (found == 0)
                stop.sleepFor(settings_.checkInterval);
            index = found;
            pause = settings_.kvPause;
            continue;
        }
        stop.sleepFor(pause);
        pause = std::min(2 * pause, settings_.kvPauseMax);
    }
}

// ---- Peers ---------------------------------------------------------------------------------

std::vector<ConfigPeer> ConfigDriver::shuffledPeers(std::uint64_t leastRevision)
{
    auto peers = dependencies_.peers();
    std::erase_if(peers, [&](const auto &peer) { return peer.appliedRevision < leastRevision; });
    std::shuffle(peers.begin(), peers.end(), random_);
    return peers;
}

// Returns whether the peer answered. A reply is limited in size, so several may be needed.
bool ConfigDriver::fetchFrom(const InstanceId &peer)
{
    for (int i = 0; i < mostTransfers; ++i) {
        peer::FetchConfigRequest request;
        for (const auto &[name, hash] : replica_.held())
            (*request.mutable_held())[name] = hash;
        auto reply = dependencies_.fetchConfig(peer, request, settings_.fetchTimeout);
        if (!reply || reply.value().has_failure())
            return false;
        onRevisionHeard(reply.value().revision());
        readiness_.onPeerResponse(peer, reply.value().revision());
        std::vector<std::string> contents;
        for (auto &part : *reply.value().mutable_parts())
            contents.push_back(std::move(*part.mutable_content()));
        const bool any = !contents.empty();
        if (offer(reply.value().head(), std::move(contents), peer.value()))
            return true;
        if (!any)
            return false;
    }
    return false;
}

bool ConfigDriver::refreshFromPeers()
{
    std::size_t tried = 0;
    for (const auto &peer : shuffledPeers(replica_.revision() + 1)) {
        if (tried++ == peersPerCheck)
            return false;
        if (fetchFrom(peer.id) && replica_.revision() >= highestHeard_)
            return true;
    }
    return false;
}

// One round of questions while the KV service is down; asks the peers with the highest revisions.
void ConfigDriver::askPeersForReadiness()
{
    auto peers = shuffledPeers(0);
    std::stable_sort(peers.begin(), peers.end(), [](const auto &a, const auto &b) {
        return a.appliedRevision > b.appliedRevision;
    });
    if (peers.size() > settings_.roundPeers)
        peers.resize(settings_.roundPeers);
    std::vector<InstanceId> ids;
    for (const auto &peer : peers) {
        onRevisionHeard(peer.appliedRevision);
        ids.push_back(peer.id);
    }
    readiness_.beginPeerRound(ids);
    std::vector<boost::fibers::fiber> fibers;
    fibers.reserve(ids.size());
    for (const auto &id : ids) {
        fibers.emplace_back(std::allocator_arg, boost::fibers::fixedsize_stack(fetchStackBytes),
                            [this, id] {
                                if (!fetchFrom(id))
                                    readiness_.onPeerFailed(id);
                            });
    }
    for (auto &fiber : fibers)
        fiber.join();
    updateReadiness();
}

void ConfigDriver::follow(StopToken &stop)
{
    auto last = dependencies_.now();
    auto nextKvRead = last;
    do {
        const auto now = dependencies_.now();
        if (now - last > settings_.checkInterval + settings_.pauseLimit) {
            record("config-paused", {{"revision", toText(replica_.revision())}});
            readiness_.reset();
        }
        for (const auto &peer : dependencies_.peers())
            onRevisionHeard(peer.appliedRevision);
        const bool behind = highestHeard_ > replica_.revision();
        const bool fetched = behind && refreshFromPeers();
        if ((behind && !fetched) || !ready()) {
            // Calls to the KV service count towards its rate, so an outage spaces them out.
            if (now >= nextKvRead && !refreshFromKv())
                nextKvRead = now + settings_.kvPauseMax;
            if (!ready() && !kvAvailable_)
                askPeersForReadiness();
        }
        // Time spent in calls above is not a pause of the process.
        last = dependencies_.now();
    } while (stop.sleepFor(settings_.checkInterval));
}

peer::FetchConfigReply ConfigDriver::serve(const peer::FetchConfigRequest &request) const
{
    peer::FetchConfigReply reply;
    const auto snapshot = replica_.snapshot();
    if (!snapshot) {
        reply.mutable_failure()->set_kind(std::string(answerFor(ErrorKind::NotReady).name));
        reply.mutable_failure()->set_message("no configuration yet");
        return reply;
    }
    reply.set_revision(snapshot->head.revision);
    reply.set_head(snapshot->headText);
    std::size_t bytes = 0;
    for (const auto &[name, hash] : snapshot->head.parts) {
        const auto held = request.held().find(name);
        if (held != request.held().end() && held->second == hash)
            continue;
        const auto &content = *snapshot->parts.at(name);
        if (bytes != 0 && bytes + content.size() > settings_.replyBytes)
            break;
        bytes += content.size();
        auto *part = reply.add_parts();
        part->set_name(name);
        part->set_hash(hash);
        part->set_content(content);
    }
    return reply;
}

// ---- Operators -----------------------------------------------------------------------------

Result<ConfigApplied> ConfigDriver::runApply(ConfigApply &machine)
{
    auto action = machine.start();
    while (true) {
        if (auto *finished = std::get_if<ConfigApply::Finished>(&action))
            return std::move(finished->result);
        if (const auto *read = std::get_if<ConfigApply::ReadKey>(&action)) {
            auto value = dependencies_.readKey(read->key);
            action = machine.onRead(std::move(value), dependencies_.now());
        } else if (const auto *swap = std::get_if<ConfigApply::SwapKey>(&action)) {
            const auto index = dependencies_.swapKey(swap->key, swap->value, swap->expectedIndex);
            action = machine.onSwap(index, dependencies_.now());
        } else {
            StopToken pause;
            pause.sleepFor(std::get<ConfigApply::Pause>(action).duration);
            action = machine.onPauseEnded();
        }
    }
}

Result<ConfigApplied> ConfigDriver::apply(ConfigApplyRequest request)
{
    const auto id = request.requestId;
    const auto author = request.author;
    auto machine = ConfigApply::create(settings_.apply, std::move(request), replica_.snapshot(),
                                       dependencies_.wallNow(), dependencies_.now());
    auto result = machine ? runApply(machine.value())
                          : Result<ConfigApplied>(boost::outcome_v2::failure(machine.error()));
    if (!result) {
        record("config-apply-failed",
               {{"request", id},
                {"author", author},
                {"error", std::string(answerFor(result.error().kind).name)},
                {"reason", result.error().message}});
        return result;
    }
    record("config-applied",
           {{"revision", toText(result.value().revision)}, {"request", id}, {"author", author}});
    onRevisionHeard(result.value().revision);
    // A failure here is made good by the next check, which sees that a higher revision exists.
    std::ignore = refreshFromKv();
    return result;
}

ConfigStatus ConfigDriver::status() const
{
    ConfigStatus status{.revision = replica_.revision(),
                        .headRevision = std::max(highestHeard_, replica_.revision()),
                        .ready = ready(),
                        .kvAvailable = kvAvailable_};
    auto peers = dependencies_.peers();
    peers.push_back({settings_.self, replica_.revision()});
    for (const auto &peer : peers) {
        if (peer.appliedRevision >= status.headRevision)
            ++status.inForce;
        else
            status.lagging.push_back(peer.id);
    }
    return status;
}

} // namespace jy
