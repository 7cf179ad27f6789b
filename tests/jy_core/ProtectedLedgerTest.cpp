#include "ConfigFakeKv.h"
#include "jy_base/errors/ErrorTable.h"
#include "jy_core/protected/AttemptLedger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace {

using namespace jy;
using namespace std::chrono_literals;
using jy::test::ConfigFakeKv;
using jy::test::KvFault;

const auto keyA = parseProtectedKey("0193a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b").value();

/** A router's ledger; its calls to the KV service run only when the test executes them. */
struct Node
{
    AttemptLedger ledger;
    std::deque<AttemptLedger::Action> calls;
    std::map<AttemptLedger::Ticket, ClaimResult> claims;
    std::map<AttemptLedger::Ticket, Result<void>> writes;

    explicit Node(const AttemptLedgerSettings &settings = {})
        : ledger(settings)
    { }

    void process(AttemptLedger::Actions actions)
    {
        for (auto &action : actions) {
            if (auto *claim = std::get_if<AttemptLedger::ClaimCompleted>(&action))
                claims.emplace(claim->ticket, claim->result);
            else if (auto *write = std::get_if<AttemptLedger::WriteCompleted>(&action))
                writes.emplace(write->ticket, write->result);
            else
                calls.push_back(std::move(action));
        }
    }

    void executeNextCall(ConfigFakeKv &kv, KvFault fault, TimePoint now)
    {
        if (calls.empty())
            return;
        const auto action = std::move(calls.front());
        calls.pop_front();
        if (const auto *read = std::get_if<AttemptLedger::ReadShard>(&action))
            process(ledger.onRead(read->key, kv.read(read->key, fault), now));
        else if (const auto *swap = std::get_if<AttemptLedger::SwapShard>(&action))
            process(ledger.onSwap(
                swap->key, kv.swap(swap->key, swap->value, swap->expectedIndex, fault), now));
    }

    /** Runs until the ledger is idle or @p span has passed. */
    void run(ConfigFakeKv &kv, TimePoint &now, KvFault fault = KvFault::None,
             std::chrono::milliseconds span = 5s)
    {
        const auto until = now + span;
        do {
            process(ledger.tick(now));
            while (!calls.empty())
                executeNextCall(kv, fault, now);
            now += 10ms;
        } while (ledger.busy() && now < until);
    }
};

std::string describe(const ClaimResult &answer)
{
    if (std::holds_alternative<ClaimGranted>(answer))
        return "granted";
    if (const auto *repeated = std::get_if<ClaimReplayed>(&answer))
        return "recorded " + std::to_string(repeated->outcome.status);
    return std::string(answerFor(std::get<Error>(answer).kind).name);
}

class ProtectedLedger : public testing::Test
{
protected:
    std::string claim(Node &node, const std::string &attempt, std::uint64_t digest = 1,
                      KvFault fault = KvFault::None)
    {
        const auto ticket = node.ledger.claim(keyA, attempt, digest, now + 2s, now);
        node.run(kv, now, fault);
        return describe(node.claims.at(ticket));
    }

    Result<void> record(Node &node, const std::string &attempt, AttemptOutcome outcome)
    {
        const auto ticket =
            node.ledger.recordOutcome(keyA, attempt, 1, std::move(outcome), now + 2s, now);
        node.run(kv, now);
        return node.writes.at(ticket);
    }

    Result<void> withdraw(Node &node, const std::string &attempt)
    {
        const auto ticket = node.ledger.withdraw(keyA, attempt, now + 2s, now);
        node.run(kv, now);
        return node.writes.at(ticket);
    }

    ConfigFakeKv kv;
    TimePoint now;
    Node routerA;
    Node routerB;
};

// Guards against running a call twice, and against a repeated key that does not get the recorded
// response.
TEST_F(ProtectedLedger, GrantsAKeyOnceAndThenReturnsItsOutcome)
{
    EXPECT_EQ(claim(routerA, "x"), "granted");
    EXPECT_EQ(claim(routerA, "x"), "granted") << "a repeated claim of the same attempt";
    EXPECT_EQ(claim(routerA, "y"), "outcome_unknown");
    EXPECT_EQ(claim(routerB, "y"), "outcome_unknown");
    EXPECT_EQ(claim(routerB, "z", 2), "key_invalid") << "another request with the same key";
    ASSERT_TRUE(record(routerB, "x", {201, "text/plain", "booked \xff"}));
    EXPECT_EQ(claim(routerA, "y"), "recorded 201") << "another router recorded the outcome";
    EXPECT_FALSE(record(routerA, "y", {500, "", ""}));
    EXPECT_TRUE(record(routerA, "x", {500, "", ""}));
    EXPECT_EQ(claim(routerB, "y"), "recorded 201") << "the first outcome stays";
}

// Guards against a key that remains claimed although its call was never sent.
TEST_F(ProtectedLedger, WithdrawalFreesTheKey)
{
    EXPECT_EQ(claim(routerA, "x"), "granted");
    EXPECT_TRUE(withdraw(routerB, "x"));
    EXPECT_EQ(claim(routerA, "y"), "granted");
    EXPECT_EQ(claim(routerB, "x"), "outcome_unknown")
        << "a claim that arrives after its withdrawal";
    ASSERT_TRUE(record(routerA, "y", {200, "", ""}));
    EXPECT_FALSE(withdraw(routerB, "y")) << "an attempt that ran cannot be withdrawn";
}

struct KvCase
{
    const char *name;
    KvFault fault;
    bool claimedBefore;
    bool outcomeBefore;
    const char *answer;
};

class KvFailures : public ProtectedLedger, public testing::WithParamInterface<KvCase>
{ };

// Guards against a wrong result for a claim while the KV service is unavailable.
TEST_P(KvFailures, GiveOnlyWhatIsKnown)
{
    const auto &c = GetParam();
    if (c.claimedBefore) {
        ASSERT_EQ(claim(routerA, "x"), "granted");
    }
    if (c.outcomeBefore) {
        ASSERT_TRUE(record(routerA, "x", {200, "", ""}));
    }
    EXPECT_EQ(claim(routerA, "y", 1, c.fault), c.answer);
}

INSTANTIATE_TEST_SUITE_P(
    Table, KvFailures,
    testing::Values(KvCase{"DownFirstUse", KvFault::Down, false, false, "kv_outcome_unknown"},
                    KvCase{"DownClaimed", KvFault::Down, true, false, "outcome_unknown"},
                    KvCase{"DownRecorded", KvFault::Down, true, true, "recorded 200"}),
    [](const auto &info) { return info.param.name; });

// Guards against reporting "not run" for a key that another router has claimed and sent. The
// kv-outage scenario showed this for 3 of 168 calls.
TEST_F(ProtectedLedger, ClaimWithoutAReadOfTheShardHasAnUnknownOutcome)
{
    ASSERT_EQ(claim(routerB, "x"), "granted");
    EXPECT_EQ(claim(routerA, "y", 1, KvFault::Down), "kv_outcome_unknown");
}

struct LostResponseCase
{
    const char *name;
    KvFault fault;
};

class LostClaimResponses : public ProtectedLedger,
                           public testing::WithParamInterface<LostResponseCase>
{ };

// Guards against treating a lost response to the write as a grant, without reading the shard again,
// or as a refusal.
TEST_P(LostClaimResponses, AreResolvedByRereading)
{
    const auto ticket = routerA.ledger.claim(keyA, "x", 1, now + 2s, now);
    routerA.process(routerA.ledger.tick(now));
    routerA.executeNextCall(kv, KvFault::None, now);
    now += 50ms;
    routerA.process(routerA.ledger.tick(now));
    routerA.executeNextCall(kv, GetParam().fault, now);
    EXPECT_TRUE(routerA.claims.empty()) << "not granted before the shard is read again";
    routerA.executeNextCall(kv, KvFault::None, now);
    kv.deliverDelayed();
    routerA.run(kv, now);
    EXPECT_EQ(describe(routerA.claims.at(ticket)), "granted");
    EXPECT_EQ(claim(routerB, "y"), "outcome_unknown");
}

INSTANTIATE_TEST_SUITE_P(Table, LostClaimResponses,
                         testing::Values(LostResponseCase{"Applied", KvFault::LostApplied},
                                         LostResponseCase{"Dropped", KvFault::LostDropped},
                                         LostResponseCase{"Delayed", KvFault::LostDelayed}),
                         [](const auto &info) { return info.param.name; });

// Guards against a claim that waits for a slow KV service beyond its deadline.
TEST_F(ProtectedLedger, SlowKvServiceEndsTheClaimAtItsDeadline)
{
    const auto ticket = routerA.ledger.claim(keyA, "x", 1, now + 2s, now);
    routerA.process(routerA.ledger.tick(now));
    now += 2s;
    routerA.process(routerA.ledger.tick(now));
    EXPECT_EQ(describe(routerA.claims.at(ticket)), "kv_outcome_unknown");
}

// Guards against a delayed write of the claim that takes effect after the withdrawal.
TEST_F(ProtectedLedger, WithdrawalFencesADelayedClaim)
{
    routerA.ledger.claim(keyA, "x", 1, now + 100ms, now);
    routerA.run(kv, now, KvFault::None, 40ms);
    now += 50ms;
    routerA.process(routerA.ledger.tick(now));
    routerA.executeNextCall(kv, KvFault::LostDelayed, now);
    routerA.executeNextCall(kv, KvFault::Down, now);
    EXPECT_TRUE(withdraw(routerA, "x"));
    kv.deliverDelayed();
    EXPECT_EQ(claim(routerB, "y"), "granted");
}

// Guards against a shard value above the size limit of the KV service, whose writes would fail so
// that no further outcome of the shard could be recorded.
TEST_F(ProtectedLedger, FullShardRefusesClaimsAndRecordsOutcomesWithoutBody)
{
    Node small(AttemptLedgerSettings{.maxShardBytes = 700});
    EXPECT_EQ(claim(small, "x"), "granted");
    ASSERT_TRUE(record(small, "x", {200, "", std::string(1000, 'b')}));
    EXPECT_LE(kv.values.begin()->second.value.size(), 700U);
    const auto ticket = small.ledger.claim(keyA, "y", 1, now + 2s, now);
    small.run(kv, now);
    EXPECT_TRUE(std::get<ClaimReplayed>(small.claims.at(ticket)).outcome.bodyOmitted);
    std::string text = keyA.text;
    int granted = 0;
    for (int i = 0; i < 60; ++i) {
        text[34] = static_cast<char>('0' + i / 10);
        text[35] = static_cast<char>('0' + i % 10);
        const auto id =
            small.ledger.claim(parseProtectedKey(text).value(), "a" + text, 1, now + 2s, now);
        small.run(kv, now);
        const auto answer = describe(small.claims.at(id));
        granted += answer == "granted";
        ASSERT_TRUE(answer == "granted" || answer == "overloaded") << answer;
    }
    EXPECT_LT(granted, 20);
    for (const auto &[key, value] : kv.values)
        EXPECT_LE(value.value.size(), 700U);
}

// Guards against one write per call, a rate that the KV service cannot sustain.
TEST_F(ProtectedLedger, OperationsOfOneBatchWindowShareAWrite)
{
    std::string text = keyA.text;
    std::vector<AttemptLedger::Ticket> tickets;
    for (int i = 0; i < 80; ++i) {
        text[34] = static_cast<char>('0' + i / 10);
        text[35] = static_cast<char>('0' + i % 10);
        tickets.push_back(
            routerA.ledger.claim(parseProtectedKey(text).value(), "a" + text, 1, now + 2s, now));
    }
    routerA.run(kv, now);
    for (const auto ticket : tickets)
        EXPECT_EQ(describe(routerA.claims.at(ticket)), "granted");
    EXPECT_EQ(kv.writes, 4U) << "one for each shard of the bucket";
}

/** A caller's attempt; like the driver, it uses the first result only. */
struct Claimant
{
    std::string attempt;
    bool decided = false;
    bool sent = false;
    std::vector<std::pair<Node *, AttemptLedger::Ticket>> tickets;
};

// Two routers use the same shard, claimants repeat their claims at either router or give up and
// withdraw, and the KV service fails at times: at most one attempt may send the call, and none that
// was refused or gave up.
RC_GTEST_PROP(ProtectedLedgerProperty, AtMostOneAttemptSends,
              (const std::vector<std::uint16_t> &schedule))
{
    ConfigFakeKv kv;
    TimePoint now;
    std::array<Node, 2> nodes;
    std::array<Claimant, 4> claimants;
    for (std::size_t i = 0; i < claimants.size(); ++i)
        claimants[i].attempt = "attempt-" + std::to_string(i);
    int sent = 0;
    const auto collect = [&](Claimant &claimant) {
        for (const auto &[node, ticket] : claimant.tickets) {
            const auto found = node->claims.find(ticket);
            if (claimant.decided || found == node->claims.end())
                continue;
            claimant.decided = true;
            claimant.sent = std::holds_alternative<ClaimGranted>(found->second);
            sent += claimant.sent;
        }
    };
    for (const auto choice : schedule) {
        auto &node = nodes[choice % 2];
        auto &claimant = claimants[choice / 2 % claimants.size()];
        const auto detail = choice / 16;
        switch (choice / 8 % 8) {
        case 0:
            if (!claimant.decided)
                claimant.tickets.emplace_back(
                    &node, node.ledger.claim(keyA, claimant.attempt, 1, now + 300ms, now));
            break;
        case 1:
            collect(claimant);
            if (claimant.decided && !claimant.sent)
                node.ledger.withdraw(keyA, claimant.attempt, now + 1s, now);
            break;
        case 2:
            claimant.decided = true;
            if (!claimant.sent)
                node.ledger.withdraw(keyA, claimant.attempt, now + 1s, now);
            else if (detail % 2)
                node.ledger.recordOutcome(keyA, claimant.attempt, 1, {200, "", ""}, now + 1s, now);
            break;
        case 3:
            if (detail % 4 == 0)
                kv.deliverDelayed();
            collect(claimant);
            break;
        case 4:
            now += std::chrono::milliseconds(detail % 100);
            node.process(node.ledger.tick(now));
            break;
        default:
            node.process(node.ledger.tick(now));
            node.executeNextCall(kv, static_cast<KvFault>(std::max(0, detail % 8 - 3)), now);
        }
        RC_ASSERT(sent <= 1);
    }
    kv.deliverDelayed();
    for (auto &node : nodes)
        node.run(kv, now);
    for (auto &claimant : claimants)
        collect(claimant);
    RC_ASSERT(sent <= 1);
}

} // namespace
