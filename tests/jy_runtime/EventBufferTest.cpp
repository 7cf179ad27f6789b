#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

namespace {

jy::Event eventWith(std::string name, std::string value)
{
    return {.kind = "test", .fields = {{std::move(name), std::move(value)}}};
}

jy::EventBuffer bufferAt(std::int64_t wallMs, std::size_t capacity)
{
    return {"r1", capacity, [wallMs] { return jy::WallTime{std::chrono::milliseconds(wallMs)}; }};
}

// Guards against unbounded memory and against readers that cannot detect evicted events.
TEST(EventBuffer, KeepsTheNewestEventsAndCountsEvictedOnes)
{
    auto buffer = bufferAt(1000, 3);
    for (int i = 1; i <= 5; ++i)
        buffer.record(eventWith("n", std::to_string(i)));
    EXPECT_EQ(buffer.size(), 3U);
    const auto page = buffer.since(1);
    ASSERT_EQ(page.events.size(), 3U);
    EXPECT_EQ(page.events[0].fields[0].value, "3");
    EXPECT_EQ(page.lost, 1U);
    EXPECT_EQ(page.nextSequence, 5U);
    EXPECT_TRUE(buffer.since(5).events.empty());
}

// Guards against events skipped after a page that reached its limit.
TEST(EventBuffer, ContinuesAfterAFullPage)
{
    auto buffer = bufferAt(1000, 10);
    for (int i = 1; i <= 5; ++i)
        buffer.record(eventWith("chat", i % 2 == 0 ? "even" : "odd"));
    const jy::EventFilter odd{.chat = "odd"};
    const auto first = buffer.since(0, odd, 2);
    EXPECT_EQ(first.events.size(), 2U);
    const auto second = buffer.since(first.nextSequence, odd, 2);
    ASSERT_EQ(second.events.size(), 1U);
    EXPECT_EQ(second.events[0].sequence, 5U);
}

// Guards against a large event that exceeds the memory bound.
TEST(EventBuffer, TruncatesLongStringsAndExcessFields)
{
    auto buffer = bufferAt(1000, 2);
    jy::Event event{.kind = std::string(1000, 'k')};
    event.fields.assign(100, {"name", std::string(1000, 'v')});
    buffer.record(event);
    const auto kept = buffer.since(0).events.at(0);
    EXPECT_EQ(kept.kind.size(), jy::EventBuffer::maxTextBytes);
    EXPECT_EQ(kept.fields.size(), jy::EventBuffer::maxFields);
    EXPECT_EQ(kept.fields[0].value.size(), jy::EventBuffer::maxTextBytes);
}

// Guards against an effect sorted before its cause when the clocks of two processes differ.
TEST(EventBuffer, EventsAfterAReceivedMessageSortAfterItsTimestamp)
{
    auto ahead = bufferAt(5000, 2);
    auto behind = bufferAt(1000, 2);
    const auto sent = ahead.now();
    behind.observe(sent);
    behind.record(eventWith("chat", "c"));
    EXPECT_GT(behind.since(0).events.at(0).time, sent);
}

struct FilterCase
{
    const char *name;
    jy::EventFilter filter;
};

class EventFilterField : public testing::TestWithParam<FilterCase>
{ };

// Guards against a filter that ignores one of its fields.
TEST_P(EventFilterField, SelectsOnlyMatchingEvents)
{
    auto buffer = bufferAt(1000, 20);
    for (const auto *name : {"chat", "server", "workspace", "move", "revision"}) {
        buffer.record(eventWith(name, "x"));
        buffer.record(eventWith(name, "y"));
    }
    const auto events = buffer.since(0, GetParam().filter).events;
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].fields[0], (jy::EventField{GetParam().name, "x"}));
}

INSTANTIATE_TEST_SUITE_P(Fields, EventFilterField,
                         testing::Values(FilterCase{"chat", {.chat = "x"}},
                                         FilterCase{"server", {.server = "x"}},
                                         FilterCase{"workspace", {.workspace = "x"}},
                                         FilterCase{"move", {.move = "x"}},
                                         FilterCase{"revision", {.revision = "x"}}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
