#include "DutyStore.h"

#include "jy_gateway/registry/StoreEraTracker.h"

#include <gtest/gtest.h>

#include <optional>

namespace jy::test {

namespace {

constexpr DutyLeaseSettings settings;
constexpr milliseconds round{1000};

/** A call that reached the platform. */
struct Act
{
    int holder = 0;
    std::uint64_t token = 0;
    TimePoint at;
};

/** How a wrong implementation would decide to send, to show that the check finds it. */
enum class Mutant {
    None,
    SkipsCheckBeforeSend, /**< sends with its token as long as it believes to be the holder */
    SkipsTakeoverDelay, /**< sends as soon as the lease is granted */
    IgnoresRestores, /**< knows of no era */
};

/** Something that happens to one of the instances in one or more rounds. */
struct Fault
{
    enum class Kind {
        Unavailable,
        ResponseLost,
        AppliedLate,
        Frozen,
        Restarted,
        LeasesEnd,
        Stopped,
        Restored, /**< the store comes back from the copy of that many rounds before */
    };
    Kind kind = Kind::Frozen;
    int round = 0;
    int instance = 0;
    int rounds = 1;
};

/** Two instances that acquire, renew and act once in each round, and the calls they made. */
class HolderModel
{
public:
    explicit HolderModel(Mutant mutant)
        : mutant_(mutant)
    {
        if (mutant == Mutant::IgnoresRestores)
            store_.era = 0;
        for (int i = 0; i < instances; ++i)
            start(i);
    }

    static constexpr int instances = 2;
    static constexpr int rounds = 14;

    void run(const std::vector<Fault> &faults)
    {
        for (int now = 0; now < rounds; ++now) {
            store_.advance(round);
            for (const auto &fault : faults) {
                if (fault.kind == Fault::Kind::Restored && fault.round == now && now > 0)
                    store_.restore(static_cast<std::size_t>(fault.rounds - 1));
            }
            store_.applyDelayed();
            store_.saveCopy();
            for (int i = 0; i < instances; ++i)
                runInstance(i, now, faults);
        }
    }

    /** @returns a description of a violation; empty if all calls were allowed */
    std::string violation() const
    {
        for (std::size_t i = 0; i < acts.size(); ++i) {
            for (std::size_t k = 0; k < i; ++k) {
                if (acts[i].token < acts[k].token)
                    return "a token fell";
                if (acts[i].token == acts[k].token && acts[i].holder != acts[k].holder)
                    return "two holders share a token";
                const bool returned = acts[i].holder == acts[k].holder
                    && acts[i].at - acts[k].at < settings.lifetime
                    && std::any_of(acts.begin() + static_cast<std::ptrdiff_t>(k),
                                   acts.begin() + static_cast<std::ptrdiff_t>(i),
                                   [&](const Act &act) { return act.holder != acts[i].holder; });
                if (returned)
                    return "a holder returned within the lease time";
            }
        }
        return {};
    }

    std::vector<Act> acts;

private:
    void start(int i)
    {
        eras_[i].emplace([](StoreEra, StoreEra) {});
        stores_[i] = store_.open(faults_[i], [this, i](StoreEra era) { eras_[i]->observe(era); });
        leases_[i].emplace(
            stores_[i], DutyHolder{InstanceId("i" + std::to_string(i)), ++incarnation_}, settings,
            [this] { return store_.now; }, [this, i] { return eras_[i]->current(); });
    }

    void runInstance(int i, int now, const std::vector<Fault> &faults)
    {
        faults_[i] = StoreFault::None;
        for (const auto &fault : faults) {
            if (fault.instance != i || now < fault.round || now >= fault.round + fault.rounds)
                continue;
            switch (fault.kind) {
            case Fault::Kind::Unavailable:
                faults_[i] = StoreFault::Unavailable;
                break;
            case Fault::Kind::ResponseLost:
                faults_[i] = StoreFault::ResponseLost;
                break;
            case Fault::Kind::AppliedLate:
                faults_[i] = StoreFault::AppliedLate;
                break;
            case Fault::Kind::Frozen:
                return;
            case Fault::Kind::Restarted:
                return start(i);
            case Fault::Kind::LeasesEnd:
                store_.endLeases();
                break;
            case Fault::Kind::Stopped:
                (void)leases_[i]->release();
                return;
            case Fault::Kind::Restored:
                break;
            }
        }
        auto &lease = *leases_[i];
        // The act comes first: it is the first thing that an instance does after a freeze.
        act(i, lease);
        if (lease.acquired())
            (void)lease.renew();
        else
            (void)lease.acquire();
    }

    void act(int i, const DutyLease &lease)
    {
        const bool skips = mutant_ == Mutant::SkipsCheckBeforeSend
            || (mutant_ == Mutant::SkipsTakeoverDelay && lease.held());
        if (skips && lease.acquired())
            acts.push_back({i, lease.token(), store_.now});
        else if (const auto credential = lease.credentialForCall())
            acts.push_back({i, credential->fencingToken, store_.now});
    }

    Mutant mutant_;
    DutyStore store_;
    std::uint64_t incarnation_ = 0;
    StoreFault faults_[instances]{};
    std::optional<StoreEraTracker> eras_[instances];
    SharedStore stores_[instances];
    std::optional<DutyLease> leases_[instances];
};

std::vector<Fault> allFaults()
{
    using enum Fault::Kind;
    std::vector<Fault> faults;
    for (const auto kind :
         {Unavailable, ResponseLost, AppliedLate, Frozen, Restarted, LeasesEnd, Stopped}) {
        for (int at = 0; at < 8; ++at) {
            for (int instance = 0; instance < HolderModel::instances; ++instance) {
                faults.push_back({kind, at, instance, 1});
                if (kind == Unavailable || kind == Frozen)
                    faults.push_back({kind, at, instance, 4});
            }
        }
    }
    for (int at = 1; at < 8; ++at) {
        for (const int age : {1, 3})
            faults.push_back({Restored, at, 0, age});
    }
    return faults;
}

/** Plays all schedules with at most three faults. @returns the first violation */
std::string explore(Mutant mutant, int &schedules)
{
    const auto faults = allFaults();
    std::string found;
    const auto play = [&](const std::vector<Fault> &chosen) {
        HolderModel model(mutant);
        model.run(chosen);
        ++schedules;
        found = model.violation();
        return found.empty();
    };
    if (!play({}))
        return found;
    for (std::size_t a = 0; a < faults.size(); ++a) {
        for (std::size_t b = a; b < faults.size(); ++b) {
            for (std::size_t c = b; c < faults.size(); ++c) {
                if (!play({faults[a], faults[b], faults[c]}))
                    return found;
            }
        }
    }
    return {};
}

struct ExplorationCase
{
    const char *name;
    Mutant mutant;
    bool violates;
};

struct DutyLeaseExploration : testing::TestWithParam<ExplorationCase>
{ };

// Guards against two holders that act at the same time, a fencing token that falls, and a holder
// that returns too early: with lost and late answers of the store, freezes, restarts, leases that
// end early, hand-overs and restores of the store from older copies. The mutants show that the
// exploration finds such faults.
TEST_P(DutyLeaseExploration, HoldersActInOrder)
{
    int schedules = 0;
    EXPECT_EQ(!explore(GetParam().mutant, schedules).empty(), GetParam().violates);
    EXPECT_GE(schedules, GetParam().violates ? 1 : 100'000);
}

INSTANTIATE_TEST_SUITE_P(
    Mutants, DutyLeaseExploration,
    testing::Values(ExplorationCase{"None", Mutant::None, false},
                    ExplorationCase{"SkipsCheckBeforeSend", Mutant::SkipsCheckBeforeSend, true},
                    ExplorationCase{"SkipsTakeoverDelay", Mutant::SkipsTakeoverDelay, true},
                    ExplorationCase{"IgnoresRestores", Mutant::IgnoresRestores, true}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a holder that goes on after a hand-over, because a renewal that was on its way at
// that time succeeded.
TEST(DutyLeaseTest, RenewalDoesNotUndoTheHandOver)
{
    DutyStore store;
    const StoreFault fault = StoreFault::None;
    auto shared = store.open(fault);
    DutyLease *lease = nullptr;
    const auto renewLease = shared.renewLease;
    shared.renewLease = [&](std::uint64_t id) {
        auto renewed = renewLease(id);
        (void)lease->release();
        return renewed;
    };
    DutyLease holder(
        shared, {InstanceId("a"), 1}, settings, [&] { return store.now; },
        [&] { return store.era; });
    lease = &holder;
    ASSERT_TRUE(holder.acquire());
    store.advance(milliseconds(2000));
    (void)holder.renew();
    store.advance(milliseconds(1400));
    EXPECT_FALSE(holder.held());
    EXPECT_FALSE(holder.credentialForCall());
}

// Guards against a token that falls when a build from before, whose token is the revision, takes
// over: without restores the token is the revision.
TEST(DutyLeaseTest, TokenIsTheRevisionWithoutARestore)
{
    DutyStore store;
    const StoreFault fault = StoreFault::None;
    const auto shared = store.open(fault);
    for (std::uint64_t incarnation = 1; incarnation < 4; ++incarnation) {
        DutyLease holder(
            shared, {InstanceId("a"), incarnation}, settings, [&] { return store.now; },
            [&] { return store.era; });
        ASSERT_TRUE(holder.acquire());
        EXPECT_EQ(holder.token(), store.items.at(std::string(dutyHolderKey)).revision);
        ASSERT_TRUE(holder.release());
    }
}

// Guards against a token that falls because the copy is older than the first holder and its fence.
TEST(DutyLeaseTest, TokenRisesIfTheCopyHasNoFence)
{
    DutyStore store;
    const StoreFault fault = StoreFault::None;
    const auto shared = store.open(fault);
    const auto create = [&](const char *name) {
        DutyLease lease(
            shared, {InstanceId(name), 1}, settings, [&] { return store.now; },
            [&] { return store.era; });
        lease.noteEra();
        return lease;
    };
    auto first = create("a");
    auto second = create("b");
    store.saveCopy();
    ASSERT_TRUE(shared.commit({.writes = {{"op/x", "y"}}}));
    ASSERT_TRUE(first.acquire());
    store.restore(0);
    ASSERT_TRUE(second.acquire());
    EXPECT_GT(second.token(), first.token());
}

// Guards against duties that nobody performs: without faults the first instance acts from the end
// of the takeover delay on, and after it has stopped the second one does.
TEST(DutyLeaseTest, DutiesAreTakenOver)
{
    HolderModel model(Mutant::None);
    model.run({{Fault::Kind::Stopped, 6, 0, 8}});
    ASSERT_FALSE(model.acts.empty());
    EXPECT_EQ(model.acts.front().holder, 0);
    EXPECT_EQ(model.acts.back().holder, 1);
}

} // namespace

} // namespace jy::test
