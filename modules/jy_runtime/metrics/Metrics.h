#pragma once

#include "jy_runtime/metrics/LatencyHistogram.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jy {

/** Label names and values, in the order in which they are printed. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/** A number that only grows. */
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_ += amount; }
    std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

/** A number that goes up and down. */
class Gauge
{
public:
    void set(double value) { value_ = value; }
    void add(double amount) { value_ += amount; }
    double value() const { return value_; }

private:
    double value_ = 0;
};

/**
 * All metrics of a process. References that it returns stay valid for its lifetime, so callers look
 * a series up once and keep it. Used on the loop's thread only.
 */
class Metrics
{
public:
    /** Label sets kept per metric; a label that callers control must not fill the memory. */
    static constexpr std::size_t maxSeries = 1000;

    /**
     * The series of a metric, created at the first call.
     *
     * Above maxSeries label sets, all further ones share a series labelled overflow="true".
     *
     * @param name Prometheus name with unit suffix, for example "jy_requests_total"
     * @param help one sentence; that of the first call counts
     * @throws std::logic_error when the name is used for a metric of another type
     */
    Counter &counter(const std::string &name, const std::string &help,
                     const MetricLabels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    LatencyHistogram &histogram(const std::string &name, const std::string &help,
                                const MetricLabels &labels = {});

    /** Removes all series of a metric; references to them become invalid. */
    void removeSeries(const std::string &name);

    /** Calls @p collector before each prometheusText(), to set gauges that are read on demand. */
    void addCollector(std::function<void()> collector);

    /** All metrics in the Prometheus text format 0.0.4, ordered by name. */
    std::string prometheusText();

private:
    using Series = std::variant<Counter, Gauge, LatencyHistogram>;

    struct Family
    {
        std::string help;
        std::size_t type = 0;
        std::map<std::string, std::unique_ptr<Series>> series;
    };

    template <class Metric>
    Metric &find(const std::string &name, const std::string &help, const MetricLabels &labels);

    std::map<std::string, Family> families_;
    std::vector<std::function<void()>> collectors_;
};

} // namespace jy
