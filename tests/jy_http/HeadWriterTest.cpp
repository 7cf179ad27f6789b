#include "jy_http/wire/HeadWriter.h"

#include <gtest/gtest.h>

namespace jy::test {

namespace {

struct HopCase
{
    const char *connection;
    const char *field;
    bool passes;
};

struct HopFieldTest : testing::TestWithParam<HopCase>
{ };

// Guards against passing on fields that concern one connection only.
TEST_P(HopFieldTest, FieldsOfOneConnectionDoNotPass)
{
    const auto &param = GetParam();
    const HttpHeaders headers{{"Connection", param.connection}, {param.field, "value"}};
    const std::string line = std::string(param.field) + ": value";
    const auto request = requestHead({.headers = headers}, "h");
    ASSERT_TRUE(request);
    EXPECT_EQ(request.value().find(line) != std::string::npos, param.passes);
    const auto response = responseHead(200, headers, BodyFraming::Length, 0, true);
    EXPECT_EQ(response.find(line) != std::string::npos, param.passes);
}

INSTANTIATE_TEST_SUITE_P(Fields, HopFieldTest,
                         testing::Values(HopCase{"keep-alive", "X-Plain", true},
                                         HopCase{"X-Private", "X-Private", false},
                                         HopCase{"close, x-private", "X-Private", false},
                                         HopCase{"x-private , close", "X-Private", false},
                                         HopCase{"x-privat", "X-Private", true},
                                         HopCase{"keep-alive", "Keep-Alive", false},
                                         HopCase{"keep-alive", "TE", false}));

} // namespace

} // namespace jy::test
