#include "jy_http/wire/HeadWriter.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

struct HopByHopCase
{
    const char *connection;
    const char *field;
    bool passes;
};

struct HopByHopFieldTest : testing::TestWithParam<HopByHopCase>
{ };

// Guards against forwarding hop-by-hop fields, which apply to a single connection.
TEST_P(HopByHopFieldTest, HopByHopFieldsAreNotForwarded)
{
    const auto &param = GetParam();
    const HttpHeaders headers{{"Connection", param.connection}, {param.field, "value"}};
    const std::string line = std::string(param.field) + ": value";
    const auto request = requestHead({.headers = headers}, "h", 0);
    ASSERT_TRUE(request);
    EXPECT_EQ(request.value().find(line) != std::string::npos, param.passes);
    const auto response = responseHead(200, headers, BodyFraming::Length, 0, true);
    EXPECT_EQ(response.find(line) != std::string::npos, param.passes);
}

INSTANTIATE_TEST_SUITE_P(Fields, HopByHopFieldTest,
                         testing::Values(HopByHopCase{"keep-alive", "X-Plain", true},
                                         HopByHopCase{"X-Private", "X-Private", false},
                                         HopByHopCase{"close, x-private", "X-Private", false},
                                         HopByHopCase{"x-private , close", "X-Private", false},
                                         HopByHopCase{"x-privat", "X-Private", true},
                                         HopByHopCase{"keep-alive", "Keep-Alive", false},
                                         HopByHopCase{"keep-alive", "TE", false}));

} // namespace

} // namespace jy::test
