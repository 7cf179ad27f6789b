#include "jy_router/caller/ChatBody.h"

#include <gtest/gtest.h>

namespace {

struct BodyCase
{
    std::string name;
    std::string text;

    /** Empty for a body that is refused. */
    std::string model;
    bool stream = false;
};

class ChatBodies : public testing::TestWithParam<BodyCase>
{ };

// Guards against a body that is read differently by the router and by the engine.
TEST_P(ChatBodies, AreRead)
{
    const auto body = jy::ChatBody::read(GetParam().text);
    ASSERT_EQ(body.has_value(), !GetParam().model.empty());
    if (!body) {
        EXPECT_EQ(body.error().kind, jy::ErrorKind::BadRequest);
        return;
    }
    EXPECT_EQ(body.value().model.value(), GetParam().model);
    EXPECT_EQ(body.value().stream, GetParam().stream);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, ChatBodies,
    testing::Values(
        BodyCase{"Plain", R"({"model":"m"})", "m"},
        BodyCase{"Stream", R"( {"stream" : true, "model":"m", "n":1.5e3} )", "m", true},
        BodyCase{"NullStream", R"({"model":"m","stream":null})", "m"},
        BodyCase{"Escaped", R"({"mo\u0064el":"a\u0062c","x":"\n"})", "abc"},
        BodyCase{"LastOfTwo", R"({"model":"a","stream":true,"model":"b","stream":false})", "b"},
        BodyCase{"NestedMembers",
                 R"({"x":{"model":"a","stream":true},"model":"m","y":[{"model":1}]})", "m"},
        BodyCase{"LongestModel", R"({"model":")" + std::string(1024, 'x') + "\"}",
                 std::string(1024, 'x')},
        BodyCase{"TooLongModel", R"({"model":")" + std::string(1025, 'x') + "\"}", ""},
        BodyCase{"NoModel", R"({"stream":true})", ""},
        BodyCase{"EmptyModel", R"({"model":""})", ""},
        BodyCase{"NumberAsModel", R"({"model":1})", ""},
        BodyCase{"ObjectAsModel", R"({"model":{"model":"m"}})", ""},
        BodyCase{"LaterNumberAsModel", R"({"model":"m","model":1})", ""},
        BodyCase{"TextAsStream", R"({"model":"m","stream":"true"})", ""},
        BodyCase{"ListAsStream", R"({"model":"m","stream":[true]})", ""},
        BodyCase{"Array", R"([{"model":"m"}])", ""}, BodyCase{"Empty", "", ""},
        BodyCase{"Unfinished", R"({"model":"m")", ""},
        BodyCase{"TrailingText", R"({"model":"m"} x)", ""},
        BodyCase{"TooDeep",
                 R"({"model":"m","x":)" + std::string(40, '[') + std::string(40, ']') + "}", ""}),
    [](const auto &info) { return info.param.name; });

} // namespace
