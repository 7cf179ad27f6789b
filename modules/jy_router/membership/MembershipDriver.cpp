#include "jy_router/membership/MembershipDriver.h"

#include "jy_core/membership/RouterChoice.h"

#include <algorithm>

namespace jy {

using Clock = std::chrono::steady_clock;

namespace {

std::string toText(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Left:
        return "left";
    }
    return "left";
}

/** The first reads of a fleet that starts at once must not arrive together. */
constexpr std::chrono::milliseconds firstListBackOff{500};

} // namespace

Result<std::unique_ptr<MembershipDriver>>
MembershipDriver::create(MembershipDriverDependencies dependencies,
                         MembershipDriverSettings settings, MemberInfo self, std::uint64_t seed)
{
    // The handler needs the driver and the driver the bound port, so the socket comes first.
    auto target = std::make_shared<MembershipDriver *>(nullptr);
    const auto handler = [target](const Datagram &datagram, const Endpoint &from) {
        if (*target != nullptr)
            (*target)->receive(datagram, from);
    };
    BOOST_OUTCOME_TRY(
        auto socket,
        GossipSocket::create(dependencies.loop, self.gossip, dependencies.keys, handler));
    self.gossip = socket.localEndpoint();
    BOOST_OUTCOME_TRY(auto membership,
                      Membership::create(settings.membership, std::move(self), seed));
    std::unique_ptr<MembershipDriver> driver(new MembershipDriver(
        std::move(dependencies), std::move(settings), std::move(membership), seed));
    driver->socket_ = std::make_unique<GossipSocket>(std::move(socket));
    *target = driver.get();
    return driver;
}

MembershipDriver::MembershipDriver(MembershipDriverDependencies dependencies,
                                   MembershipDriverSettings settings, Membership membership,
                                   std::uint64_t seed)
    : dependencies_(std::move(dependencies))
    , settings_(std::move(settings))
    , membership_(std::move(membership))
    , random_(seed)
    , listDelay_(settings_.listInterval)
{ }

void MembershipDriver::runProbes(StopToken &stop)
{
    do {
        perform(membership_.tick(Clock::now()));
    } while (stop.sleepFor(settings_.tickInterval));
}

void MembershipDriver::runInstanceList(StopToken &stop)
{
    bool failed = false;
    do {
        const auto snapshot = dependencies_.fetchInstances();
        if (snapshot) {
            perform(membership_.applyInstanceList(snapshot.value().routers, Clock::now()));
            if (dependencies_.instancesListed)
                dependencies_.instancesListed(snapshot.value());
        }
        if (failed == snapshot.has_value()) {
            record(failed ? "instance-list-available" : "instance-list-unavailable",
                   {{"detail", snapshot ? std::string() : snapshot.error().message}});
        }
        failed = !snapshot;
    } while (stop.sleepFor(nextListDelay(failed)));
}

std::chrono::milliseconds MembershipDriver::nextListDelay(bool failed)
{
    if (!failed) {
        listDelay_ = settings_.listInterval;
    } else {
        const bool first = listDelay_ == settings_.listInterval;
        listDelay_ =
            std::min(first ? firstListBackOff : listDelay_ * 2, settings_.largestListBackOff);
    }
    const auto fifth = listDelay_.count() / 5;
    const auto jitter = fifth == 0
        ? 0
        : static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(2 * fifth)) - fifth;
    return listDelay_ + std::chrono::milliseconds(jitter);
}

void MembershipDriver::receive(const Datagram &datagram, const Endpoint &from)
{
    if (dependencies_.hybridObserve)
        dependencies_.hybridObserve(datagram.piggyback.hybridTime);
    perform(membership_.receive(datagram, from, Clock::now()));
    receivePool(datagram, from);
}

void MembershipDriver::receivePool(const Datagram &datagram, const Endpoint &from)
{
    if (const auto *report = std::get_if<PoolReport>(&datagram.body)) {
        const auto now = Clock::now();
        aggregator_.report(datagram.piggyback.sender.id, *report, now);
        if (const auto totals = aggregator_.totals(report->pool, now))
            perform(SendDatagram{from, membership_.compose(*totals)});
    } else if (const auto *totals = std::get_if<PoolTotals>(&datagram.body)) {
        if (dependencies_.poolTotals)
            dependencies_.poolTotals(*totals);
    }
}

void MembershipDriver::reportPool(const PoolReport &report)
{
    const auto routers = membership_.liveRouters(membership_.self().region);
    const auto chosen = chooseRouters(report.pool, routers, 1);
    if (chosen.empty())
        return;
    if (chosen.front() == membership_.self().id) {
        const auto now = Clock::now();
        aggregator_.report(chosen.front(), report, now);
        const auto totals = aggregator_.totals(report.pool, now);
        if (totals && dependencies_.poolTotals)
            dependencies_.poolTotals(*totals);
        return;
    }
    const auto found = std::find_if(routers.begin(), routers.end(), [&](const auto &router) {
        return router.id == chosen.front();
    });
    perform(SendDatagram{found->gossip, membership_.compose(report)});
}

bool MembershipDriver::watchesConfig() const
{
    const auto &self = membership_.self();
    const auto chosen =
        chooseRouters(configHeadKey, membership_.liveRouters(self.region), configWatchersPerRegion);
    return std::find(chosen.begin(), chosen.end(), self.id) != chosen.end();
}

void MembershipDriver::leave()
{
    perform(membership_.leave(Clock::now()));
    record("router-leaving", {});
}

void MembershipDriver::finishLeave()
{
    perform(membership_.finishLeave(Clock::now()));
}

void MembershipDriver::setAppliedRevision(std::uint64_t revision)
{
    perform(membership_.setAppliedRevision(revision, Clock::now()));
}

void MembershipDriver::setStopMarks(const StopMarkDigest &digest)
{
    perform(membership_.setStopMarks(digest, Clock::now()));
}

void MembershipDriver::perform(const MembershipActions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &item) { perform(item); }, action);
}

void MembershipDriver::perform(const SendDatagram &action)
{
    auto datagram = action.datagram;
    if (dependencies_.hybridNow)
        datagram.piggyback.hybridTime = dependencies_.hybridNow();
    socket_->send(datagram, action.to);
}

void MembershipDriver::perform(const MemberChanged &action)
{
    if (action.wasLive && !action.isLive)
        aggregator_.removeOwner(action.member.id);
    record("member-changed",
           {{"router", action.member.id.value()},
            {"domain", action.member.domain.value()},
            {"state", toText(action.member.state)},
            {"incarnation", std::to_string(action.member.incarnation)}});
    if (dependencies_.memberChanged)
        dependencies_.memberChanged(action);
}

void MembershipDriver::perform(const SelfPaused &action)
{
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(action.gap);
    record("process-paused", {{"milliseconds", std::to_string(gap.count())}});
    if (dependencies_.viewOutdated)
        dependencies_.viewOutdated();
}

void MembershipDriver::perform(const SelfRefuted &action)
{
    record("suspicion-refuted", {{"incarnation", std::to_string(action.incarnation)}});
    if (dependencies_.viewOutdated)
        dependencies_.viewOutdated();
}

void MembershipDriver::perform(const HeadRevisionSeen &action)
{
    if (dependencies_.headRevisionSeen)
        dependencies_.headRevisionSeen(action.revision, action.from);
}

void MembershipDriver::perform(const StopMarksDiffer &action)
{
    if (dependencies_.stopMarksDiffer)
        dependencies_.stopMarksDiffer(action.peer);
}

void MembershipDriver::record(const std::string &kind, std::vector<EventField> fields) const
{
    if (dependencies_.events)
        dependencies_.events(Event{.kind = kind, .fields = std::move(fields)});
}

} // namespace jy
