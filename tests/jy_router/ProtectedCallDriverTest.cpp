#include "jy_router/protected/ProtectedCallDriver.h"

#include "jy_base/errors/ErrorTable.h"
#include "jy_core/ConfigFakeKv.h"
#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

namespace {

using namespace jy;
using namespace std::chrono_literals;
using jy::test::ConfigFakeKv;
using jy::test::KvFault;
using Progress = ProtectedSendResult::Progress;

std::string newKey(WallTime created)
{
    static int counter = 0;
    const auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(created.time_since_epoch()).count();
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x",
                  static_cast<unsigned long long>(ms >> 16),
                  static_cast<unsigned long long>(ms & 0xffff), ++counter);
    return text.data();
}

/** Two routers on one loop; router 0 owns all shards. */
class Fleet
{
public:
    Fleet()
    {
        for (std::size_t i = 0; i < drivers.size(); ++i) {
            ProtectedCallSettings settings{.claimTimeout = 100ms,
                                           .tickInterval = 1ms,
                                           .recordFor = 500ms,
                                           .recordPause = 5ms,
                                           .recordPauseMax = 20ms};
            settings.ledger.batchWindow = 3ms;
            settings.ledger.retryPause = 5ms;
            drivers[i] = std::make_unique<ProtectedCallDriver>(settings, hooks(i));
            ++running_;
            EventLoop::spawn([this, i] { drivers[i]->run(stop_), --running_; });
        }
    }

    ~Fleet()
    {
        fault = [] { return KvFault::None; };
        while (drivers[0]->pendingRecords() + drivers[1]->pendingRecords() > 0)
            EventLoop::sleepFor(1ms);
        stop_.requestStop();
        while (running_ > 0)
            EventLoop::sleepFor(1ms);
    }

    Result<ProtectedCallResponse> call(int router, const std::string &key, Progress progress,
                                       ErrorKind kind = ErrorKind::Internal)
    {
        ProtectedCallRequest request{.key = key,
                                     .digest = protectedCallDigest(ServiceId("s"), "POST", "/", ""),
                                     .service = ServiceId("s"),
                                     .deadline = std::chrono::steady_clock::now() + 1s};
        return drivers[router]->call(request, [&] {
            ++sends;
            EventLoop::sleepFor(1ms);
            return ProtectedSendResult{progress, {201, "text/plain", "booked"}, {kind, "x"}};
        });
    }

    void settle()
    {
        for (const auto &driver : drivers) {
            while (driver->pendingRecords() > 0)
                EventLoop::sleepFor(1ms);
        }
    }

    ConfigFakeKv kv;
    std::function<KvFault()> fault = [] { return KvFault::None; };
    bool ownerReachable = true;
    std::array<std::unique_ptr<ProtectedCallDriver>, 2> drivers;
    int sends = 0;

private:
    ProtectedCallDriver::Dependencies hooks(std::size_t index)
    {
        return {
            .readKey =
                [this](const auto &key) {
                    EventLoop::sleepFor(1ms);
                    return kv.read(key, fault());
                },
            .swapKey =
                [this](const auto &key, const auto &value, auto expected) {
                    EventLoop::sleepFor(1ms);
                    return kv.swap(key, value, expected, fault());
                },
            .owner = [index](const auto &) -> std::optional<InstanceId> {
                return index == 0 ? std::nullopt : std::optional(InstanceId("0"));
            },
            .claim = [this](const auto &, const auto &request, auto) -> Result<peer::ClaimReply> {
                if (!ownerReachable)
                    return failure(ErrorKind::PeerUnreachable, "cut");
                return drivers[0]->serveClaim(request);
            },
            .recordOutcome = [this](const auto &, const auto &request,
                                    auto) -> Result<peer::RecordOutcomeReply> {
                if (!ownerReachable)
                    return failure(ErrorKind::PeerUnreachable, "cut");
                return drivers[0]->serveRecordOutcome(request);
            },
            .newAttemptId = [this] { return "attempt-" + std::to_string(++attempts_); },
            .keyRetention = [] { return std::chrono::milliseconds(1h); }};
    }

    StopToken stop_;
    int running_ = 0;
    int attempts_ = 0;
};

template <class Body>
void onLoop(Body body)
{
    EventLoop loop;
    loop.run([&] {
        Fleet fleet;
        body(fleet);
    });
}

std::string describe(const Result<ProtectedCallResponse> &result)
{
    if (!result)
        return std::string(answerFor(result.error().kind).name);
    return (result.value().repeated ? "repeated " : "ran ")
        + std::to_string(result.value().response.status);
}

struct Path
{
    const char *name;
    int router;
    Progress progress;
    ErrorKind kind;
    KvFault fault;
    bool ownerReachable;
    const char *answer;
    int sends;

    /** The answer to a repetition at the other router when nothing fails any more. */
    const char *repetition;
};

class Paths : public testing::TestWithParam<Path>
{ };

// Guards against a wrong effect in an answer, a send without a claim, and a second execution.
TEST_P(Paths, EndWithATrueAnswer)
{
    onLoop([](Fleet &fleet) {
        const auto &path = GetParam();
        const auto key = newKey(std::chrono::system_clock::now());
        fleet.fault = [&] { return path.fault; };
        fleet.ownerReachable = path.ownerReachable;
        const auto result = fleet.call(path.router, key, path.progress, path.kind);
        EXPECT_EQ(describe(result), path.answer);
        EXPECT_EQ(fleet.sends, path.sends);
        fleet.fault = [] { return KvFault::None; };
        fleet.ownerReachable = true;
        fleet.settle();
        EXPECT_EQ(describe(fleet.call(1 - path.router, key, Progress::Answered)), path.repetition);
    });
}

using K = ErrorKind;
using F = KvFault;

// clang-format off
INSTANTIATE_TEST_SUITE_P(Table, Paths, testing::Values(
    Path{"AtOwner", 0, Progress::Answered, K::Internal, F::None, true, "ran 201", 1, "repeated 201"},
    Path{"AtOther", 1, Progress::Answered, K::Internal, F::None, true, "ran 201", 1, "repeated 201"},
    Path{"OwnerCut", 1, Progress::Answered, K::Internal, F::None, false, "ran 201", 1, "repeated 201"},
    Path{"NotSent", 0, Progress::NotSent, K::Overloaded, F::None, true, "overloaded", 1, "ran 201"},
    Path{"NotSentWrongKind", 1, Progress::NotSent, K::BackendBroken, F::None, true, "connect_failed", 1, "ran 201"},
    Path{"Broken", 0, Progress::Unknown, K::DeadlineExceeded, F::None, true, "deadline_exceeded", 1, "outcome_unknown"},
    Path{"BrokenWrongKind", 1, Progress::Unknown, K::ConnectFailed, F::None, true, "backend_broken", 1, "outcome_unknown"},
    Path{"KvDown", 0, Progress::Answered, K::Internal, F::Down, true, "kv_outcome_unknown", 0, "ran 201"},
    Path{"KvDownAtOther", 1, Progress::Answered, K::Internal, F::Down, true, "kv_outcome_unknown", 0, "ran 201"},
    Path{"KvDownOwnerCut", 1, Progress::Answered, K::Internal, F::Down, false, "kv_outcome_unknown", 0, "ran 201"}),
    [](const auto &info) { return info.param.name; });
// clang-format on

struct RefusedKey
{
    const char *name;
    std::string key;
    const char *answer;
};

class RefusedKeys : public testing::TestWithParam<RefusedKey>
{ };

// Guards against a call that runs without a usable key.
TEST_P(RefusedKeys, NeverSend)
{
    onLoop([](Fleet &fleet) {
        EXPECT_EQ(describe(fleet.call(0, GetParam().key, Progress::Answered)), GetParam().answer);
        EXPECT_EQ(fleet.sends, 0);
        EXPECT_TRUE(fleet.kv.values.empty());
    });
}

const WallTime now = std::chrono::system_clock::now();
INSTANTIATE_TEST_SUITE_P(Table, RefusedKeys,
                         testing::Values(RefusedKey{"None", "", "key_invalid"},
                                         RefusedKey{"Expired", newKey(now - 2h), "key_expired"},
                                         RefusedKey{"Future", newKey(now + 10min), "key_invalid"}),
                         [](const auto &info) { return info.param.name; });

// Guards against a duplicate execution when callers repeat a key at several routers while the KV
// service fails: one execution for each key, and none of the keys answered as not run has one.
TEST(ProtectedCallDriver, RepeatedKeysRunOnceWhileTheKvServiceFails)
{
    constexpr std::uint64_t seed = 7;
    RecordProperty("seed", seed);
    onLoop([](Fleet &fleet) {
        std::mt19937_64 random(seed);
        fleet.fault = [&random] {
            return static_cast<KvFault>(std::max<int>(0, random() % 8 - 3));
        };
        for (int round = 0; round < 20; ++round) {
            const auto key = newKey(std::chrono::system_clock::now());
            fleet.sends = 0;
            int ran = 0;
            int open = 6;
            for (int i = 0; i < 6; ++i) {
                EventLoop::spawn([&, i] {
                    const auto result = fleet.call(i % 2, key, Progress::Answered);
                    ran += result && !result.value().repeated;
                    --open;
                });
            }
            while (open > 0)
                EventLoop::sleepFor(1ms);
            if (round % 4 == 0)
                fleet.kv.deliverDelayed();
            EXPECT_LE(fleet.sends, 1);
            EXPECT_EQ(fleet.sends, ran) << "a call that was sent was answered as not run";
        }
        fleet.kv.deliverDelayed();
    });
}

} // namespace
