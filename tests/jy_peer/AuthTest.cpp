#include "jy_peer/auth/CallAuthenticator.h"
#include "jy_peer/auth/KeyRing.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

namespace {

const std::string secretA(16, 'a');
const std::string secretB(16, 'b');

struct KeyRingCase
{
    std::string name;
    std::vector<jy::AuthKey> keys;
    std::string sealing;
    bool valid;
};

class KeyRingSettings : public testing::TestWithParam<KeyRingCase>
{ };

// Guards against a router that starts with a key that the others cannot use or anyone can guess.
TEST_P(KeyRingSettings, InvalidKeysAreRejected)
{
    EXPECT_EQ(jy::KeyRing::create(GetParam().keys, GetParam().sealing).has_value(),
              GetParam().valid);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, KeyRingSettings,
    testing::Values(KeyRingCase{"one", {{"a", secretA}}, "a", true},
                    KeyRingCase{"two", {{"a", secretA}, {"b", secretB}}, "b", true},
                    KeyRingCase{"none", {}, "a", false},
                    KeyRingCase{"unknownSealing", {{"a", secretA}}, "b", false},
                    KeyRingCase{"short", {{"a", "123456789012345"}}, "a", false},
                    KeyRingCase{"repeated", {{"a", secretA}, {"a", secretB}}, "a", false},
                    KeyRingCase{"emptyId", {{"", secretA}}, "", false},
                    KeyRingCase{
                        "longId", {{std::string(33, 'k'), secretA}}, std::string(33, 'k'), false}),
    [](const auto &info) { return info.param.name; });

// RFC 4231, test case 2, with the key padded with zero bytes, which HMAC pads with anyway.
TEST(KeyRing, CodeMatchesTheStandard)
{
    std::string key = "Jefe";
    key.resize(16, '\0');
    const auto ring = jy::KeyRing::create({{"k", key}}, "k").value();
    const auto code = ring->code("k", "what do ya want for nothing?").value();
    EXPECT_EQ(code[0], 0x5b);
    EXPECT_EQ(code[1], 0xdc);
    EXPECT_EQ(code[31], 0x43);
}

// Guards against a key change that cuts off routers that still seal with the previous key.
TEST(KeyRing, ReloadKeepsThePreviousKeysOnAnError)
{
    const auto ring = jy::KeyRing::create({{"a", secretA}}, "a").value();
    const auto code = ring->code("a", "x").value();
    const std::string text(code.begin(), code.end());
    EXPECT_FALSE(ring->reload({{"b", "short"}}, "b"));
    EXPECT_TRUE(ring->verify("a", "x", text));
    EXPECT_TRUE(ring->reload({{"a", secretA}, {"b", secretB}}, "b"));
    EXPECT_TRUE(ring->verify("a", "x", text));
    EXPECT_TRUE(ring->verify("a", "x", text.substr(0, 16)));
    EXPECT_FALSE(ring->verify("a", "x", text.substr(0, 15)));
    EXPECT_FALSE(ring->verify("a", "x", ""));
    EXPECT_TRUE(ring->reload({{"b", secretB}}, "b"));
    EXPECT_FALSE(ring->verify("a", "x", text));
}

struct CallCase
{
    std::string name;
    std::string method;
    std::chrono::seconds delay;
    std::function<void(jy::CallCredentials &)> change;
    bool accepted;
};

class CallCredentialsCheck : public testing::TestWithParam<CallCase>
{ };

// Guards against accepting a stranger's, altered or replayed call.
TEST_P(CallCredentialsCheck, OnlyFreshUnchangedCredentialsAreAccepted)
{
    const auto ring = jy::KeyRing::create({{"a", secretA}}, "a").value();
    const jy::CallAuthenticator authenticator(ring);
    const jy::WallTime sent{1'700'000'000s};
    auto credentials = authenticator.sign("Claim", jy::InstanceId("router-1"), sent);
    GetParam().change(credentials);
    const auto caller =
        authenticator.verify(GetParam().method, credentials, sent + GetParam().delay);
    EXPECT_EQ(caller.has_value(), GetParam().accepted);
    if (!caller) {
        EXPECT_EQ(caller.error().kind, jy::ErrorKind::Unauthenticated);
    }
}

const auto unchanged = [](jy::CallCredentials &) {};

INSTANTIATE_TEST_SUITE_P(
    Cases, CallCredentialsCheck,
    testing::Values(CallCase{"unchanged", "Claim", 0s, unchanged, true},
                    CallCase{"clockBehind", "Claim", -29s, unchanged, true},
                    CallCase{"late", "Claim", 31s, unchanged, false},
                    CallCase{"early", "Claim", -31s, unchanged, false},
                    CallCase{"otherMethod", "Reserve", 0s, unchanged, false},
                    CallCase{"otherPeer", "Claim", 0s, [](auto &c) { c.peer = "router-2"; }, false},
                    CallCase{"noPeer", "Claim", 0s, [](auto &c) { c.peer = ""; }, false},
                    CallCase{"otherTime", "Claim", 0s, [](auto &c) { c.timeMs += "0"; }, false},
                    CallCase{"otherKey", "Claim", 0s, [](auto &c) { c.keyId = "b"; }, false},
                    CallCase{"noCode", "Claim", 0s, [](auto &c) { c.code = ""; }, false}),
    [](const auto &info) { return info.param.name; });

} // namespace
