#include "RelayFixture.h"

#include <algorithm>
#include <map>

namespace jy::test {

namespace {

using Clock = std::chrono::steady_clock;

constexpr milliseconds work{150};

/** A relay to one service with admission, whose servers work on each request for 150 ms. */
class AdmissionRun
{
public:
    AdmissionRun(RelayFixture &fixture, int servers, Route route = {})
        : relay(fixture)
    {
        route.latencyTarget = seconds(4);
        relay.configure(std::move(route));
        for (int i = 0; i < servers; ++i)
            relay.addBackend([this](const HttpRequest &, HttpResponder &out) {
                const auto number = ++calls;
                most = std::max(most, ++running);
                EventLoop::sleepFor(work);
                --running;
                out.send(number == 1 ? firstStatus : 200, sealed, "body");
            });
    }

    /** Sends a request in a fiber of its own; its status is 0 if there is no response. */
    void send(int number, milliseconds limit = callLimit)
    {
        ++pending_;
        EventLoop::spawn([this, number, limit] {
            const auto response = relay.call({{"Id", "r1"}}, "/x", limit);
            statuses[number] = response ? response.value().status : 0;
            retryAfter = response ? response.value().headers.value("Retry-After") : "";
            --pending_;
        });
        EventLoop::sleepFor(milliseconds(10));
    }

    void awaitAll() const
    {
        while (pending_ > 0 || running > 0)
            EventLoop::sleepFor(milliseconds(5));
    }

    RelayFixture &relay;
    int firstStatus = 200;
    int calls = 0;
    int running = 0;
    int most = 0;
    std::map<int, int> statuses;

    /** Of the last response. */
    std::string retryAfter;

private:
    int pending_ = 0;
};

using Statuses = std::map<int, int>;

// Guards against a waiting request that is forgotten or sent although there is no place.
TEST(ServiceAdmissionTest, AWaitingRequestIsServedWhenAPlaceBecomesFree)
{
    withRelay(
        [](RelayFixture &relay) {
            AdmissionRun run(relay, 2);
            relay.limitTo(1);
            for (int i = 1; i <= 3; ++i)
                run.send(i);
            run.awaitAll();
            EXPECT_EQ(run.statuses, (Statuses{{1, 200}, {2, 200}, {3, 200}}));
            EXPECT_EQ(run.most, 1);
        },
        AdmissionQueue::Limits{});
}

// Guards against an entry of a caller that has left: it would take the only entry of the queue, and
// then the place. Also against a refusal that is no 503, names no time to return or is sent late.
TEST(ServiceAdmissionTest, ACallerThatLeavesMakesRoomAndAFullQueueRefusesAtOnce)
{
    withRelay(
        [](RelayFixture &relay) {
            AdmissionRun run(relay, 1);
            relay.limitTo(1);
            run.send(1);
            run.send(2, milliseconds(30));
            EventLoop::sleepFor(milliseconds(40));
            run.send(3);
            run.send(4);
            EXPECT_EQ(run.statuses, (Statuses{{2, 0}, {4, 503}}));
            const auto returnAfter = run.retryAfter;
            run.awaitAll();
            EXPECT_EQ(run.statuses, (Statuses{{1, 200}, {2, 0}, {3, 200}, {4, 503}}));
            EXPECT_EQ(run.calls, 2);
            ASSERT_FALSE(returnAfter.empty());
            EXPECT_GE(std::stoi(returnAfter), ReturnSchedule::shortest.count());
            EXPECT_LE(std::stoi(returnAfter), ReturnSchedule::longest.count());
        },
        AdmissionQueue::Limits{.maxWaiting = 1});
}

// Guards against a process that does not end, or a place that is lost, because a request waits.
TEST(ServiceAdmissionTest, AWaitEndsWithAnInterruption)
{
    withRelay(
        [](RelayFixture &relay) {
            AdmissionRun run(relay, 1);
            relay.limitTo(1);
            run.send(1);
            run.send(2);
            relay.interrupt();
            run.awaitAll();
            EXPECT_NE(run.statuses[2], 200);
            EXPECT_EQ(run.calls, 1);
        },
        AdmissionQueue::Limits{});
}

struct RetryCase
{
    const char *name;
    bool firstAttemptWaits;
    int status;
};

struct AdmissionRetryTest : testing::TestWithParam<RetryCase>
{ };

// Guards against retries that take places while requests wait that were not sent at all yet.
TEST_P(AdmissionRetryTest, IsMadeOnlyIfNoFirstAttemptWaits)
{
    withRelay(
        [](RelayFixture &relay) {
            AdmissionRun run(relay, 2, {.kind = RequestKind::Safe, .maxAttempts = 2});
            run.firstStatus = 500;
            relay.limitTo(1);
            run.send(1);
            if (GetParam().firstAttemptWaits)
                run.send(2);
            run.awaitAll();
            EXPECT_EQ(run.statuses[1], GetParam().status);
            EXPECT_EQ(run.calls, 2);
        },
        AdmissionQueue::Limits{});
}

INSTANTIATE_TEST_SUITE_P(Queues, AdmissionRetryTest,
                         testing::Values(RetryCase{"Waiting", true, 500},
                                         RetryCase{"Empty", false, 200}),
                         [](const auto &info) { return info.param.name; });

struct SuccessorCase
{
    const char *name;
    int places;
    int calls;
};

struct AdmissionSuccessorTest : testing::TestWithParam<SuccessorCase>
{ };

// Guards against a second attempt beside a silent one without a place of its own.
TEST_P(AdmissionSuccessorTest, NeedsAPlaceOfItsOwn)
{
    withRelay(
        [](RelayFixture &relay) {
            relay.configure(
                {.kind = RequestKind::Safe, .latencyTarget = milliseconds(50), .maxAttempts = 2});
            int calls = 0;
            for (int i = 0; i < 2; ++i)
                relay.addBackend([&](const HttpRequest &, HttpResponder &out) {
                    if (++calls == 1)
                        EventLoop::sleepFor(milliseconds(600));
                    out.send(200, sealed, "body");
                });
            relay.limitTo(GetParam().places);
            const auto response = relay.call();
            EXPECT_TRUE(response && response.value().status == 200);
            EXPECT_EQ(calls, GetParam().calls);
        },
        AdmissionQueue::Limits{});
}

INSTANTIATE_TEST_SUITE_P(Places, AdmissionSuccessorTest,
                         testing::Values(SuccessorCase{"One", 1, 1}, SuccessorCase{"Two", 2, 2}),
                         [](const auto &info) { return info.param.name; });

struct FullServerCase
{
    const char *name;

    /** Adds the only server; @p closing closes its connections after a request. */
    std::function<void(RelayFixture &, const Endpoint &closing)> addServer;
    int status;
    bool contended;
};

struct FullServerTest : testing::TestWithParam<FullServerCase>
{ };

// Guards against a 502 for a request that did not run, and a server without room that goes
// unnoticed.
TEST_P(FullServerTest, IsNoticedAndAnsweredTruly)
{
    EventLoop loop;
    loop.run([&] {
        const RawServer closing(loop, [](tcp::socket &socket, int) {
            RawServer::readHead(socket);
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_both, ignored);
        });
        RelayFixture relay(loop, AdmissionQueue::Limits{});
        relay.configure({});
        GetParam().addServer(relay, closing.endpoint());
        const auto response = relay.call();
        ASSERT_TRUE(response);
        EXPECT_EQ(response.value().status, GetParam().status);
        EXPECT_EQ(response.value().headers.find("Retry-After").has_value(),
                  GetParam().status == 503);
        EXPECT_EQ(relay.contended(), GetParam().contended);
    });
}

HttpHandler refuseWith(const HttpHeaders &further)
{
    return [=](const HttpRequest &, HttpResponder &out) {
        auto headers = notRun;
        for (const auto &[name, value] : further)
            headers.add(name, value);
        out.send(503, headers, "");
    };
}

INSTANTIATE_TEST_SUITE_P(
    Servers, FullServerTest,
    testing::Values(
        FullServerCase{"Refuses",
                       [](auto &relay, const auto &) { relay.addBackend(refuseWith({})); }, 503,
                       true},
        FullServerCase{"Leaves",
                       [](auto &relay, const auto &) {
                           relay.addBackend(refuseWith({{"Leaving", "1"}}));
                       },
                       503, false},
        FullServerCase{"ConnectionRefused",
                       [](auto &relay, const auto &) { relay.addUnreachableBackend(); }, 503,
                       false},
        FullServerCase{"ClosesBeforeItsResponse",
                       [](auto &relay, const auto &closing) { relay.registerBackend(closing); },
                       502, true}),
    [](const auto &info) { return info.param.name; });

// Guards against a timer of a waiting request that runs after the admission has ended.
TEST(ServiceAdmissionTest, MayEndBeforeItsTimers)
{
    EventLoop loop;
    loop.run([&] {
        Metrics metrics;
        auto admission =
            std::make_unique<ServiceAdmission>(loop, metrics, AdmissionQueue::Limits{}, 1);
        const auto now = Clock::now();
        admission->update(desk, {.places = 1}, now);
        admission->serverFull(desk, now);
        const ServiceAdmission::Query query{
            .service = desk, .latencyTarget = milliseconds(200), .deadline = now + seconds(5)};
        const auto callerLeaves = Cancellation::create();
        auto first = admission->admit(query, callerLeaves);
        ASSERT_TRUE(first);
        EventLoop::spawn([&] {
            EventLoop::sleepFor(milliseconds(10));
            callerLeaves->cancel();
        });
        const auto second = admission->admit(query, callerLeaves);
        ASSERT_FALSE(second);
        EXPECT_EQ(second.error().kind, ErrorKind::Cancelled);
        first.value().release();
        admission.reset();
        EventLoop::sleepFor(milliseconds(10));
    });
}

} // namespace

} // namespace jy::test
