#include "ControlTraffic.h"

#include "jy_core/membership/Membership.h"
#include "jy_peer/gossip/DatagramCodec.h"

#include <algorithm>
#include <ctime>
#include <functional>
#include <map>
#include <random>

namespace jy::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto latency = 1ms;
constexpr auto tickInterval = 100ms;
constexpr auto patience = 30s;
constexpr auto checkInterval = 10ms;
constexpr auto revisionTime = 10s;

/** Fetching and applying a revision from a peer takes about this long. */
constexpr auto adoptionDelay = 20ms;

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

class Fleet
{
public:
    Fleet(std::size_t count, const ControlTrafficSettings &settings)
        : random_(settings.seed)
        , loss_(settings.loss)
        , keys_(KeyRing::create({{"key-1", std::string(32, 'k')}}, "key-1").value())
    {
        for (std::size_t i = 0; i < count; ++i)
            routers_.push_back(createRouter(i));
    }

    void run(std::chrono::milliseconds duration)
    {
        const auto end = now_ + duration;
        while (now_ < end)
            step();
    }

    /** @returns the time until the condition holds, or -1 ms when it does not in time. */
    std::chrono::milliseconds runUntil(const std::function<bool()> &condition)
    {
        const auto start = now_;
        while (now_ - start < patience) {
            if (condition())
                return std::chrono::duration_cast<std::chrono::milliseconds>(now_ - start);
            run(checkInterval);
        }
        return -1ms;
    }

    template <class Condition>
    bool all(Condition condition) const
    {
        return std::all_of(routers_.begin(), routers_.end(), [&](const Router &router) {
            return !router.running || condition(router.machine);
        });
    }

    void kill(std::size_t index) { routers_[index].running = false; }

    void applyRevision(std::size_t index, std::uint64_t revision)
    {
        perform(index, routers_[index].machine.setAppliedRevision(revision, now_));
    }

    void resetTraffic()
    {
        for (auto &router : routers_)
            router.sentBytes = 0;
    }

    double meanSentBytes() const
    {
        double sum = 0;
        for (const auto &router : routers_)
            sum += static_cast<double>(router.sentBytes);
        return sum / static_cast<double>(routers_.size());
    }

    double largestSentBytes() const
    {
        std::size_t largest = 0;
        for (const auto &router : routers_)
            largest = std::max(largest, router.sentBytes);
        return static_cast<double>(largest);
    }

    std::size_t largestDatagram() const { return largestDatagram_; }

private:
    struct Router
    {
        Membership machine;
        std::chrono::milliseconds phase;
        bool running = true;
        std::size_t sentBytes = 0;
        std::uint64_t adopting = 0;
        TimePoint adoptAt;
    };

    struct InTransit
    {
        Endpoint from;
        Endpoint to;
        std::string bytes;
    };

    static Endpoint endpoint(std::size_t index)
    {
        return {"10.1." + std::to_string(index / 250) + '.' + std::to_string(index % 250 + 1),
                7400};
    }

    Router createRouter(std::size_t index)
    {
        MemberInfo self{.id = InstanceId("router-" + std::to_string(index)),
                        .domain = DomainId("domain-" + std::to_string(index % 4)),
                        .region = RegionId("region-1")};
        self.gossip = endpoint(index);
        self.rpc = {self.gossip.address, 7401};
        self.caller = {self.gossip.address, 7402};
        self.operations = {self.gossip.address, 7403};
        self.incarnation = 1'700'000'000'000 + index;
        MembershipSettings settings;
        settings.seeds = {endpoint(0), endpoint(1)};
        indexes_[self.gossip] = index;
        const std::chrono::milliseconds phase(random_() % tickInterval.count());
        return {Membership::create(settings, self, random_()).value(), phase};
    }

    void step()
    {
        now_ += 1ms;
        while (!network_.empty() && network_.begin()->first <= now_) {
            const auto item = std::move(network_.extract(network_.begin()).mapped());
            deliver(item);
        }
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
        for (std::size_t i = 0; i < routers_.size(); ++i) {
            auto &router = routers_[i];
            if (!router.running)
                continue;
            if ((elapsed + router.phase) % tickInterval == 0ms)
                perform(i, router.machine.tick(now_));
            if (router.adopting > 0 && now_ >= router.adoptAt)
                applyRevision(i, std::exchange(router.adopting, 0));
        }
    }

    void deliver(const InTransit &item)
    {
        const auto index = indexes_.at(item.to);
        if (!routers_[index].running)
            return;
        const auto datagram = decodeDatagram(openDatagram(*keys_, item.bytes).value()).value();
        perform(index, routers_[index].machine.receive(datagram, item.from, now_));
    }

    void perform(std::size_t index, const MembershipActions &actions)
    {
        auto &router = routers_[index];
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<SendDatagram>(&action)) {
                transmit(router, *send);
            } else if (const auto *seen = std::get_if<HeadRevisionSeen>(&action)) {
                router.adopting = seen->revision;
                router.adoptAt = now_ + adoptionDelay;
            }
        }
    }

    void transmit(Router &router, const SendDatagram &send)
    {
        auto bytes = sealDatagram(*keys_, encodeDatagram(send.datagram)).value();
        router.sentBytes += bytes.size();
        largestDatagram_ = std::max(largestDatagram_, bytes.size());
        constexpr double unit = 1.0 / 18446744073709551616.0;
        if (static_cast<double>(random_()) * unit >= loss_) {
            network_.emplace(now_ + latency,
                             InTransit{router.machine.self().gossip, send.to, std::move(bytes)});
        }
    }

    std::mt19937_64 random_;
    double loss_;
    std::shared_ptr<KeyRing> keys_;
    TimePoint now_{1h};
    std::vector<Router> routers_;
    std::map<Endpoint, std::size_t> indexes_;
    std::multimap<TimePoint, InTransit> network_;
    std::size_t largestDatagram_ = 0;
};

ControlTrafficPoint measureFleet(std::size_t count, const ControlTrafficSettings &settings)
{
    ControlTrafficPoint point{.routers = count};
    Fleet fleet(count, settings);
    fleet.runUntil([&] {
        return fleet.all(
            [&](const Membership &machine) { return machine.liveRouters().size() == count; });
    });
    fleet.run(settings.warmUp);

    fleet.resetTraffic();
    const auto cpuBefore = processorSeconds();
    fleet.run(settings.steadyTime);
    const auto perRouter =
        static_cast<double>(settings.steadyTime.count()) * static_cast<double>(count);
    point.cpuMicrosecondsPerSecond = (processorSeconds() - cpuBefore) * 1e6 / perRouter;
    const auto seconds = static_cast<double>(settings.steadyTime.count());
    point.sentBytesPerSecond = fleet.meanSentBytes() / seconds;
    point.largestSentBytesPerSecond = fleet.largestSentBytes() / seconds;

    constexpr std::uint64_t revision = 5;
    fleet.resetTraffic();
    fleet.applyRevision(0, revision);
    point.revisionSeenEverywhere = fleet.runUntil([&] {
        return fleet.all(
            [](const Membership &machine) { return machine.headRevision() >= revision; });
    });
    const auto confirming = fleet.runUntil([&] {
        return fleet.all([](const Membership &machine) {
            return machine.convergence(revision).lagging.empty();
        });
    });
    if (confirming >= 0ms && point.revisionSeenEverywhere >= 0ms)
        point.revisionConfirmedEverywhere = point.revisionSeenEverywhere + confirming;
    const auto spent = std::max(0ms, point.revisionConfirmedEverywhere);
    if (spent < revisionTime)
        fleet.run(revisionTime - spent);
    const auto window = std::max<std::chrono::milliseconds>(revisionTime, spent);
    point.revisionBytesPerSecond =
        fleet.meanSentBytes() / (static_cast<double>(window.count()) / 1000.0);

    const auto killed = count - 1;
    fleet.kill(killed);
    point.killedKnownEverywhere = fleet.runUntil([&] {
        return fleet.all(
            [&](const Membership &machine) { return machine.liveRouters().size() == count - 1; });
    });
    point.largestDatagramBytes = fleet.largestDatagram();
    return point;
}

double slope(const std::vector<ControlTrafficPoint> &points, double ControlTrafficPoint::*value)
{
    double meanX = 0;
    double meanY = 0;
    const auto count = static_cast<double>(points.size());
    for (const auto &point : points) {
        meanX += static_cast<double>(point.routers) / count;
        meanY += point.*value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto &point : points) {
        const auto x = static_cast<double>(point.routers) - meanX;
        covariance += x * (point.*value - meanY);
        variance += x * x;
    }
    return variance == 0 ? 0 : covariance / variance;
}

} // namespace

ControlTrafficReport measureControlTraffic(const ControlTrafficSettings &settings)
{
    ControlTrafficReport report;
    for (const auto count : settings.routerCounts)
        report.points.push_back(measureFleet(count, settings));
    report.bytesSlope = slope(report.points, &ControlTrafficPoint::sentBytesPerSecond);
    report.cpuSlope = slope(report.points, &ControlTrafficPoint::cpuMicrosecondsPerSecond);
    return report;
}

} // namespace jy::bench
