#include "jy_core/ledger/OwnerLedger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

using namespace std::chrono_literals;
using namespace jy;

namespace {

const ServerId server{"engine"};
const TimePoint start{1h};

OwnedServerSpec spec(int maximum = 16)
{
    return {.id = server, .pool = "m@r", .maxConcurrency = maximum, .loadFloor = 100};
}

LedgerSettings settings(const std::string &self)
{
    return {.self = InstanceId(self), .incarnation = 1, .queueLength = 8};
}

HandOffState warm(double limit)
{
    return {.server = server, .limit = limit, .cold = false, .startIdentity = "s"};
}

ReserveInput request(const std::string &holder = "h", const std::string &workspace = "w")
{
    return {.holder = InstanceId(holder), .server = server, .workspace = WorkspaceId(workspace)};
}

std::optional<ReservationKey> grant(OwnerLedger &ledger, const ReserveInput &input, TimePoint now)
{
    const auto result = ledger.reserve(input, now);
    const auto *granted = std::get_if<Granted>(&result);
    return granted == nullptr ? std::nullopt : std::optional(granted->key);
}

ReleaseInput done(const ReservationKey &key, bool ok = true)
{
    return {.key = key,
            .server = server,
            .sample = {.ok = ok, .firstToken = 100ms, .total = 500ms, .cacheHit = true}};
}

HeldReservation held(const ReservationKey &key, const std::string &holder = "h")
{
    return {key, server, WorkspaceId("w"), InstanceId(holder)};
}

int inFlight(const OwnerLedger &ledger, TimePoint now)
{
    return ledger.views(now).at(0).inFlight;
}

struct FailureCase
{
    const char *name;

    /** Acts on a warm ledger (limit 8) with one reservation of holder "h". */
    std::function<void(OwnerLedger &, const ReservationKey &)> run;

    int inFlight;
};

class LedgerFailures : public testing::TestWithParam<FailureCase>
{ };

// Guards against a wrong in-flight count after lost, repeated or late messages.
TEST_P(LedgerFailures, InFlightCountStaysCorrect)
{
    OwnerLedger ledger(settings("a"));
    ledger.acceptHandOff(spec(), warm(8), start);
    const auto key = grant(ledger, request(), start);
    ASSERT_TRUE(key);
    GetParam().run(ledger, *key);
    EXPECT_EQ(inFlight(ledger, start + 10s), GetParam().inFlight);
}

const ReservationKey keyOfOtherOwner{InstanceId("b"), 7, 3};

const std::vector<FailureCase> failureCases{
    {"DuplicateRelease",
     [](auto &l, const auto &k) {
         grant(l, request(), start);
         EXPECT_TRUE(l.release(done(k), start));
         EXPECT_TRUE(l.release(done(k), start));
     },
     1},
    {"ReportSentBeforeTheReleaseArrivesAfterIt",
     [](auto &l, const auto &k) {
         EXPECT_TRUE(l.release(done(k), start));
         l.report(InstanceId("h"), {held(k)}, start + 1s);
     },
     0},
    {"ReleaseArrivesBeforeTheReportThatNamesIt",
     [](auto &l, const auto &) {
         EXPECT_TRUE(l.release(done(keyOfOtherOwner), start));
         l.report(InstanceId("h2"), {held(keyOfOtherOwner, "h2")}, start);
     },
     1},
    {"LiveHolderThatCannotReport",
     [](auto &l, const auto &) {
         for (auto t = 0s; t < 10s; t += 1s)
             l.tick(start + t);
     },
     1},
    {"HolderGone",
     [](auto &l, const auto &) {
         l.holderGone(InstanceId("h"), start + 1s);
         l.tick(start + 3s);
         EXPECT_EQ(inFlight(l, start + 3s), 1);
         l.tick(start + 4s);
     },
     0},
    {"HolderDeclaredDeadReturnsAndStillHasTheStream",
     [](auto &l, const auto &k) {
         l.holderGone(InstanceId("h"), start);
         l.tick(start + 4s);
         l.report(InstanceId("h"), {held(k)}, start + 5s);
         l.tick(start + 10s);
     },
     1},
    {"LateReleaseOfAnExpiredReservation",
     [](auto &l, const auto &k) {
         grant(l, request("other"), start);
         l.holderGone(InstanceId("h"), start);
         l.tick(start + 4s);
         EXPECT_TRUE(l.release(done(k), start + 5s));
     },
     1},
    {"ReplyLost",
     [](auto &l, const auto &) {
         l.report(InstanceId("h"), {}, start + 1s);
         EXPECT_EQ(inFlight(l, start + 1s), 1);
         l.report(InstanceId("h"), {}, start + 4s);
     },
     0},
    {"HandOffRepeatedAfterRelease",
     [](auto &l, const auto &) {
         auto state = warm(8);
         state.inFlight = {held(keyOfOtherOwner, "h2")};
         l.acceptHandOff(spec(), state, start);
         EXPECT_TRUE(l.release(done(keyOfOtherOwner), start));
         l.acceptHandOff(spec(), state, start + 1s);
     },
     1},
    {"HandOffOfAPausedOwnerNamesWhatItsHolderNoLongerHas",
     [](auto &l, const auto &) {
         auto state = warm(8);
         state.inFlight = {held(keyOfOtherOwner, "h2")};
         l.acceptHandOff(spec(), state, start);
         l.tick(start + 4s);
     },
     1},
    {"HandOffConfirmedByTheHolder",
     [](auto &l, const auto &) {
         auto state = warm(8);
         state.inFlight = {held(keyOfOtherOwner, "h2")};
         l.acceptHandOff(spec(), state, start);
         l.report(InstanceId("h2"), {held(keyOfOtherOwner, "h2")}, start + 1s);
         for (auto t = 1s; t < 10s; t += 1s)
             l.tick(start + t);
     },
     2},
    {"OwnershipLostAndRegained",
     [](auto &l, const auto &k) {
         const auto state = l.handOff(server, start);
         EXPECT_FALSE(l.release(done(k), start));
         l.acceptHandOff(spec(), *state, start);
     },
     1},
};

INSTANTIATE_TEST_SUITE_P(Cases, LedgerFailures, testing::ValuesIn(failureCases),
                         [](const auto &info) { return info.param.name; });

// Guards against a new owner that admits up to the full limit before it knows what is in flight.
TEST(Ledger, RecoveryEndsOnlyWhenThePreviousOwnerIsGone)
{
    OwnerLedger ledger(settings("a"));
    ledger.acceptHandOff(spec(), warm(16), start);
    ledger.handOff(server, start);
    ledger.acquire(spec(), true, start);
    EXPECT_EQ(ledger.views(start + 60s).at(0).limit, 4);
    for (auto t = 1s; t <= 60s; t += 1s)
        ledger.tick(start + t);
    ledger.previousOwnerGone(server, start + 60s);
    EXPECT_EQ(ledger.views(start + 61s).at(0).limit, 4);
    EXPECT_EQ(ledger.views(start + 62s).at(0).limit, 16);
}

// Guards against new work for a closed server, and against queued requests that get no response
// when the server closes or changes owner.
TEST(Ledger, QueuedRequestsAreRefusedWhenTheServerClosesOrChangesOwner)
{
    for (const bool close : {true, false}) {
        OwnerLedger ledger(settings("a"));
        ledger.acceptHandOff(spec(), warm(1), start);
        ASSERT_TRUE(grant(ledger, request(), start));
        auto waiting = request();
        waiting.maxWait = 2s;
        waiting.mayWait = true;
        ASSERT_TRUE(std::holds_alternative<Queued>(ledger.reserve(waiting, start)));
        const auto kind = close ? ErrorKind::DomainOut : ErrorKind::NotOwner;
        if (close)
            ledger.setClosed(server, Error{kind, "domain out", {}}, start);
        else
            ledger.handOff(server, start);
        const auto actions = ledger.takeActions();
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_EQ(std::get<RefuseQueued>(actions[0]).error.kind, kind);
        const auto result = ledger.reserve(request(), start);
        EXPECT_EQ(std::get<Refused>(result).error.kind, kind);
    }
}

// Guards against an exception that is ignored, redirects in a circle, or remains after the chat was
// served at its home server.
TEST(Ledger, RedirectsADisplacedChatUntilItIsServedAtHome)
{
    OwnerLedger ledger(settings("a"));
    ledger.acceptHandOff(spec(), warm(8), start);
    ledger.recordException(server, 5, ServerId("other"), start);
    auto input = request();
    input.chatHash = 5;
    EXPECT_EQ(std::get<Redirected>(ledger.reserve(input, start)).server, ServerId("other"));
    input.displaced = true;
    EXPECT_TRUE(grant(ledger, input, start));
    input.displaced = false;
    EXPECT_TRUE(grant(ledger, input, start));
}

// Guards against a workspace with many requests that starves the others on a saturated server.
TEST(Ledger, SaturatedServerIsSharedByWeight)
{
    OwnerLedger ledger(settings("a"));
    ledger.acceptHandOff(spec(4), warm(4), start);
    std::map<std::uint64_t, std::string> waiting;
    std::vector<std::pair<ReservationKey, std::string>> running;
    std::map<std::string, int> served;
    for (int step = 0; step < 400; ++step) {
        const auto now = start + step * 100ms;
        for (const auto *name : {"large", "large", "large", "large", "small", "small"}) {
            auto input = request("h", name);
            input.maxWait = 2s;
            input.mayWait = true;
            const auto result = ledger.reserve(input, now);
            if (const auto *granted = std::get_if<Granted>(&result))
                running.emplace_back(granted->key, name);
            else if (const auto *queued = std::get_if<Queued>(&result))
                waiting[queued->ticket] = name;
        }
        if (!running.empty()) {
            ++served[running.front().second];
            EXPECT_TRUE(ledger.release(done(running.front().first), now));
            running.erase(running.begin());
        }
        for (const auto &action : ledger.takeActions()) {
            if (const auto *granted = std::get_if<GrantQueued>(&action))
                running.emplace_back(granted->key, waiting[granted->ticket]);
        }
    }
    EXPECT_NEAR(served["small"], served["large"], 40);
}

/** A holder and the reservations that it has received, for random interleavings. */
struct Holder
{
    std::string name;
    std::vector<ReservationKey> keys;
};

template <class Range>
std::size_t randomIndex(const Range &range)
{
    return *rc::gen::inRange<std::size_t>(0, range.size());
}

// Guards against leaked reservations and admission above the limit when replies are lost and
// messages are repeated or reordered.
RC_GTEST_PROP(LedgerProperty, AdmitsWithinLimitAndBoundAndLeaksNothing, ())
{
    OwnerLedger ledger(settings("a"));
    const int limit = *rc::gen::inRange(1, 12);
    auto bounded = spec(limit);
    bounded.loadFloor = *rc::gen::inRange(1, 12);
    ledger.acceptHandOff(bounded, warm(limit), start);
    std::vector<Holder> holders{{"h0", {}}, {"h1", {}}, {"h2", {}}};
    std::vector<std::function<void(TimePoint)>> delayed;
    auto now = start;
    for (int step = 0; step < 150; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        auto &holder = holders[randomIndex(holders)];
        switch (*rc::gen::weightedElement<int>({{6, 0}, {3, 1}, {2, 2}, {2, 3}, {1, 4}, {1, 5}})) {
        case 0: {
            const auto before = ledger.views(now).at(0);
            const auto key = grant(ledger, request(holder.name), now);
            RC_ASSERT((!key || before.inFlight < std::min(before.limit, before.bound)));
            if (key && *rc::gen::inRange(0, 5) > 0) // otherwise the reply is lost
                holder.keys.push_back(*key);
            break;
        }
        case 1: {
            if (holder.keys.empty())
                break;
            const auto input = done(holder.keys.back());
            holder.keys.pop_back();
            delayed.emplace_back([&ledger, input](auto at) { (void)ledger.release(input, at); });
            break;
        }
        case 2: {
            std::vector<HeldReservation> list;
            for (const auto &key : holder.keys)
                list.push_back(held(key, holder.name));
            delayed.emplace_back([&ledger, list, name = holder.name](auto at) {
                ledger.report(InstanceId(name), list, at);
            });
            break;
        }
        case 3: {
            if (delayed.empty())
                break;
            const auto index = static_cast<std::ptrdiff_t>(randomIndex(delayed));
            delayed[index](now);
            if (*rc::gen::inRange(0, 3) > 0) // otherwise it is delivered again later
                delayed.erase(delayed.begin() + index);
            break;
        }
        case 4:
            ledger.holderGone(InstanceId(holder.name), now);
            break;
        default:
            ledger.tick(now);
        }
    }
    for (const auto &holder : holders) {
        for (const auto &key : holder.keys)
            RC_ASSERT(ledger.release(done(key), now).has_value());
    }
    for (const auto &deliver : delayed)
        deliver(now);
    for (int second = 0; second < 6; ++second, now += 1s) {
        for (const auto &holder : holders)
            ledger.report(InstanceId(holder.name), {}, now);
    }
    RC_ASSERT(inFlight(ledger, now) == 0);
}

// Guards against two owners that together overload a server while both consider themselves its
// owner, for any length of time. Includes the case that the old owner was paused and the new one
// already uses the full limit.
RC_GTEST_PROP(LedgerProperty, TwoOwnersStayWithinLimitAndAQuarter, ())
{
    const int limit = *rc::gen::inRange(1, 17);
    const bool paused = *rc::gen::arbitrary<bool>();
    OwnerLedger oldOwner(settings("a"));
    OwnerLedger newOwner(settings("b"));
    newOwner.acceptHandOff(spec(limit), warm(limit), start);
    newOwner.handOff(server, start);
    oldOwner.acceptHandOff(spec(limit), warm(limit), start);
    std::vector<HeldReservation> atOld;
    std::vector<HeldReservation> atNew;
    auto now = start;
    const auto reserveAt = [&](OwnerLedger &ledger, auto &list) {
        if (const auto key = grant(ledger, request(), now))
            list.push_back(held(*key));
    };
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i)
        reserveAt(oldOwner, atOld);
    newOwner.acquire(spec(limit), true, now);
    if (paused) {
        newOwner.previousOwnerGone(server, now + 4s);
        newOwner.report(InstanceId("h"), atOld, now + 4s);
        atNew = std::exchange(atOld, {});
        now += 10s;
    }
    for (int step = 0; step < 200; ++step) {
        // An owner that was paused learns of the new owner within seconds after it resumes.
        now += std::chrono::milliseconds(paused ? *rc::gen::inRange(0, 10)
                                                : *rc::gen::inRange(0, 1000));
        const bool first = *rc::gen::arbitrary<bool>();
        auto &ledger = first ? oldOwner : newOwner;
        auto &list = first ? atOld : atNew;
        if (*rc::gen::inRange(0, 3) > 0) {
            reserveAt(ledger, list);
        } else if (!list.empty()) {
            RC_ASSERT(ledger.release(done(list.back().key), now).has_value());
            list.pop_back();
        }
        newOwner.report(InstanceId("h"), atNew, now);
        oldOwner.report(InstanceId("h"), atOld, now);
        RC_ASSERT(
            (static_cast<int>(atOld.size() + atNew.size()) <= limit + std::max(1, limit / 4)));
    }
    const auto state = oldOwner.handOff(server, now);
    newOwner.acceptHandOff(spec(limit), *state, now);
    RC_ASSERT((inFlight(newOwner, now) >= static_cast<int>(atOld.size() + atNew.size())));
    RC_ASSERT(!grant(oldOwner, request(), now));
}

// Guards against a cold server that is overloaded by many routers that discover it at the same
// time.
RC_GTEST_PROP(LedgerProperty, AColdServerGetsNoMoreThanItsRampAllows, ())
{
    OwnerLedger ledger(settings("a"));
    ledger.acquire(spec(), false, start);
    for (auto time = 0s; time < 3s; time += 1s) // recovery ends, the ramp remains
        ledger.tick(start + time);
    RC_ASSERT(!ledger.views(start + 3s).at(0).recovering);
    std::vector<ReservationKey> running;
    int allowed = 1;
    int completed = 0;
    for (int step = 0; step < 200; ++step) {
        const auto now = start + 3s + step * 20ms;
        const int routers = *rc::gen::inRange(0, 360);
        for (int i = 0; i < routers; ++i) {
            if (const auto key = grant(ledger, request("h" + std::to_string(i)), now))
                running.push_back(*key);
        }
        RC_ASSERT((static_cast<int>(running.size()) <= allowed));
        if (!running.empty() && *rc::gen::arbitrary<bool>()) {
            RC_ASSERT(ledger.release(done(running.back()), now).has_value());
            running.pop_back();
            if (++completed == allowed) {
                allowed *= 2;
                completed = 0;
            }
        }
    }
}

} // namespace
