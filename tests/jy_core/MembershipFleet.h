#pragma once

#include "jy_core/membership/DatagramSize.h"
#include "jy_core/membership/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>

namespace jy::test {

/** Network faults between the routers of a MembershipFleet. */
struct NetworkFaults
{
    double loss = 0;
    double duplication = 0;
    std::chrono::milliseconds maxDelay{2};

    /** Returns true if datagrams between two endpoints are dropped. */
    std::function<bool(const Endpoint &from, const Endpoint &to)> isBlocked =
        [](const Endpoint &, const Endpoint &) { return false; };
};

/** Membership state machines on a simulated clock and network; a seed makes a run reproducible. */
class MembershipFleet
{
public:
    struct Node
    {
        Membership machine;
        bool running = true;
        std::vector<MemberChanged> changes;
        std::vector<std::uint64_t> refutations;
        int pauses = 0;
    };

    explicit MembershipFleet(std::uint64_t seed)
        : random_(seed)
    { }

    static Endpoint endpoint(int index) { return {"10.0.0." + std::to_string(index), 7000}; }

    static InstanceId id(int index) { return InstanceId("router-" + std::to_string(index)); }

    static MemberInfo info(int index, std::uint64_t incarnation, const std::string &region = "r1")
    {
        MemberInfo member{.id = id(index), .domain = DomainId("d1"), .region = RegionId(region)};
        member.gossip = endpoint(index);
        member.rpc = {member.gossip.address, 7001};
        member.caller = {member.gossip.address, 7002};
        member.operations = {member.gossip.address, 7003};
        member.incarnation = incarnation;
        return member;
    }

    /** Starts or restarts a router; seeds are the endpoints of the given routers. */
    Node &start(int index, const std::vector<int> &seeds, std::uint64_t incarnation = 1000,
                const std::string &region = "r1")
    {
        MembershipSettings settings;
        for (const int seed : seeds)
            settings.seeds.push_back(endpoint(seed));
        auto machine =
            Membership::create(settings, info(index, incarnation, region), random_()).value();
        nodes_[endpoint(index)] = std::make_unique<Node>(Node{std::move(machine)});
        return node(index);
    }

    void startAll(int count)
    {
        for (int i = 1; i <= count; ++i)
            start(i, {1, 2});
    }

    Node &node(int index) { return *nodes_.at(endpoint(index)); }
    Membership &machine(int index) { return node(index).machine; }
    void kill(int index) { nodes_.erase(endpoint(index)); }
    TimePoint now() const { return now_; }
    NetworkFaults &faults() { return faults_; }

    /** Performs the actions of a router. */
    void perform(int index, const MembershipActions &actions) { perform(endpoint(index), actions); }

    void run(std::chrono::milliseconds duration)
    {
        const auto end = now_ + duration;
        while (now_ < end) {
            now_ += std::chrono::milliseconds(1);
            deliver();
            // Each router ticks every 50 ms, at its own offset.
            for (auto &[address, node] : nodes_) {
                const auto phase = (now_.time_since_epoch() / std::chrono::milliseconds(1))
                    + static_cast<long>(std::hash<std::string>{}(address.address) % 50);
                if (node->running && phase % 50 == 0)
                    perform(address, node->machine.tick(now_));
            }
        }
    }

    /** State of a router in the table of another one; Left if it is not in the table. */
    MemberState stateOf(int index, int observer)
    {
        for (const auto &member : machine(observer).members()) {
            if (member.id == id(index))
                return member.state;
        }
        return MemberState::Left;
    }

    /** Returns true if every running router sees exactly the running routers as live. */
    bool agrees()
    {
        std::vector<InstanceId> expected;
        for (const auto &[address, node] : nodes_) {
            if (node->running && node->machine.self().state == MemberState::Alive)
                expected.push_back(node->machine.self().id);
        }
        std::sort(expected.begin(), expected.end());
        for (const auto &[address, node] : nodes_) {
            std::vector<InstanceId> seen;
            for (const auto &member : node->machine.liveRouters())
                seen.push_back(member.id);
            if (node->running && seen != expected)
                return false;
        }
        return true;
    }

    /** Runs until agrees() or the limit. @returns the time taken, or nothing. */
    std::optional<std::chrono::milliseconds> runUntilAgreed(std::chrono::milliseconds limit)
    {
        const auto start = now_;
        while (now_ - start < limit) {
            if (agrees())
                return std::chrono::duration_cast<std::chrono::milliseconds>(now_ - start);
            run(std::chrono::milliseconds(50));
        }
        return std::nullopt;
    }

private:
    struct InTransit
    {
        Endpoint from;
        Endpoint to;
        Datagram datagram;
    };

    double uniformRandom() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

    void perform(const Endpoint &from, const MembershipActions &actions)
    {
        auto &node = *nodes_.at(from);
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<SendDatagram>(&action))
                transmit(from, *send);
            else if (const auto *change = std::get_if<MemberChanged>(&action))
                node.changes.push_back(*change);
            else if (const auto *refuted = std::get_if<SelfRefuted>(&action))
                node.refutations.push_back(refuted->incarnation);
            else if (std::holds_alternative<SelfPaused>(action))
                ++node.pauses;
        }
    }

    void transmit(const Endpoint &from, const SendDatagram &send)
    {
        if (encodedSizeBound(send.datagram) + sealBytes > maxDatagramBytes)
            throw std::logic_error("datagram larger than the limit");
        const int copies = uniformRandom() < faults_.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const auto delay = std::chrono::milliseconds(
                1
                + static_cast<long>(random_()
                                    % static_cast<std::uint64_t>(faults_.maxDelay.count())));
            const bool lost = uniformRandom() < faults_.loss || faults_.isBlocked(from, send.to);
            if (!lost)
                network_.emplace(now_ + delay, InTransit{from, send.to, send.datagram});
        }
    }

    void deliver()
    {
        while (!network_.empty() && network_.begin()->first <= now_) {
            const auto item = std::move(network_.extract(network_.begin()).mapped());
            const auto receiver = nodes_.find(item.to);
            if (receiver != nodes_.end() && receiver->second->running) {
                perform(item.to, receiver->second->machine.receive(item.datagram, item.from, now_));
            }
        }
    }

    std::mt19937_64 random_;
    TimePoint now_{std::chrono::hours(1)};
    NetworkFaults faults_;
    std::map<Endpoint, std::unique_ptr<Node>> nodes_;
    std::multimap<TimePoint, InTransit> network_;
};

} // namespace jy::test
