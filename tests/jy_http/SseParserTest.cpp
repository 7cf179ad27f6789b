#include "jy_http/jy_http.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

std::vector<jy::ServerSentEvent> parse(const std::vector<std::string> &parts)
{
    jy::SseParser parser;
    std::vector<jy::ServerSentEvent> all;
    for (const auto &part : parts) {
        const auto events = parser.feed(part).value();
        all.insert(all.end(), events.begin(), events.end());
    }
    return all;
}

// Guards against events that depend on how the stream is divided into reads.
RC_GTEST_PROP(SseParser, EventsDoNotDependOnReadBoundaries, ())
{
    const auto text = rc::gen::container<std::string>(rc::gen::element('a', ':', ' ', '\n'));
    const auto ids = rc::gen::container<std::string>(rc::gen::element('0', '7', ':'));
    std::vector<jy::ServerSentEvent> events;
    std::string bytes;
    for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
        events.push_back({.id = *ids, .event = *ids, .data = *text});
        bytes += jy::formatEvent(events.back());
    }
    std::vector<std::string> parts;
    while (!bytes.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        parts.push_back(bytes.substr(0, size));
        bytes.erase(0, size);
    }
    RC_ASSERT(parse(parts) == events);
}

struct SseCase
{
    std::string name;
    std::vector<std::string> parts;
    std::vector<jy::ServerSentEvent> events;
};

class SseInput : public testing::TestWithParam<SseCase>
{ };

// Guards against misparsing the line endings and fields that different engines write.
TEST_P(SseInput, IsParsed)
{
    EXPECT_EQ(parse(GetParam().parts), GetParam().events);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SseInput,
    testing::Values(SseCase{"CarriageReturns",
                            {"data: a\r\rdata:b\r\n\r", "\ndata: c\n\n"},
                            {{"", "", "a"}, {"", "", "b"}, {"", "", "c"}}},
                    SseCase{"CommentsAndUnknownFields",
                            {": ping\nretry: 5\nx: y\ndata: a\n\n"},
                            {{"", "", "a"}}},
                    SseCase{"NoData", {"id: 4\n\ndata: a\n\n"}, {{"", "", "a"}}},
                    SseCase{"ByteOrderMark",
                            {"\xEF\xBB\xBF"
                             "data: a\n\n"},
                            {{"", "", "a"}}},
                    SseCase{"IncompleteEvent", {"data: a\n\ndata: b\n"}, {{"", "", "a"}}}),
    [](const auto &info) { return info.param.name; });

// Guards against a stream without line endings that uses up the memory.
TEST(SseParser, LimitsLinesAndEvents)
{
    jy::SseParser lines({.maxLineBytes = 8, .maxEventBytes = 64});
    EXPECT_TRUE(lines.feed("data: 12"));
    EXPECT_EQ(lines.feed("3").error().kind, jy::ErrorKind::BackendBroken);
    jy::SseParser events({.maxLineBytes = 8, .maxEventBytes = 8});
    EXPECT_TRUE(events.feed("data:abc\ndata:def\n"));
    EXPECT_EQ(events.feed("data:ghi\n").error().kind, jy::ErrorKind::BackendBroken);
}

} // namespace
