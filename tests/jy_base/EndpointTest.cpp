#include "jy_base/jy_base.h"

#include <gtest/gtest.h>

namespace {

class ValidEndpoint : public testing::TestWithParam<const char *>
{ };

// Guards against a formatted endpoint that does not parse back to the same value.
TEST_P(ValidEndpoint, RoundTrips)
{
    const auto endpoint = jy::endpointFromString(GetParam());
    ASSERT_TRUE(endpoint);
    EXPECT_EQ(jy::toString(endpoint.value()), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Texts, ValidEndpoint, testing::Values("10.0.0.1:80", "[::1]:65535"));

class InvalidEndpoint : public testing::TestWithParam<const char *>
{ };

// Guards against accepting host names and partial addresses, which would fail only on connecting.
TEST_P(InvalidEndpoint, IsRejected)
{
    EXPECT_FALSE(jy::endpointFromString(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Texts, InvalidEndpoint,
                         testing::Values("", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:80x",
                                         "10.0.0.1:65536", "10.0.0.1:-1", "::1:80", "host:80",
                                         "[10.0.0.1]:80", "10.0.1:80"));

} // namespace
