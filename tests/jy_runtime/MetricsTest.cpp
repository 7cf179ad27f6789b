#include "jy_runtime/jy_runtime.h"

#include <gtest/gtest.h>

#include <stdexcept>

using namespace std::chrono_literals;

namespace {

// Guards against output that Prometheus cannot parse.
TEST(Metrics, PrintsThePrometheusTextFormat)
{
    jy::Metrics metrics;
    metrics.counter("jy_a_total", "Requests.", {{"kind", "x\"\\\n"}}).add(2);
    auto &gauge = metrics.gauge("jy_b", "Load.");
    metrics.addCollector([&gauge] { gauge.set(0.5); });
    EXPECT_EQ(metrics.prometheusText(),
              "# HELP jy_a_total Requests.\n# TYPE jy_a_total counter\n"
              "jy_a_total{kind=\"x\\\"\\\\\\n\"} 2\n"
              "# HELP jy_b Load.\n# TYPE jy_b gauge\njy_b 0.5\n");
}

// Guards against buckets that are not cumulative or whose upper bound is exclusive.
TEST(Metrics, HistogramBucketsAreCumulativeWithInclusiveBounds)
{
    jy::Metrics metrics;
    auto &histogram = metrics.histogram("jy_t_seconds", "Time.", {{"route", "chat"}});
    for (const auto duration : {1ms, 1ms, 2ms, 100000ms})
        histogram.observe(duration);
    const auto text = metrics.prometheusText();
    for (const auto *line : {"jy_t_seconds_bucket{route=\"chat\",le=\"0.001\"} 2\n",
                             "jy_t_seconds_bucket{route=\"chat\",le=\"0.0025\"} 3\n",
                             "jy_t_seconds_bucket{route=\"chat\",le=\"60\"} 3\n",
                             "jy_t_seconds_bucket{route=\"chat\",le=\"+Inf\"} 4\n",
                             "jy_t_seconds_count{route=\"chat\"} 4\n"})
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
}

// Guards against memory that grows with the number of label values chosen by callers.
TEST(Metrics, SharesOneSeriesAboveTheLimit)
{
    jy::Metrics metrics;
    for (std::size_t i = 0; i < jy::Metrics::maxSeries + 10; ++i)
        metrics.counter("jy_a_total", "A.", {{"workspace", std::to_string(i)}}).add();
    EXPECT_NE(metrics.prometheusText().find("jy_a_total{overflow=\"true\"} 10\n"),
              std::string::npos);
}

// Guards against a metric exported with two types.
TEST(Metrics, RejectsANameOfAnotherType)
{
    jy::Metrics metrics;
    metrics.counter("jy_a", "A.");
    EXPECT_THROW(metrics.gauge("jy_a", "A."), std::logic_error);
}

} // namespace
