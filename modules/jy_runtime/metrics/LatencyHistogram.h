#pragma once

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace jy {

/** Distribution of durations in fixed buckets from 1 ms to 60 s. */
class LatencyHistogram
{
public:
    /** One cumulative bucket. */
    struct Bucket
    {
        /** Inclusive upper bound in seconds. */
        double bound = 0;

        /** Observations up to the bound. */
        std::uint64_t count = 0;
    };

    LatencyHistogram();

    void observe(std::chrono::nanoseconds duration);

    /** Cumulative buckets in rising order; the last bound is infinite and holds all. */
    std::vector<Bucket> buckets() const;

    /** Sum of all observations in seconds. */
    double sum() const { return sum_; }

    std::uint64_t count() const { return count_; }

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram histogram_;
    double sum_ = 0;
    std::uint64_t count_ = 0;
};

} // namespace jy
