#include "jy_peer/rpc/PeerClient.h"
#include "jy_peer/rpc/PeerServer.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

std::shared_ptr<jy::KeyRing> keyRing(char fill = 'k')
{
    return jy::KeyRing::create({{"key-1", std::string(32, fill)}}, "key-1").value();
}

const jy::Endpoint anyPort{"127.0.0.1", 0};

/** Answers a claim with the request's key after the request's deadline_ms. */
jy::PeerHandlers echoHandlers()
{
    jy::PeerHandlers handlers;
    handlers.claim = [](const jy::peer::ClaimRequest &request) {
        jy::EventLoop::sleepFor(std::chrono::milliseconds(request.deadline_ms()));
        jy::peer::ClaimReply reply;
        reply.set_granted(true);
        reply.mutable_outcome()->set_body(request.key());
        return reply;
    };
    return handlers;
}

jy::peer::ClaimRequest claim(const std::string &key, std::chrono::milliseconds duration = 0ms)
{
    jy::peer::ClaimRequest request;
    request.set_key(key);
    request.set_deadline_ms(static_cast<std::uint32_t>(duration.count()));
    return request;
}

class PeerCalls : public testing::Test
{
protected:
    void run(const std::function<void(jy::PeerServer &, jy::PeerClient &)> &body,
             jy::PeerServerSettings settings = {}, char clientKey = 'k')
    {
        loop_.run([&] {
            auto server =
                jy::PeerServer::create(loop_, anyPort, keyRing(), echoHandlers(), settings).value();
            auto client = jy::PeerClient::create(loop_, keyRing(clientKey), jy::InstanceId("r-1"),
                                                 {.idleTimeout = 50ms});
            body(server, client);
        });
    }

    jy::EventLoop loop_;
};

// Guards against replies that reach the wrong caller when many calls are in progress.
TEST_F(PeerCalls, ConcurrentCallsGetTheirOwnReplies)
{
    run([](jy::PeerServer &server, jy::PeerClient &client) {
        int done = 0;
        constexpr int calls = 50;
        for (int i = 0; i < calls; ++i) {
            jy::EventLoop::spawn([&, i] {
                const auto key = std::to_string(i);
                const auto reply = client.claim(server.localEndpoint(),
                                                claim(key, std::chrono::milliseconds(i % 7)), 5s);
                ASSERT_TRUE(reply) << reply.error().message;
                EXPECT_EQ(reply.value().outcome().body(), key);
                ++done;
            });
        }
        for (int i = 0; i < 1000 && done < calls; ++i)
            jy::EventLoop::sleepFor(5ms);
        EXPECT_EQ(done, calls);
    });
}

// Guards against a call without a valid key reaching a handler.
TEST_F(PeerCalls, WrongKeyIsRejected)
{
    run(
        [](jy::PeerServer &server, jy::PeerClient &client) {
            const auto reply = client.claim(server.localEndpoint(), claim("a"), 5s);
            ASSERT_FALSE(reply);
            EXPECT_EQ(reply.error().kind, jy::ErrorKind::PeerUnreachable);
            EXPECT_EQ(server.counters().unauthenticated, 1U);
        },
        {}, 'x');
}

// Guards against a fiber that waits without bound, or a failure of another kind, when the peer is
// slow, gone or does not know the call.
TEST_F(PeerCalls, FailuresAreReportedAsPeerUnreachable)
{
    run([](jy::PeerServer &server, jy::PeerClient &client) {
        const auto endpoint = server.localEndpoint();
        const auto slow = client.claim(endpoint, claim("a", 300ms), 50ms);
        ASSERT_FALSE(slow);
        EXPECT_EQ(slow.error().kind, jy::ErrorKind::PeerUnreachable);
        const auto unimplemented = client.reserve(endpoint, {}, 5s);
        ASSERT_FALSE(unimplemented);
        EXPECT_EQ(unimplemented.error().kind, jy::ErrorKind::PeerUnreachable);
        server.shutdown(1s);
        const auto gone = client.claim(endpoint, claim("a"), 5s);
        ASSERT_FALSE(gone);
        EXPECT_EQ(gone.error().kind, jy::ErrorKind::PeerUnreachable);
        EXPECT_EQ(client.counters().failures, 3U);
    });
}

// Guards against unbounded memory and latency when a peer receives more calls than it can answer.
TEST_F(PeerCalls, CallsBeyondTheLimitAreRejectedAtOnce)
{
    run(
        [](jy::PeerServer &server, jy::PeerClient &client) {
            int served = 0;
            int rejected = 0;
            constexpr int calls = 5;
            for (int i = 0; i < calls; ++i) {
                jy::EventLoop::spawn([&] {
                    const auto reply = client.claim(server.localEndpoint(), claim("a", 300ms), 5s);
                    ++(reply ? served : rejected);
                });
            }
            for (int i = 0; i < 1000 && served + rejected < calls; ++i)
                jy::EventLoop::sleepFor(5ms);
            EXPECT_EQ(served, 2);
            EXPECT_EQ(rejected, 3);
            EXPECT_EQ(server.counters().rejected, 3U);
        },
        {.maxInProgress = 2});
}

// Guards against a shutdown that cuts off calls in progress.
TEST_F(PeerCalls, ShutdownWaitsForCallsInProgress)
{
    run([](jy::PeerServer &server, jy::PeerClient &client) {
        bool served = false;
        jy::EventLoop::spawn([&] {
            served = client.claim(server.localEndpoint(), claim("a", 200ms), 5s).has_value();
        });
        while (server.counters().calls == 0)
            jy::EventLoop::sleepFor(1ms);
        server.shutdown(5s);
        for (int i = 0; i < 200 && !served; ++i)
            jy::EventLoop::sleepFor(5ms);
        EXPECT_TRUE(served);
    });
}

// Guards against one open connection for each router that was ever called.
TEST_F(PeerCalls, IdleChannelsAreClosed)
{
    run([](jy::PeerServer &server, jy::PeerClient &client) {
        ASSERT_TRUE(client.claim(server.localEndpoint(), claim("a"), 5s));
        EXPECT_EQ(client.counters().openChannels, 1U);
        jy::EventLoop::sleepFor(60ms);
        client.closeIdleChannels();
        EXPECT_EQ(client.counters().openChannels, 0U);
        EXPECT_TRUE(client.claim(server.localEndpoint(), claim("b"), 5s));
    });
}

// Guards against two routers that share a port and each receive half of the calls.
TEST_F(PeerCalls, APortInUseIsAnError)
{
    run([this](jy::PeerServer &server, jy::PeerClient &) {
        EXPECT_FALSE(jy::PeerServer::create(loop_, server.localEndpoint(), keyRing(), {}));
    });
}

} // namespace
