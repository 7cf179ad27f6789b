#include "StandinDuties.h"

#include "platform/DutyClient.h"

#include <gtest/gtest.h>

namespace jy::platform::test {

namespace {

using std::chrono::milliseconds;

struct StatusCase
{
    const char *name;
    int status;
    std::optional<ErrorKind> expected;
};

struct DutyClientTest : testing::TestWithParam<StatusCase>
{ };

// Guards against a call that the platform did not accept, or may have accepted, being taken for the
// other: only calls that were certainly refused may be sent with other content.
TEST_P(DutyClientTest, StatusesBecomeErrorKinds)
{
    EventLoop loop;
    loop.run([&] {
        StandinDuties platform(loop);
        platform.status = GetParam().status;
        const auto client = HttpClient::create(loop, {.connectTimeout = milliseconds(300)});
        const auto api = createDutyApi(*client, platform.endpoint(), milliseconds(400));
        const DutyCredential credential{InstanceId("front-1"), 12};
        const auto sent = api.reportUsage(credential, {7, {{WorkspaceId("w"), 41}}});
        EXPECT_EQ(sent ? std::nullopt : std::optional(sent.error().kind), GetParam().expected);
        if (GetParam().expected)
            return;
        EXPECT_EQ(platform.reported[7], 41U);
        EXPECT_TRUE(api.orderServers(credential, {ServiceId("s"), DomainId("z"), 6}));
        EXPECT_EQ(platform.ordered["s/z"], 6);
        EXPECT_EQ(platform.holders, std::vector<std::string>{"front-1"});
    });
}

INSTANTIATE_TEST_SUITE_P(Statuses, DutyClientTest,
                         testing::Values(StatusCase{"Accepted", 200, std::nullopt},
                                         StatusCase{"RateLimited", 429, ErrorKind::Overloaded},
                                         StatusCase{"Outdated", 409, ErrorKind::LeaseLost},
                                         StatusCase{"Unavailable", 503, ErrorKind::KvUnavailable},
                                         StatusCase{"Failed", 500, ErrorKind::KvOutcomeUnknown},
                                         StatusCase{"NoResponse", 0, ErrorKind::KvOutcomeUnknown}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a call of a holder whose lease ended while it was connecting.
TEST(DutyClientTest, LeaseIsCheckedBeforeSending)
{
    EventLoop loop;
    loop.run([&] {
        StandinDuties platform(loop);
        const auto client = HttpClient::create(loop, {.connectTimeout = milliseconds(300)});
        const auto api = createDutyApi(*client, platform.endpoint(), milliseconds(400));
        const auto sent = api.reportUsage({InstanceId("front-1"), 12, [] { return false; }}, {});
        ASSERT_FALSE(sent);
        EXPECT_EQ(sent.error().kind, ErrorKind::LeaseLost);
        EXPECT_TRUE(platform.reported.empty());
    });
}

// Guards against a connection that was refused being taken for an unknown outcome.
TEST(DutyClientTest, RefusedConnectionIsNoCall)
{
    EventLoop loop;
    loop.run([&] {
        auto platform = std::make_unique<StandinDuties>(loop);
        const auto endpoint = platform->endpoint();
        platform.reset();
        const auto client = HttpClient::create(loop, {.connectTimeout = milliseconds(300)});
        const auto sent = createDutyApi(*client, endpoint, milliseconds(400)).reportUsage({}, {});
        ASSERT_FALSE(sent);
        EXPECT_EQ(sent.error().kind, ErrorKind::KvUnavailable);
    });
}

} // namespace

} // namespace jy::platform::test
