#include "jy_gateway/registry/PeerStoreReader.h"

#include "jy_http/server/HttpServer.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

using std::chrono::milliseconds;

RegisteredInstance instance(const std::string &id, int linkMbps)
{
    return {.id = InstanceId(id), .linkMbps = linkMbps};
}

TEST(ReadersTest, InstancesWithTheWidestLinksAreReaders)
{
    std::vector<RegisteredInstance> live;
    live.reserve(86);
    for (int i = 0; i < 80; ++i)
        live.push_back(instance("narrow" + std::to_string(i), 10));
    for (int i = 0; i < 6; ++i)
        live.push_back(instance("wide" + std::to_string(i), 200));
    std::set<InstanceId> readers;
    std::map<InstanceId, int> first;
    for (const auto &self : live) {
        const auto order = storeReadersFor(self.id, live);
        if (order.empty()) {
            readers.insert(self.id);
            continue;
        }
        EXPECT_EQ(order.size(), 3U);
        ++first[order.front().id];
        for (const auto &reader : order)
            EXPECT_EQ(reader.linkMbps, 200);
    }
    EXPECT_EQ(readers.size(), 3U);
    EXPECT_EQ(first.size(), 3U);
}

TEST(ReadersTest, SingleInstanceReadsTheStoreDirectly)
{
    const auto only = instance("only", 10);
    EXPECT_TRUE(storeReadersFor(only.id, {only}).empty());
}

// Guards against load on an unavailable store: with 88 followers whose readers had lost the store,
// each follower called it five times a second throughout the outage.
TEST(PeerStoreReaderTest, FollowersLimitCallsToAnUnavailableStore)
{
    EventLoop loop;
    loop.run([&] {
        const auto client = HttpClient::create(loop, {.connectTimeout = milliseconds(50)});
        int calls = 0;
        bool unavailable = true;
        SharedStore store;
        store.watch = [&](const auto &, auto, auto) -> Result<StorePage> {
            ++calls;
            if (unavailable)
                return failure(ErrorKind::KvUnavailable, "unavailable");
            return StorePage{};
        };
        std::vector<Endpoint> readers{{"127.0.0.1", 1}};
        StoreEraTracker era([](StoreEra, StoreEra) {});
        PeerStoreReader reading(store, *client, era, [&] { return readers; },
                                {.directPause = milliseconds(200)});
        const auto follower = reading.store();
        const auto watch = [&] { return bool(follower.watch("", {0, 1}, milliseconds(10))); };
        for (int i = 0; i < 10; ++i)
            EXPECT_FALSE(watch());
        EXPECT_EQ(calls, 1);
        unavailable = false;
        EventLoop::sleepFor(milliseconds(250));
        EXPECT_TRUE(watch());
        EXPECT_TRUE(watch());
        EXPECT_EQ(calls, 3);
        // A reader has no other source and calls the store each time.
        unavailable = true;
        readers.clear();
        for (int i = 0; i < 10; ++i)
            EXPECT_FALSE(watch());
        EXPECT_EQ(calls, 13);
    });
}

struct ReaderEraCase
{
    const char *name;

    /** Era that the copy states; 0 for the copy of an earlier build. */
    StoreEra copied;
    StoreEra first;
    StoreEra latest;
    bool taken;
};

struct ReaderEraTest : testing::TestWithParam<ReaderEraCase>
{ };

// Guards against a reader that has not seen a restore and passes its copy on as current.
TEST_P(ReaderEraTest, CopiesOfAnEarlierEraArePassedOver)
{
    EventLoop loop;
    loop.run([&] {
        const auto server =
            HttpServer::create(loop, {}, [&](const auto &, auto &responder) {
                responder.send(200, {},
                               encodeStoreCopy({{.asOf = 9, .era = GetParam().copied}, {}}));
            }).value();
        const auto client = HttpClient::create(loop, {});
        SharedStore store;
        store.list = [](const auto &, const auto &) -> Result<StorePage> {
            return StorePage{.asOf = 2, .era = GetParam().latest};
        };
        StoreEraTracker era([](StoreEra, StoreEra) {});
        era.observe(GetParam().first);
        era.observe(GetParam().latest);
        PeerStoreReader reading(store, *client, era,
                                [&] { return std::vector{server->localEndpoint()}; }, {});
        const auto page = reading.store().list("", "");
        ASSERT_TRUE(page);
        EXPECT_EQ(reading.readsDirectly(), !GetParam().taken);
        EXPECT_EQ(page.value().era, std::max(GetParam().copied, GetParam().latest));
        EXPECT_EQ(era.current(), page.value().era);
        server->stop();
    });
}

INSTANTIATE_TEST_SUITE_P(
    Copies, ReaderEraTest,
    testing::Values(ReaderEraCase{"current", 2, 1, 2, true},
                    ReaderEraCase{"earlier", 1, 1, 2, false}, ReaderEraCase{"later", 3, 1, 2, true},
                    ReaderEraCase{"earlier_build", 0, 2, 2, true},
                    ReaderEraCase{"earlier_build_after_restore", 0, 1, 2, false}),
    [](const auto &testCase) { return testCase.param.name; });

TEST(StoreCopyTest, RoundTrip)
{
    const StoreCopy sent{{.items = {{"a", std::string("\0x", 2), 3, false}, {"b", "", 4, true}},
                          .asOf = 7,
                          .era = 5},
                         std::chrono::milliseconds(12)};
    const auto received = decodeStoreCopy(encodeStoreCopy(sent));
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().page.position(), (StorePosition{5, 7}));
    EXPECT_EQ(received.value().age, sent.age);
    ASSERT_EQ(received.value().page.items.size(), 2U);
    EXPECT_EQ(received.value().page.items[0].value, sent.page.items[0].value);
    EXPECT_TRUE(received.value().page.items[1].removed);
}

struct MalformedCopyTest : testing::TestWithParam<const char *>
{ };

TEST_P(MalformedCopyTest, IsRejected)
{
    EXPECT_FALSE(decodeStoreCopy(compressCopy(GetParam())));
    EXPECT_FALSE(decodeStoreCopy(GetParam()));
}

// Guards against slow transfers: uncompressed, a configuration with 1,400 routes took 0.4 s on a
// link of 10 Mbit/s.
TEST(StoreCopyTest, SimilarRoutesCompressWell)
{
    std::string config;
    for (int i = 0; i < 1400; ++i)
        config += R"({"name":"r-)" + std::to_string(i * 7919)
            + R"(","host":"h.example","prefix":"/p/","route_kind":"safe","timeout_ms":6000},)";
    const auto bytes = encodeStoreCopy({{.items = {{"config", config, 3, false}}, .asOf = 7}, {}});
    EXPECT_LE(bytes.size(), config.size() / 5);
    const auto received = decodeStoreCopy(bytes);
    ASSERT_TRUE(received);
    EXPECT_EQ(received.value().page.items.front().value, config);
    for (std::size_t size = 0; size < bytes.size(); size += 997)
        EXPECT_FALSE(decodeStoreCopy(std::string_view(bytes).substr(0, size)));
}

INSTANTIATE_TEST_SUITE_P(
    Texts, MalformedCopyTest,
    testing::Values("", "[]", "{}", R"({"items":[],"as_of":1})",
                    R"({"items":1,"as_of":1,"age_ms":0})",
                    R"({"items":[{"key":"a"}],"as_of":1,"age_ms":0})",
                    R"({"items":[{"key":"a","revision":1,"value":"?"}],"as_of":1,"age_ms":0})",
                    R"({"items":[],"as_of":-1,"age_ms":0})",
                    R"({"items":[],"as_of":1,"age_ms":0,"era":"2"})"));

} // namespace

} // namespace jy::test
