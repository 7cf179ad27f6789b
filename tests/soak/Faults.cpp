#include "Faults.h"

#include "platform/WireNames.h"

#include <array>
#include <csignal>

namespace jy::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
using standins::FaultRules;
namespace wire = platform::wire;

// Time that a gateway has to exit after SIGTERM before it gets SIGKILL.
constexpr seconds shutdownTimeout{8};

// Entries that expired during a store outage are written again within two seconds of its end.
constexpr int maxReregistrationDelayMs = 1800;

/** Records a disturbance of one part of the fleet for the lifetime of this object. */
class DisturbanceScope
{
public:
    DisturbanceScope(SoakFleet &fleet, const std::string &part, Origin origin = Origin::Fault)
        : fleet_(fleet)
        , number_(fleet.disturbances.begin(part, origin, Clock::now()))
    { }
    DisturbanceScope(const DisturbanceScope &) = delete;
    DisturbanceScope &operator=(const DisturbanceScope &) = delete;
    ~DisturbanceScope() { fleet_.disturbances.end(number_, Clock::now()); }

private:
    SoakFleet &fleet_;
    std::size_t number_;
};

using LinkPtr = std::shared_ptr<standins::ProxyLink>;

void beginRules(const LinkPtr &link, const FaultRules &rules)
{
    link->rules = rules;
    link->rulesChanged();
}

void endRules(const LinkPtr &link)
{
    // A cut drops bytes of open connections, which TCP would never do, so they are reset.
    if (link->rules.cutForward || link->rules.cutBackward)
        beginRules(link, {.reset = true});
    link->rules = {};
}

void applyRules(const LinkPtr &link, const FaultRules &rules, milliseconds time)
{
    beginRules(link, rules);
    EventLoop::sleepFor(time);
    endRules(link);
}

/** Draws a delay, a cut in one or both directions, or resets. */
FaultRules drawLinkRules(FaultDraw &draw)
{
    FaultRules rules;
    switch (draw.number(0, 4)) {
    case 0:
        rules.delay = draw.time(20, 400);
        rules.jitter = draw.time(0, 100);
        break;
    case 1:
        rules.cutForward = true;
        break;
    case 2:
        rules.cutBackward = true;
        break;
    case 3:
        rules.cutForward = rules.cutBackward = true;
        break;
    default:
        rules.reset = true;
    }
    return rules;
}

void startAgain(FaultDraw &draw, SoakGateway &gateway)
{
    if (!gateway.running())
        draw.fleet().startGateway(gateway);
}

/** Waits until a restarted gateway is ready, so that its start belongs to the disturbance. */
void awaitReady(FaultDraw &draw, const SoakGateway &gateway)
{
    constexpr seconds longest{4};
    const auto deadline = Clock::now() + longest;
    while (!draw.fleet().ready(gateway) && Clock::now() < deadline)
        EventLoop::sleepFor(milliseconds(100));
}

void killGateway(FaultDraw &draw)
{
    auto &gateway = draw.gateway();
    if (!gateway.running())
        return;
    const DisturbanceScope disturbed(draw.fleet(), gateway.place().id);
    gateway.ending = true;
    gateway.process->kill();
    EventLoop::sleepFor(draw.time(100, 8000));
    startAgain(draw, gateway);
    awaitReady(draw, gateway);
}

void killAllGateways(FaultDraw &draw)
{
    auto &fleet = draw.fleet();
    const DisturbanceScope disturbed(fleet, "store");
    for (auto &gateway : fleet.gateways) {
        gateway.ending = true;
        if (gateway.running())
            gateway.process->kill();
    }
    EventLoop::sleepFor(draw.time(100, 1500));
    for (auto &gateway : fleet.gateways)
        startAgain(draw, gateway);
    for (const auto &gateway : fleet.gateways)
        awaitReady(draw, gateway);
}

void pauseGateway(FaultDraw &draw)
{
    auto &gateway = draw.gateway();
    if (!gateway.running())
        return;
    const DisturbanceScope disturbed(draw.fleet(), gateway.place().id);
    const auto process = gateway.process;
    process->pause();
    EventLoop::sleepFor(draw.time(200, 6000));
    process->resume();
}

/** Pauses and resumes the process repeatedly, so that it gets only part of the CPU time. */
void slowGateway(FaultDraw &draw)
{
    auto &gateway = draw.gateway();
    if (!gateway.running())
        return;
    const DisturbanceScope disturbed(draw.fleet(), gateway.place().id);
    const auto process = gateway.process;
    for (const auto end = Clock::now() + draw.time(500, 4000); Clock::now() < end;) {
        process->pause();
        EventLoop::sleepFor(milliseconds(60));
        process->resume();
        EventLoop::sleepFor(milliseconds(20));
    }
}

/** Sends signals to a process that is stopping; none of them may change how it ends. */
void signalDuringShutdown(FaultDraw &draw, bench::ChildProcess &process)
{
    constexpr std::array signals{SIGHUP, SIGHUP, SIGTERM, SIGINT};
    for (int left = draw.number(0, 3); left > 0; --left) {
        EventLoop::sleepFor(draw.time(20, 1500));
        process.signal(signals[static_cast<std::size_t>(draw.number(0, signals.size() - 1))]);
    }
}

void terminateAndRestart(FaultDraw &draw, SoakGateway &gateway)
{
    if (!gateway.running())
        return;
    auto &fleet = draw.fleet();
    const DisturbanceScope disturbed(fleet, gateway.place().id, Origin::PlannedWork);
    // A process that has just been started may not handle signals yet.
    const bool wasReady = fleet.ready(gateway);
    const auto process = gateway.process;
    gateway.ending = true;
    process->terminate();
    signalDuringShutdown(draw, *process);
    const auto code = process->waitForExit(shutdownTimeout);
    if (!code)
        process->kill();
    // Another series of faults may have killed it.
    constexpr int killed = 128 + SIGKILL;
    if (wasReady && code && *code != 0 && *code != killed)
        fleet.ledger.note("ENDED",
                          gateway.place().id + " ended with " + std::to_string(*code)
                              + " during its shutdown");
    EventLoop::sleepFor(draw.time(50, 500));
    startAgain(draw, gateway);
    awaitReady(draw, gateway);
}

void terminateGateway(FaultDraw &draw)
{
    terminateAndRestart(draw, draw.gateway());
}

void terminateAllInTurn(FaultDraw &draw)
{
    for (auto &gateway : draw.fleet().gateways)
        terminateAndRestart(draw, gateway);
}

void reloadSettings(FaultDraw &draw)
{
    auto &gateway = draw.gateway();
    if (!gateway.running())
        return;
    const DisturbanceScope disturbed(draw.fleet(), gateway.place().id, Origin::PlannedWork);
    ::kill(gateway.process->pid(), SIGHUP);
    EventLoop::sleepFor(milliseconds(100));
}

void harmCallerLink(FaultDraw &draw)
{
    auto &gateway = draw.gateway();
    const DisturbanceScope disturbed(draw.fleet(), gateway.place().id);
    applyRules(gateway.callerLink, drawLinkRules(draw), draw.time(100, 4000));
}

void harmStoreLink(FaultDraw &draw)
{
    auto &gateway = draw.gateway();
    const DisturbanceScope disturbed(draw.fleet(), gateway.place().id);
    auto rules = drawLinkRules(draw);
    if (draw.coin())
        rules.loseAnswers = draw.number(1, 10);
    applyRules(gateway.storeLink, rules, draw.time(200, 6000));
}

void harmPeerLinks(FaultDraw &draw)
{
    auto &gateway = draw.gateway();
    const DisturbanceScope disturbed(draw.fleet(), gateway.place().id);
    auto rules = drawLinkRules(draw);
    if (draw.coin())
        rules = {.drop = 0.3, .reorder = 0.2};
    beginRules(gateway.controlLink, rules);
    applyRules(gateway.peerLink, rules, draw.time(200, 6000));
    endRules(gateway.controlLink);
}

void harmServerLink(FaultDraw &draw)
{
    auto &server = draw.server();
    const DisturbanceScope disturbed(draw.fleet(), server.id());
    applyRules(server.link, drawLinkRules(draw), draw.time(100, 4000));
}

void stopStore(FaultDraw &draw)
{
    auto &fleet = draw.fleet();
    const DisturbanceScope disturbed(fleet, "store");
    const bool entriesExpire = draw.coin();
    fleet.store.setDown(true, !entriesExpire);
    for (auto &server : fleet.servers) {
        if (entriesExpire && draw.coin())
            server->removeEntry();
    }
    EventLoop::sleepFor(draw.time(200, 6000));
    fleet.store.setDown(false);
    EventLoop::sleepFor(draw.time(100, maxReregistrationDelayMs));
    for (auto &server : fleet.servers) {
        if (entriesExpire && server->running())
            server->writeEntry();
    }
}

void loseStoreHistory(FaultDraw &draw)
{
    auto &fleet = draw.fleet();
    const DisturbanceScope disturbed(fleet, "store");
    fleet.writeConfig();
    fleet.store.forgetHistory();
    EventLoop::sleepFor(milliseconds(200));
}

void restoreStore(FaultDraw &draw)
{
    auto &fleet = draw.fleet();
    fleet.store.saveCopy();
    EventLoop::sleepFor(draw.time(500, 9000));
    const DisturbanceScope disturbed(fleet, "store");
    fleet.store.setDown(true);
    EventLoop::sleepFor(draw.time(0, 2000));
    fleet.store.restore();
    fleet.store.setDown(false);
    EventLoop::sleepFor(draw.time(100, maxReregistrationDelayMs));
    fleet.store.writeAgain();
}

void slowStore(FaultDraw &draw)
{
    auto &fleet = draw.fleet();
    const DisturbanceScope disturbed(fleet, "store");
    const auto delay = draw.time(50, 600);
    for (auto &gateway : fleet.gateways)
        gateway.storeLink->rules.delay = delay;
    EventLoop::sleepFor(draw.time(500, 5000));
    for (auto &gateway : fleet.gateways)
        gateway.storeLink->rules.delay = milliseconds(0);
}

void crashServer(FaultDraw &draw)
{
    auto &server = draw.server();
    if (!server.running())
        return;
    const DisturbanceScope disturbed(draw.fleet(), server.id());
    const bool leaveEntry = draw.coin();
    server.crash(leaveEntry);
    EventLoop::sleepFor(draw.time(50, 5000));
    if (server.running())
        return;
    const bool sameId = draw.coin();
    if (leaveEntry && !sameId)
        server.removeEntry();
    server.start(sameId);
}

/** Starts a server, possibly of another service, at the address of one that crashed. */
void reuseAddress(FaultDraw &draw)
{
    auto &server = draw.server();
    if (!server.running() || server.id().empty())
        return;
    const auto old = server.id();
    const DisturbanceScope disturbed(draw.fleet(), old);
    const bool model = draw.coin();
    server.crash(false);
    EventLoop::sleepFor(draw.time(2000, 4000));
    if (!server.running())
        server.start(false, model ? "model" : "plain");
}

void flapServer(FaultDraw &draw)
{
    auto &server = draw.server();
    const DisturbanceScope disturbed(draw.fleet(), server.id());
    for (int turn = draw.number(2, 5); turn > 0; --turn) {
        if (!server.running())
            return;
        server.crash(true);
        EventLoop::sleepFor(draw.time(50, 800));
        if (server.running())
            return;
        server.start(true);
        EventLoop::sleepFor(draw.time(50, 800));
    }
}

void leaveServer(FaultDraw &draw)
{
    auto &server = draw.server();
    if (!server.running())
        return;
    const DisturbanceScope disturbed(draw.fleet(), server.id(), Origin::PlannedWork);
    server.leave(draw.coin());
    EventLoop::sleepFor(draw.time(100, 2000));
    if (!server.running())
        server.start(false);
}

void becomeCold(FaultDraw &draw)
{
    auto &server = draw.server();
    const DisturbanceScope disturbed(draw.fleet(), server.id());
    if (server.running())
        server.becomeCold();
    EventLoop::sleepFor(seconds(2));
}

void misbehaveServer(FaultDraw &draw)
{
    auto &server = draw.server();
    const DisturbanceScope disturbed(draw.fleet(), server.id());
    constexpr double highShare = 0.8;
    switch (draw.number(0, 4)) {
    case 0:
        server.misbehavior.hangs = true;
        break;
    case 1:
        server.misbehavior.errors = highShare;
        break;
    case 2:
        server.misbehavior.rejects = highShare;
        break;
    case 3:
        server.misbehavior.breaks = highShare;
        break;
    default:
        server.misbehavior.slowness = draw.number(3, 10);
    }
    EventLoop::sleepFor(draw.time(300, 5000));
    server.misbehavior = {};
}

void changeConfig(FaultDraw &draw)
{
    const DisturbanceScope disturbed(draw.fleet(), "config", Origin::PlannedWork);
    for (int change = draw.number(1, 8); change > 0; --change) {
        draw.fleet().writeConfig();
        EventLoop::sleepFor(draw.time(10, 500));
    }
}

void evacuate(FaultDraw &draw)
{
    auto &fleet = draw.fleet();
    const DisturbanceScope disturbed(fleet, "evacuation", Origin::PlannedWork);
    const std::string domain = draw.coin() ? "a" : "b";
    const auto key = std::string(wire::evacuationKeys) + domain;
    // Evacuations have three seconds more than leaving servers until requests must stop.
    const auto at = Clock::now() + seconds(3);
    fleet.store.put(key, "{}");
    for (const auto &server : fleet.servers) {
        if (server->domain() == domain)
            fleet.ledger.withdrawn(server->id(), at);
    }
    EventLoop::sleepFor(draw.time(500, 9000));
    for (const auto &server : fleet.servers) {
        if (server->domain() == domain)
            fleet.ledger.returned(server->id());
    }
    fleet.store.remove(key);
}

const std::array kinds = {
    FaultKind{"kill-gateway", killGateway},
    FaultKind{"kill-all-gateways", killAllGateways},
    FaultKind{"pause-gateway", pauseGateway},
    FaultKind{"slow-gateway", slowGateway},
    FaultKind{"terminate-gateway", terminateGateway},
    FaultKind{"terminate-all-in-turn", terminateAllInTurn},
    FaultKind{"reload-settings", reloadSettings},
    FaultKind{"harm-caller-link", harmCallerLink},
    FaultKind{"harm-store-link", harmStoreLink},
    FaultKind{"harm-peer-links", harmPeerLinks},
    FaultKind{"harm-server-link", harmServerLink},
    FaultKind{"stop-store", stopStore},
    FaultKind{"lose-store-history", loseStoreHistory},
    FaultKind{"slow-store", slowStore},
    FaultKind{"crash-server", crashServer},
    FaultKind{"reuse-address", reuseAddress},
    FaultKind{"flap-server", flapServer},
    FaultKind{"leave-server", leaveServer},
    FaultKind{"become-cold", becomeCold},
    FaultKind{"upset-server", misbehaveServer},
    FaultKind{"change-config", changeConfig},
    FaultKind{"evacuate", evacuate},
    FaultKind{"restore-store", restoreStore},
};

} // namespace

std::span<const FaultKind> faultKinds()
{
    return kinds;
}

} // namespace jy::soak
