#include "jy_core/config/ConfigReplica.h"
#include "jy_core/config/ConfigDifference.h"
#include "jy_core/config/ConfigReadiness.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace {

using namespace jy;

DesiredState makeState(std::uint64_t revision, int workspaces, double weight)
{
    DesiredState state;
    state.revision = revision;
    state.models[ModelId("m")] = {
        .id = ModelId("m"), .serve = VersionId("v1"), .versions = {VersionId("v1")}};
    for (int i = 0; i < workspaces; ++i) {
        const WorkspaceId id("w" + std::to_string(i));
        state.workspaces[id] = {.id = id, .models = {ModelId("m")}};
    }
    if (workspaces > 0)
        state.workspaces.begin()->second.weight = weight;
    return state;
}

struct Revision
{
    std::string head;
    std::vector<std::string> contents;
};

Revision publish(const DesiredState &state)
{
    ConfigHead head{.revision = state.revision, .requestId = std::to_string(state.revision)};
    Revision result;
    for (const auto &[name, content] : splitDesiredState(state)) {
        head.parts.emplace(name, contentHash(*content));
        result.contents.push_back(*content);
    }
    result.head = toText(head);
    return result;
}

// Guards against a state that mixes two revisions, and against a transfer of unchanged parts.
TEST(ConfigReplica, AdoptsOnlyCompleteRevisionsAndAsksForChangedParts)
{
    ConfigReplica replica;
    const auto first = publish(makeState(1, 200, 1));
    ASSERT_TRUE(std::holds_alternative<ConfigAdopted>(replica.offer(first.head, first.contents)));
    const auto state = makeState(2, 200, 7);
    const auto second = publish(state);
    auto need = replica.offer(second.head, {});
    ASSERT_TRUE(std::holds_alternative<ConfigNeedParts>(need));
    EXPECT_EQ(std::get<ConfigNeedParts>(need).parts.size(), 1U);
    EXPECT_EQ(replica.revision(), 1U);
    // Content with another hash than the head names does not complete the revision.
    need = replica.offer(second.head, {"{}"});
    EXPECT_TRUE(std::holds_alternative<ConfigNeedParts>(need));
    ASSERT_TRUE(std::holds_alternative<ConfigAdopted>(replica.offer(second.head, second.contents)));
    EXPECT_EQ(*replica.current(), state);
    const auto fewer = makeState(3, 3, 1);
    const auto third = publish(fewer);
    ASSERT_TRUE(std::holds_alternative<ConfigAdopted>(replica.offer(third.head, third.contents)));
    EXPECT_EQ(*replica.current(), fewer);
}

// Guards against a router that reverts to a lower revision (invariant I10), or that loses its state
// after invalid content.
TEST(ConfigReplica, IgnoresLowerRevisionsAndRejectsBadContent)
{
    ConfigReplica replica;
    const auto second = publish(makeState(2, 1, 1));
    const auto first = publish(makeState(1, 1, 1));
    const auto rival = publish(makeState(2, 2, 2));
    ASSERT_TRUE(std::holds_alternative<ConfigAdopted>(replica.offer(second.head, second.contents)));
    EXPECT_TRUE(std::get<ConfigIgnored>(replica.offer(first.head, first.contents)).lowerRevision);
    EXPECT_TRUE(
        std::get<ConfigIgnored>(replica.offer(rival.head, rival.contents)).sameRevisionOtherHead);
    const ConfigHead bad{
        .revision = 3, .requestId = "x", .parts = {{"models", contentHash("{\"m\": 1}")}}};
    EXPECT_TRUE(std::holds_alternative<ConfigRejected>(replica.offer(toText(bad), {"{\"m\": 1}"})));
    EXPECT_TRUE(std::holds_alternative<ConfigRejected>(replica.offer("[]", {})));
    EXPECT_EQ(replica.revision(), 2U);
}

// Guards against a router of this release that cannot adopt what a newer release has written.
TEST(ConfigReplica, AcceptsKeysAndPartsOfANewerRelease)
{
    ConfigReplica replica;
    const std::string models = R"({"m": {"serve": "v1", "versions": ["v1"], "later": 1}})";
    const ConfigHead head{.revision = 1,
                          .requestId = "x",
                          .parts = {{"models", contentHash(models)}, {"later", contentHash("7")}}};
    ASSERT_TRUE(std::holds_alternative<ConfigAdopted>(replica.offer(toText(head), {models, "7"})));
    EXPECT_EQ(replica.snapshot()->parts.size(), 2U);
}

// For any order and repetition of offers with any subset of the parts, the revision never decreases
// and the state is exactly that of the revision.
RC_GTEST_PROP(ConfigReplicaProperty, RevisionNeverDecreases,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &offers))
{
    std::vector<DesiredState> states;
    std::vector<Revision> revisions;
    for (int i = 1; i <= 4; ++i) {
        states.push_back(makeState(i, 3 * i, i));
        revisions.push_back(publish(states.back()));
    }
    ConfigReplica replica;
    for (const auto &[choice, mask] : offers) {
        const auto before = replica.revision();
        const auto &offered = revisions[choice % revisions.size()];
        std::vector<std::string> contents;
        for (std::size_t i = 0; i < offered.contents.size(); ++i) {
            if (mask >> (i % 8) & 1)
                contents.push_back(offered.contents[i]);
        }
        replica.offer(offered.head, contents);
        RC_ASSERT(replica.revision() >= before);
        if (replica.current())
            RC_ASSERT(*replica.current() == states[replica.revision() - 1]);
    }
}

// Guards against a change that is lost because its part is reused from the previous revision.
RC_GTEST_PROP(ConfigPartsProperty, ReusedPartsGiveTheSameContents,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>> &changes))
{
    const auto before = makeState(1, 40, 1);
    ConfigReplica replica;
    const auto first = publish(before);
    replica.offer(first.head, first.contents);
    auto after = before;
    for (const auto &[choice, weight] : changes) {
        const WorkspaceId id("w" + std::to_string(choice % 50));
        if (weight % 4 == 0)
            after.workspaces.erase(id);
        else
            after.workspaces[id] = {.id = id, .weight = weight + 1.0};
        if (choice > 240)
            after.models[ModelId("m")].maxConcurrency = weight + 1;
    }
    const auto reused = splitDesiredState(after, replica.snapshot().get());
    const auto complete = splitDesiredState(after);
    RC_ASSERT(reused.size() == complete.size());
    for (const auto &[name, content] : complete)
        RC_ASSERT(*reused.at(name) == *content);
}

const InstanceId peerA("a");
const InstanceId peerB("b");

// Guards against a router that starts during an outage of the KV service and serves with the older
// of its peers' revisions.
TEST(ConfigReadiness, DuringAnOutageTheHighestRevisionOfAllPeersDecides)
{
    ConfigReadiness readiness;
    readiness.onKvUnavailable();
    EXPECT_FALSE(readiness.update(5));
    readiness.beginPeerRound({peerA, peerB});
    readiness.onPeerResponse(peerA, 5);
    EXPECT_FALSE(readiness.update(5)) << "peer b has not answered";
    readiness.onPeerResponse(peerB, 6);
    EXPECT_FALSE(readiness.update(5));
    EXPECT_TRUE(readiness.update(6));
    readiness.onRevisionLearned(9);
    EXPECT_TRUE(readiness.update(6)) << "a router that serves continues to do so";
}

TEST(ConfigReadiness, NeedsAResponseOfThePeersOrOfTheKvService)
{
    ConfigReadiness readiness;
    readiness.beginPeerRound({peerA, peerB});
    readiness.onPeerResponse(peerA, 5);
    readiness.onPeerFailed(peerB);
    EXPECT_FALSE(readiness.update(5)) << "the KV service may still name a higher revision";
    readiness.onKvUnavailable();
    EXPECT_TRUE(readiness.update(5));
    readiness.reset();
    readiness.onKvUnavailable();
    readiness.beginPeerRound({peerA});
    readiness.onPeerFailed(peerA);
    EXPECT_FALSE(readiness.update(5)) << "no peer answered";
    readiness.onKvResponse(7);
    EXPECT_FALSE(readiness.update(5));
    EXPECT_TRUE(readiness.update(7));
}

} // namespace
