#include "MembershipFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace std::chrono_literals;
using Fleet = jy::test::MembershipFleet;

namespace {

constexpr int routers = 7;

rc::Gen<jy::MemberInfo> update()
{
    return rc::gen::exec([] {
        auto member = Fleet::info(*rc::gen::inRange(1, 4), *rc::gen::inRange<std::uint64_t>(1, 4));
        member.state = *rc::gen::element(jy::MemberState::Alive, jy::MemberState::Suspect,
                                         jy::MemberState::Leaving, jy::MemberState::Dead,
                                         jy::MemberState::Left);
        member.appliedRevision = *rc::gen::inRange<std::uint64_t>(0, 4);
        return member;
    });
}

std::map<jy::InstanceId, jy::MemberInfo> membersOf(const jy::MemberTable &table)
{
    std::map<jy::InstanceId, jy::MemberInfo> members;
    for (const auto &[id, record] : table.records())
        members[id] = record.info;
    return members;
}

// Guards against tables that depend on the order or number of deliveries, so that routers with the
// same information never agree.
RC_GTEST_PROP(MembershipTable, MergeIsIndependentOfOrderAndDuplication, ())
{
    const auto updates = *rc::gen::container<std::vector<jy::MemberInfo>>(update());
    const auto fill = [](const std::vector<jy::MemberInfo> &sequence) {
        jy::MemberTable table;
        for (int i = 1; i < 4; ++i)
            table.merge(Fleet::info(i, 0), {});
        for (const auto &member : sequence)
            table.merge(member, {});
        return table;
    };
    auto reordered = updates;
    const auto random = *rc::gen::arbitrary<std::uint64_t>();
    std::shuffle(reordered.begin(), reordered.end(), std::mt19937_64(random));
    reordered.insert(reordered.end(), updates.begin(),
                     updates.begin() + static_cast<std::ptrdiff_t>(updates.size() / 2));
    const auto first = fill(updates);
    const auto second = fill(reordered);
    RC_ASSERT(membersOf(first) == membersOf(second));
    RC_ASSERT(first.digest() == second.digest());
}

/** Changes one fault at random, then runs the fleet for a random time. */
void injectFault(Fleet &fleet, std::map<int, std::uint64_t> &incarnations)
{
    const int index = *rc::gen::inRange(1, routers + 1);
    auto &faults = fleet.faults();
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        fleet.node(index).running = false;
        break;
    case 1:
        fleet.node(index).running = true;
        break;
    case 2:
        faults.loss = *rc::gen::element(0.0, 0.1, 0.4);
        faults.duplication = *rc::gen::element(0.0, 0.3);
        faults.maxDelay = *rc::gen::element(2ms, 50ms, 400ms);
        break;
    case 3: {
        const auto border = Fleet::endpoint(index);
        const bool oneWay = *rc::gen::arbitrary<bool>();
        faults.isBlocked = [border, oneWay](const jy::Endpoint &from, const jy::Endpoint &to) {
            return from < border && to >= border ? true : !oneWay && from >= border && to < border;
        };
        break;
    }
    case 4:
        faults.isBlocked = [](const jy::Endpoint &, const jy::Endpoint &) { return false; };
        break;
    default:
        incarnations[index] += *rc::gen::element<std::uint64_t>(1, 5000);
        fleet.start(index, {1, 2}, incarnations[index]);
        break;
    }
    fleet.run(std::chrono::milliseconds(*rc::gen::inRange(10, 6000)));
}

void checkIncarnationsGrow(Fleet &fleet, std::map<std::pair<int, int>, std::uint64_t> &highest)
{
    for (int observer = 1; observer <= routers; ++observer) {
        for (const auto &member : fleet.machine(observer).members()) {
            const auto index = std::stoi(member.id.value().substr(7));
            auto &known = highest[{observer, index}];
            // A restarted process has an empty table of peers, but its own incarnation increases.
            if (observer == index)
                RC_ASSERT(member.incarnation >= known);
            known = member.incarnation;
        }
    }
}

// Guards against a live and reachable router that stays dead after any sequence of pauses,
// restarts, losses, delays, duplicates and partitions, against incarnations that decrease, and
// against datagrams above the size limit (checked by MembershipFleet).
RC_GTEST_PROP(MembershipFaults, TheFleetAgreesAfterTheNetworkHeals, ())
{
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    std::map<int, std::uint64_t> incarnations;
    for (int i = 1; i <= routers; ++i) {
        incarnations[i] = 1000;
        fleet.start(i, {1, 2});
    }
    std::map<std::pair<int, int>, std::uint64_t> highest;
    const int steps = *rc::gen::inRange(1, 10);
    for (int i = 0; i < steps; ++i) {
        injectFault(fleet, incarnations);
        checkIncarnationsGrow(fleet, highest);
        for (int j = 1; j <= routers; ++j)
            incarnations[j] = std::max(incarnations[j], fleet.machine(j).self().incarnation);
    }
    fleet.faults() = {};
    for (int i = 1; i <= routers; ++i)
        fleet.node(i).running = true;
    fleet.run(5s);
    RC_ASSERT(fleet.runUntilAgreed(60s).has_value());
    fleet.run(10s);
    RC_ASSERT(fleet.agrees());
}

// Guards against a probe schedule that declares routers dead because of ordinary packet loss.
RC_GTEST_PROP(MembershipFaults, ModerateLossLeavesAllRoutersLive, ())
{
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.startAll(routers);
    RC_ASSERT(fleet.runUntilAgreed(15s).has_value());
    fleet.faults().loss = 0.05;
    fleet.faults().duplication = 0.1;
    fleet.faults().maxDelay = 20ms;
    for (int i = 0; i < 20; ++i) {
        fleet.run(1s);
        RC_ASSERT(fleet.agrees());
    }
}

} // namespace
