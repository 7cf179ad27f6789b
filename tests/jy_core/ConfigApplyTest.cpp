#include "jy_core/config/ConfigApply.h"
#include "ConfigFakeKv.h"
#include "jy_core/config/ConfigReplica.h"
#include "jy_core/config/DesiredStateReader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

namespace {

using namespace jy;
using jy::test::ConfigFakeKv;
using jy::test::KvFault;

std::string fileWith(const std::string &workspace, int weight)
{
    return R"({"models": {"m": {"serve": "v1", "versions": ["v1"]}}, "workspaces": {")" + workspace
        + R"(": {"models": ["m"], "weight": )" + std::to_string(weight) + "}}}";
}

/** An operator's apply, executed step by step under control of the test. */
struct Operator
{
    ConfigApply apply;
    ConfigApply::Action next;
    TimePoint now;

    Operator(ConfigApplyRequest request, std::shared_ptr<const ConfigSnapshot> local = nullptr)
        : apply(ConfigApply::create({}, std::move(request), std::move(local), {}, {}).value())
        , next(apply.start())
    { }

    const ConfigApply::Finished *finished() const
    {
        return std::get_if<ConfigApply::Finished>(&next);
    }

    void step(ConfigFakeKv &kv, KvFault fault)
    {
        if (const auto *read = std::get_if<ConfigApply::ReadKey>(&next)) {
            next = apply.onRead(kv.read(read->key, fault), now);
        } else if (const auto *swap = std::get_if<ConfigApply::SwapKey>(&next)) {
            next = apply.onSwap(kv.swap(swap->key, swap->value, swap->expectedIndex, fault), now);
        } else if (const auto *pause = std::get_if<ConfigApply::Pause>(&next)) {
            now += pause->duration;
            next = apply.onPauseEnded();
        }
    }

    Result<ConfigApplied> run(ConfigFakeKv &kv)
    {
        while (!finished())
            step(kv, KvFault::None);
        return finished()->result;
    }
};

Result<ConfigApplied> applyFile(ConfigFakeKv &kv, const std::string &text, const std::string &id,
                                std::optional<std::uint64_t> base = std::nullopt)
{
    return Operator({.text = text, .requestId = id, .author = "op-" + id, .baseRevision = base})
        .run(kv);
}

struct LostResponse
{
    const char *name;
    KvFault fault;
    bool deliverLate;
};

class LostHeadResponse : public testing::TestWithParam<LostResponse>
{ };

// Guards against an apply that is reported as failed although it took effect, or the reverse.
TEST_P(LostHeadResponse, IsResolvedByTheRequestId)
{
    ConfigFakeKv kv;
    Operator op({.text = fileWith("w", 1), .requestId = "r1", .author = "a"});
    while (true) {
        const auto *swap = std::get_if<ConfigApply::SwapKey>(&op.next);
        if (swap && swap->key == configHeadKey)
            break;
        op.step(kv, KvFault::None);
    }
    op.step(kv, GetParam().fault);
    if (GetParam().deliverLate) {
        op.step(kv, KvFault::None);
        op.step(kv, KvFault::None);
        kv.deliverDelayed();
    }
    const auto result = op.run(kv);
    ASSERT_TRUE(result) << result.error().message;
    EXPECT_EQ(result.value().revision, 1U);
    EXPECT_EQ(parseConfigHead(kv.values[std::string(configHeadKey)].value).value().requestId, "r1");
}

INSTANTIATE_TEST_SUITE_P(Table, LostHeadResponse,
                         testing::Values(LostResponse{"Applied", KvFault::LostApplied, false},
                                         LostResponse{"Dropped", KvFault::LostDropped, false},
                                         LostResponse{"Delayed", KvFault::LostDelayed, true}),
                         [](const auto &info) { return info.param.name; });

// Guards against silently overwriting another operator's change, and against a conflict report
// without the difference.
TEST(ConfigApply, AnOutdatedBaseIsRefusedWithTheDifference)
{
    ConfigFakeKv kv;
    ASSERT_TRUE(applyFile(kv, fileWith("w", 1), "r1"));
    ASSERT_TRUE(applyFile(kv, fileWith("w", 2), "r2", 1));
    const auto result = applyFile(kv, fileWith("w", 3), "r3", 1);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().kind, ErrorKind::ConfigConflict);
    EXPECT_NE(result.error().message.find("revision 2 by op-r2"), std::string::npos);
    EXPECT_NE(result.error().message.find("~ workspaces.w.weight: 2 -> 3"), std::string::npos)
        << result.error().message;
}

// Guards against a repeated request that creates a second revision.
TEST(ConfigApply, ARepeatedRequestOrAnEqualFileChangesNothing)
{
    ConfigFakeKv kv;
    ASSERT_TRUE(applyFile(kv, fileWith("w", 1), "r1"));
    ASSERT_TRUE(applyFile(kv, fileWith("w", 2), "r2"));
    const auto repeated = applyFile(kv, fileWith("w", 1), "r1");
    EXPECT_EQ(repeated.value().revision, 1U);
    EXPECT_FALSE(repeated.value().changed);
    const auto writes = kv.writes;
    EXPECT_FALSE(applyFile(kv, fileWith("w", 2), "r3").value().changed);
    EXPECT_EQ(kv.writes, writes);
}

// Guards against a restored KV service that assigns low revisions, which no router would adopt.
TEST(ConfigApply, ANewRevisionIsHigherThanTheOneInForce)
{
    ConfigFakeKv old;
    for (int i = 1; i <= 3; ++i)
        ASSERT_TRUE(applyFile(old, fileWith("w", i), "r" + std::to_string(i)));
    ConfigReplica replica;
    const auto &head = old.values[std::string(configHeadKey)].value;
    std::vector<std::string> contents;
    for (const auto &[key, value] : old.values)
        contents.push_back(value.value);
    ASSERT_TRUE(std::holds_alternative<ConfigAdopted>(replica.offer(head, contents)));
    ConfigFakeKv empty;
    Operator op({.text = fileWith("w", 4), .requestId = "r4"}, replica.snapshot());
    EXPECT_EQ(op.run(empty).value().revision, 4U);
}

// Guards against writing all parts for a change of one workspace.
TEST(ConfigApply, WritesOnlyChangedPartsAndTheHead)
{
    ConfigFakeKv kv;
    ASSERT_TRUE(applyFile(kv, fileWith("w", 1), "r1"));
    const auto before = kv.writes;
    ASSERT_TRUE(applyFile(kv, fileWith("w", 2), "r2"));
    EXPECT_EQ(kv.writes - before, 2U);
}

// Concurrent operators with a KV service that fails. A request reported as applied must be in the
// sequence of revisions exactly once, one reported as not applied never, and each revision must
// have one writer.
RC_GTEST_PROP(ConfigApplyProperty, ReportedResultsMatchTheStoredRevisions,
              (const std::vector<std::uint8_t> &schedule))
{
    ConfigFakeKv kv;
    std::vector<ConfigHead> chain;
    kv.onWrite = [&](const std::string &key, const std::string &value) {
        if (key == configHeadKey)
            chain.push_back(parseConfigHead(value).value());
    };
    std::vector<Operator> operators;
    for (int i = 0; i < 3; ++i) {
        const auto id = std::to_string(i);
        operators.emplace_back(
            ConfigApplyRequest{.text = fileWith("w" + id, 1), .requestId = id, .author = id});
    }
    for (const auto choice : schedule) {
        // Half of the calls succeed; with more faults every apply would end at its time limit.
        const auto fault = static_cast<KvFault>(std::max(0, choice / 3 % 8 - 3));
        operators[choice % operators.size()].step(kv, fault);
        if (choice > 240)
            kv.deliverDelayed();
    }
    for (auto &op : operators)
        std::ignore = op.run(kv);
    kv.deliverDelayed();
    std::uint64_t last = 0;
    std::map<std::string, std::uint64_t> applied;
    for (const auto &head : chain) {
        RC_ASSERT(head.revision == last + 1);
        last = head.revision;
        RC_ASSERT(applied.emplace(head.requestId, head.revision).second);
    }
    for (std::size_t i = 0; i < operators.size(); ++i) {
        const auto &result = operators[i].finished()->result;
        const auto found = applied.find(std::to_string(i));
        if (result)
            RC_ASSERT((found != applied.end() && found->second == result.value().revision));
        else if (result.error().kind != ErrorKind::KvOutcomeUnknown)
            RC_ASSERT((found == applied.end()));
    }
}

} // namespace
